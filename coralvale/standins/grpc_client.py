"""gRPC's own xDS client (`xds:///`), which nobody here wrote, as a process of its own. Needs gRPC.

    GRPC_XDS_BOOTSTRAP=bootstrap.json python -m coralvale.standins.grpc_client SERVICE RATE

Calls `/standins.Echo/Call` at RATE a second until its standard input ends, then prints one JSON object: calls
by host, failures by status.
"""

from __future__ import annotations

import asyncio
import json
import sys
from collections import Counter

import grpc

from coralvale.standins.grpc_hosts import plain


def bootstrap(target: str, node: str) -> str:
    """The bootstrap file of gRPC's client (gRFC A27), without TLS."""
    server = {
        "server_uri": target,
        "channel_creds": [{"type": "insecure"}],
        "server_features": ["xds_v3"],
    }
    return json.dumps({"xds_servers": [server], "node": {"id": node}})


async def main(service: str, rate: float) -> None:
    served, failed = Counter[str](), Counter[str]()
    ended = asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)
    async with grpc.aio.insecure_channel(f"xds:///{service}") as channel:
        call = channel.unary_unary("/standins.Echo/Call", plain, plain)

        async def one(cls: str) -> None:
            try:
                served[(await call(b"", timeout=10.0, metadata=(("x-priority-class", cls),))).decode()] += 1
            except grpc.RpcError as error:
                failed[f"{error.code().name}: {error.details()}"] += 1

        await one("read")
        print("ready", flush=True)
        tasks: set[asyncio.Task[None]] = set()
        number = 0
        while not ended.done():
            task = asyncio.create_task(one(("read", "write", "other")[number % 3]))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            number += 1
            await asyncio.sleep(1 / rate)
        await asyncio.gather(*tasks)
    print(json.dumps({"served": served, "failed": failed}), flush=True)


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1], float(sys.argv[2])))
