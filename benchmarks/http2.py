"""What HTTP/2 to hosts costs the gateway, beside our own HTTP/1.1 and a bare `h2` client in the same run.

    python benchmarks/http2.py [--quick]

Hosts run in processes of their own. Each way sends the same GETs, 64 at a time, in turns, to 1, 8 and 60 hosts:
requests a second and CPU a request of the sending process (held to one core), p50 and p99 in ms, connections open
at the end. The bare client has one connection a host, no bounds, no fates and no pool.

The last line is one JSON object. Aim: CPU a request within 1.5 times that of HTTP/1.1 (it is framing in Python
against a parser in C, so a miss is told as such).
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import statistics
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

import h2.config  # noqa: E402
import h2.connection  # noqa: E402
import h2.events  # noqa: E402
import uvloop  # noqa: E402

from coralvale.http2.service import Transport  # noqa: E402
from coralvale.interface import Outcome  # noqa: E402
from coralvale.net.clock import Clock  # noqa: E402
from coralvale.net.transport import Answer, Attempt, OutgoingRequest  # noqa: E402
from coralvale.net.upstream import Upstreams  # noqa: E402
from coralvale.operator.model import Http2  # noqa: E402
from coralvale.standins.hosts import Host  # noqa: E402
from coralvale.standins.http2 import Http2Host  # noqa: E402

OUT = 64  # requests out at once
PROCESSES = 3  # that hosts are spread over
FIELDS = [(b"host", b"audio.example"), (b"x-priority-class", b"episode-fetch"), (b"cookie", b"client=0101")]


async def hosts(kind: str, count: int) -> None:
    """Serves until its input ends; the first line out is the ports."""
    ports = []
    for number in range(count):
        if kind == "http1":
            host: Any = await Host(f"s-{number}", delay=0.002, slots=1000, queue=10_000).start()
        else:
            host = await Http2Host(f"s-{number}", delay=0.002, body=b"b" * 100).start()
        ports.append(host.port)
    print(json.dumps(ports), flush=True)
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)


class Bare(asyncio.Protocol):
    """`h2` as its own examples drive it."""

    def __init__(self) -> None:
        self.h2 = h2.connection.H2Connection(h2.config.H2Configuration(header_encoding=None))
        self.done: dict[int, asyncio.Future[None]] = {}

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.h2.initiate_connection()
        transport.write(self.h2.data_to_send())

    def ask(self, number: int) -> asyncio.Future[None]:
        stream = self.h2.get_next_available_stream_id()
        fields = [
            (b":method", b"GET"),
            (b":scheme", b"http"),
            (b":path", b"/x"),
            (b":authority", b"audio.example"),
        ]
        self.h2.send_headers(
            stream, [*fields, *FIELDS[1:], (b"x-request-id", b"%d" % number)], end_stream=True
        )
        self.transport.write(self.h2.data_to_send())
        future = self.done[stream] = asyncio.get_running_loop().create_future()
        return future

    def data_received(self, data: bytes) -> None:
        for event in self.h2.receive_data(data):
            if isinstance(event, h2.events.DataReceived):
                self.h2.acknowledge_received_data(event.flow_controlled_length or 0, event.stream_id or 0)
            elif isinstance(event, h2.events.StreamEnded):
                self.done.pop(event.stream_id or 0).set_result(None)
        self.transport.write(self.h2.data_to_send())


async def drive(way: str, ports: list[int], count: int) -> dict[str, float]:
    loop, serial, delays = asyncio.get_running_loop(), 0, list[float]()
    plain = Upstreams(Clock(), 2.0, 15.0, 4096)
    carrier: Any = Transport(Http2(), plain) if way == "http2" else plain
    bare = [(await loop.create_connection(Bare, "127.0.0.1", port))[1] for port in ports if way == "bare"]

    async def one(number: int) -> None:
        begun = time.perf_counter()
        if way == "bare":
            await bare[number % len(bare)].ask(number)
        else:
            ended: asyncio.Future[Outcome] = loop.create_future()

            def end(attempt: Attempt, outcome: Outcome, answer: Answer | None) -> None:
                ended.set_result(outcome)

            out = OutgoingRequest(b"GET", b"/x", [*FIELDS, (b"x-request-id", b"%d" % number)], time_left=5.0)
            carrier.send(Attempt("s", ("127.0.0.1", ports[number % len(ports)]), lambda: out, end))
            if await ended is not Outcome.OK:
                raise RuntimeError(f"{way}: {ended.result()}")
        delays.append(time.perf_counter() - begun)

    async def worker(most: int) -> None:
        nonlocal serial
        while serial < most:
            serial += 1
            await one(serial)

    await asyncio.gather(*(worker(OUT + 2 * len(ports)) for _ in range(OUT)))  # connections come up
    delays.clear()
    serial, began, cpu = 0, time.perf_counter(), time.process_time()
    await asyncio.gather(*(worker(count) for _ in range(OUT)))
    cpu, took = time.process_time() - cpu, time.perf_counter() - began
    told = {
        "per_s": round(len(delays) / took),
        "cpu_us": round(cpu / len(delays) * 1e6, 1),
        "p50_ms": round(statistics.median(delays) * 1e3, 2),
        "p99_ms": round(sorted(delays)[int(len(delays) * 0.99)] * 1e3, 2),
        "connections": len(bare) or plain.open,
    }
    if way != "bare":
        carrier.close()
    for each in bare:
        each.transport.abort()
    return told


def spread(kind: str, count: int) -> tuple[list[subprocess.Popen[str]], list[int]]:
    processes, ports = [], list[int]()
    shares = [len(range(n, count, PROCESSES)) for n in range(min(PROCESSES, count))]
    for share in shares:
        command = [sys.executable, __file__, "--hosts", kind, str(share)]
        process = subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True)
        assert process.stdout
        processes.append(process)
        ports += json.loads(process.stdout.readline())
    return processes, ports


def main() -> int:
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("--quick", action="store_true", help="fewer requests and rounds")
    parser.add_argument("--hosts", nargs=2, help=argparse.SUPPRESS)
    given = parser.parse_args()
    if given.hosts:
        asyncio.run(hosts(given.hosts[0], int(given.hosts[1])))
        return 0
    count, rounds = (2000, 2) if given.quick else (10_000, 5)
    told: dict[str, Any] = {}
    for number in (1, 8, 60):
        old, new = spread("http1", number), spread("http2", number)
        if len(os.sched_getaffinity(0)) > 1:
            before = os.sched_getaffinity(0)
            os.sched_setaffinity(0, {min(before)})
        rows: dict[str, list[dict[str, float]]] = {"http1": [], "http2": [], "bare": []}
        for turn in range(rounds):
            print(f"{number} hosts: round {turn + 1} of {rounds}", file=sys.stderr)
            for way in rows:
                rows[way].append(uvloop.run(drive(way, (old if way == "http1" else new)[1], count)))
        os.sched_setaffinity(0, before)
        for process in [*old[0], *new[0]]:
            process.communicate("")
        of = {w: {k: statistics.median(r[k] for r in each) for k in each[0]} for w, each in rows.items()}
        of["ratio"] = {"cpu": round(of["http2"]["cpu_us"] / of["http1"]["cpu_us"], 2)}
        told[f"hosts_{number}"] = of
    told["aim_met"] = all(of["ratio"]["cpu"] <= 1.5 for of in told.values())
    print(json.dumps(told))
    return 0


if __name__ == "__main__":
    sys.exit(main())
