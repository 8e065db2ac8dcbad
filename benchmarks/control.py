"""The control service at 1,000 streams and 1,000 hosts, beside a bare grpcio server that writes the same bytes.

    python benchmarks/control.py [--quick] [--streams N] [--hosts N] [--rounds N]

Real processes on loopback: the service as an operator starts it, a bare grpcio.aio server, and client processes
that hold the streams (half of them delta) and stamp each response when they have it. Rounds of the two alternate,
so that what else this machine does falls on both. The last line is one JSON object; times in ms, memory in kB.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import os
import signal
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import grpc
import uvloop

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from coralvale.standins.demo import settings  # noqa: E402
from coralvale.standins.discovery import Roster, entry  # noqa: E402
from coralvale.standins.gateways import free_port  # noqa: E402
from coralvale.standins.proxies import ENDPOINTS  # noqa: E402

SERVICE = "bench"
WORKERS = 4
ADS = "envoy.service.discovery.v3.AggregatedDiscoveryService"
OPTIONS = (("grpc.max_receive_message_length", -1), ("grpc.use_local_subchannel_pool", 1))
TICKS = os.sysconf("SC_CLK_TCK")


def plain(data: bytes) -> bytes:
    return data


# Client processes: each holds some streams and prints a line (arrival times) when all have had a response


async def client(target: str, streams: int, first: int) -> None:
    from envoy.config.core.v3 import base_pb2
    from envoy.service.discovery.v3 import discovery_pb2

    arrived: list[float] = []
    wake = asyncio.Event()

    async def one(number: int) -> None:
        delta = number % 2
        node = base_pb2.Node(id=f"proxy-{number}")
        method = "DeltaAggregatedResources" if delta else "StreamAggregatedResources"
        answer = discovery_pb2.DeltaDiscoveryResponse if delta else discovery_pb2.DiscoveryResponse
        async with grpc.aio.insecure_channel(target, options=OPTIONS) as channel:
            call = channel.stream_stream(f"/{ADS}/{method}", plain, plain)()
            if delta:
                asked = discovery_pb2.DeltaDiscoveryRequest(
                    node=node, type_url=ENDPOINTS, resource_names_subscribe=[SERVICE]
                )
            else:
                asked = discovery_pb2.DiscoveryRequest(
                    node=node, type_url=ENDPOINTS, resource_names=[SERVICE]
                )
            await call.write(asked.SerializeToString())
            while (data := await call.read()) is not grpc.aio.EOF:
                arrived.append(time.time())
                if len(arrived) == streams:
                    wake.set()
                # The nonce comes last, its tag is "*"; parsing a thousand endpoints would be the client's time.
                nonce = answer.FromString(data[data.rfind(b"*") :]).nonce
                if delta:
                    ack: Any = discovery_pb2.DeltaDiscoveryRequest(type_url=ENDPOINTS, response_nonce=nonce)
                else:
                    ack = discovery_pb2.DiscoveryRequest(
                        type_url=ENDPOINTS, resource_names=[SERVICE], response_nonce=nonce
                    )
                await call.write(ack.SerializeToString())

    tasks = [asyncio.ensure_future(one(first + n)) for n in range(streams)]
    while True:
        done = asyncio.ensure_future(wake.wait())
        await asyncio.wait([done, *tasks], return_when=asyncio.FIRST_COMPLETED)
        for task in tasks:
            if task.done():
                task.result()
                raise RuntimeError("a stream ended")
        wake.clear()
        print(json.dumps(arrived), flush=True)
        arrived.clear()


# The bare server: each stream gets the bytes on SIGUSR1; what it reads is thrown away


async def bare(port: int, size: int) -> None:
    from envoy.service.discovery.v3 import discovery_pb2

    head = discovery_pb2.DiscoveryResponse(type_url="x" * max(0, size - 12)).SerializeToString()
    wakes: list[asyncio.Event] = []

    async def stream(requests: Any, context: Any) -> None:
        async def read() -> None:
            async for _ in requests:
                pass

        wake, serial = asyncio.Event(), 0
        wakes.append(wake)
        reader = asyncio.ensure_future(read())
        try:
            wake.set()
            while True:
                await wake.wait()
                wake.clear()
                serial += 1
                nonce = discovery_pb2.DiscoveryResponse(nonce=str(serial)).SerializeToString()
                await context.write(head + nonce)
        finally:
            reader.cancel()

    handler = grpc.stream_stream_rpc_method_handler(stream, plain, plain)
    methods = {"StreamAggregatedResources": handler, "DeltaAggregatedResources": handler}
    server = grpc.aio.server(options=(("grpc.max_send_message_length", -1),))
    server.add_generic_rpc_handlers((grpc.method_handlers_generic_handler(ADS, methods),))
    server.add_insecure_port(f"127.0.0.1:{port}")
    await server.start()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGUSR1, lambda: [wake.set() for wake in wakes])
    await asyncio.Event().wait()


async def reporter(target: str, seconds: float, buckets: int) -> None:
    """Sends usage reports as fast as they are taken; prints how many a second."""
    from envoy.service.rate_limit_quota.v3 import rlqs_pb2, rlqs_pb2_grpc

    async with grpc.aio.insecure_channel(target, options=OPTIONS) as channel:
        call = rlqs_pb2_grpc.RateLimitQuotaServiceStub(channel).StreamRateLimitQuotas()

        async def drop() -> None:
            async for _ in call:
                pass

        reader = asyncio.ensure_future(drop())
        reports = rlqs_pb2.RateLimitQuotaUsageReports(domain="coralvale")
        for number in range(buckets):
            usage = reports.bucket_quota_usages.add(num_requests_allowed=3)
            usage.bucket_id.bucket.update({"station": f"{os.getpid()}-{number}", "plan": "basico"})
            usage.time_elapsed.FromMilliseconds(1000)
        begun, sent = time.monotonic(), 0
        while time.monotonic() < begun + seconds:
            await call.write(reports)
            sent += buckets
        print(sent / (time.monotonic() - begun), flush=True)
        reader.cancel()
        call.cancel()


# The run


def cpu(pid: int) -> float:
    """Seconds of CPU that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def memory(pid: int) -> int:
    """Resident kB of a process."""
    line = next(x for x in Path(f"/proc/{pid}/status").read_text().splitlines() if x.startswith("VmRSS"))
    return int(line.split()[1])


async def process(*words: str, **env: str) -> asyncio.subprocess.Process:
    return await asyncio.create_subprocess_exec(
        sys.executable,
        *words,
        cwd=ROOT,
        env={**os.environ, **env},
        stdin=subprocess.DEVNULL,
        stdout=asyncio.subprocess.PIPE,
        stderr=None if os.environ.get("BENCH_DEBUG") else subprocess.DEVNULL,
        limit=2**24,
    )


async def listening(port: int) -> None:
    async with asyncio.timeout(20):
        while True:
            with contextlib.suppress(OSError):
                (await asyncio.open_connection("127.0.0.1", port))[1].close()
                return
            await asyncio.sleep(0.02)


class Fleet:
    """Client processes on one server."""

    async def start(self, port: int, streams: int) -> None:
        each = streams // WORKERS
        self.processes = [
            await process(__file__, "client", f"127.0.0.1:{port}", str(each), str(n * each))
            for n in range(WORKERS)
        ]

    async def arrivals(self) -> list[float]:
        """When each stream had its next response."""
        lines = [p.stdout.readline() for p in self.processes if p.stdout]
        read = await asyncio.wait_for(asyncio.gather(*lines), 120)
        return [at for line in read for at in json.loads(line)]

    async def stop(self) -> None:
        for one in self.processes:
            one.kill()
            await one.wait()


def quantiles(values: list[float]) -> dict[str, float]:
    ordered = sorted(values)
    return {
        "p50": round(statistics.median(ordered), 1),
        "p99": round(ordered[int(len(ordered) * 0.99)], 1),
        "max": round(ordered[-1], 1),
    }


async def bench(streams: int, hosts: int, rounds: int) -> dict[str, Any]:
    def tell(text: str) -> None:
        print(f"{time.strftime('%H:%M:%S')} {text}", flush=True)

    names = [f"host-{n:04d}" for n in range(hosts)]
    zones = ("north", "south")
    roster = await Roster(*(entry(n, 20000 + i, zone=zones[i % 2]) for i, n in enumerate(names))).start()
    ports = free_port(), free_port()
    with tempfile.TemporaryDirectory() as folder:
        config, operator = Path(folder) / "config.json", Path(folder) / "operator.toml"
        config.write_text(
            json.dumps(
                {
                    "listen": "127.0.0.1:1",
                    "discovery": roster.address,
                    "seed": "1",
                    "settings": settings(),
                }
            )
        )
        operator.write_text(
            f"[control]\nservice = '{SERVICE}'\nlisten = '127.0.0.1:{ports[0]}'\n"
            "[control.limits]\nreports_per_s = 1000000\n"
        )
        ours = await process("-m", "coralvale", "control", "--operator", str(operator), LB_CONFIG=str(config))
        await listening(ports[0])
        size = await response_size(ports[0])
        other = await process(__file__, "bare", str(ports[1]), str(size))
        await listening(ports[1])
        empty = memory(ours.pid)
        tell(f"{hosts} hosts, {size} bytes a response; connecting {streams} streams to each server")
        fleets = Fleet(), Fleet()
        for fleet, port in zip(fleets, ports, strict=True):
            await fleet.start(port, streams)
            await fleet.arrivals()
        await asyncio.sleep(1.0)
        grown = memory(ours.pid) - empty
        delays: tuple[list[float], list[float]] = ([], [])
        used = [0.0, 0.0]
        for number in range(rounds):
            for which, server in enumerate((ours, other)):
                before, told = cpu(server.pid), time.time()
                if which == 0:
                    roster.tell(names[number], status="leaving")
                else:
                    other.send_signal(signal.SIGUSR1)
                delays[which].extend(1000 * (at - told) for at in await fleets[which].arrivals())
                await asyncio.sleep(0.5)  # the ACKs
                used[which] += cpu(server.pid) - before
            tell(f"round {number + 1} of {rounds}: ours {delays[0][-1]:.0f} ms, bare {delays[1][-1]:.0f} ms")
        for fleet in fleets:
            await fleet.stop()
        tell("usage reports")
        reporters = [await process(__file__, "reports", f"127.0.0.1:{ports[0]}") for _ in range(2)]
        rates = [float(await p.stdout.readline()) for p in reporters if p.stdout]
        for one in (ours, other, *reporters):
            with contextlib.suppress(ProcessLookupError):
                one.kill()
            await one.wait()
    roster.stop()
    mine, theirs = quantiles(delays[0]), quantiles(delays[1])
    ratio = mine["p99"] / theirs["p99"]
    return {
        "benchmark": "control",
        "streams": streams,
        "hosts": hosts,
        "response_bytes": size,
        "drains": rounds,
        "notice_to_received_ms": mine,
        "bare_ms": theirs,
        "p99_over_bare": round(ratio, 2),
        "cpu_us_a_push": round(1e6 * used[0] / (rounds * streams)),
        "bare_cpu_us_a_push": round(1e6 * used[1] / (rounds * streams)),
        "memory_kb_a_stream": round(grown / streams, 1),
        "reports_per_s": round(sum(rates)),
        "aim_p99_ms": 100,
        "aim_met": mine["p99"] <= 100,
        "aim_ratio": 1.5,
        "aim_ratio_met": ratio <= 1.5,
    }


async def response_size(port: int) -> int:
    """Bytes of the service's response with all endpoints."""
    from envoy.service.discovery.v3 import discovery_pb2

    async with grpc.aio.insecure_channel(f"127.0.0.1:{port}", options=OPTIONS) as channel:
        call = channel.stream_stream(f"/{ADS}/StreamAggregatedResources", plain, plain)()
        asked = discovery_pb2.DiscoveryRequest(type_url=ENDPOINTS, resource_names=[SERVICE])
        await call.write(asked.SerializeToString())
        size = len(await call.read())
        call.cancel()
        return size


def main() -> int:
    words = sys.argv[1:]
    if words[:1] == ["client"]:
        uvloop.run(client(words[1], int(words[2]), int(words[3])))
    elif words[:1] == ["bare"]:
        uvloop.run(bare(int(words[1]), int(words[2])))
    elif words[:1] == ["reports"]:
        uvloop.run(reporter(words[1], 3.0, 20))
    else:
        asked = argparse.ArgumentParser(description=__doc__.split("\n")[0])
        asked.add_argument("--quick", action="store_true", help="200 streams, 200 hosts, 3 drains")
        asked.add_argument("--streams", type=int, default=0)
        asked.add_argument("--hosts", type=int, default=0)
        asked.add_argument("--rounds", type=int, default=0)
        got = asked.parse_args()
        streams, hosts, rounds = (200, 200, 3) if got.quick else (1000, 1000, 10)
        result = uvloop.run(bench(got.streams or streams, got.hosts or hosts, got.rounds or rounds))
        print(json.dumps(result))
    return 0


if __name__ == "__main__":
    sys.exit(main())
