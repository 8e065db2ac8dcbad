"""What telling of every answer costs, and how fast files of answers are searched.

    python benchmarks/syslog.py [--quick | --stall S]

  message    CPU of the answer's path (an object and a place in the queue) and of encoding, each in microseconds a
             message, in one process without sockets
  gateway    two gateways in the same run, with a receiver and without, asked in turn: CPU a request of each, the
             requests a second that one core would carry by that, p50 and p99 of answers with the receiver well,
             stalled and gone
  flood      refusals as fast as clients ask, for a hundred stations: the same, with the receiver stalled
  carried    messages a second that one sender brings through TCP and TLS to a receiver in the same process
  search     MB a second of `coralvale answers search` for one station and for one request, beside `grep -c -F` on
             the same file

  --stall   in place of these: S seconds in which the receiver reads nothing, two gateways under the same load at
            the same time; afterwards every message is read and every answer accounted for

The last line is one JSON object. Aims: 15 us or less a message beyond the bare request; 97% of its requests.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import ssl
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import trustme
import uvloop

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from coralvale.net.clock import Clock  # noqa: E402
from coralvale.net.node import AccessRecord  # noqa: E402
from coralvale.operator import Receiver as Target  # noqa: E402
from coralvale.operator import Syslog  # noqa: E402
from coralvale.standins.clients import Client, request  # noqa: E402
from coralvale.standins.demo import CLASSES, settings  # noqa: E402
from coralvale.standins.discovery import Roster, entry  # noqa: E402
from coralvale.standins.gateways import GatewayProcess  # noqa: E402
from coralvale.standins.hosts import Host  # noqa: E402
from coralvale.standins.receivers import Receiver  # noqa: E402
from coralvale.syslog.messages import Answer, Attempt, Origin, decode, encode  # noqa: E402
from coralvale.syslog.queue import Queued  # noqa: E402
from coralvale.syslog.search import Dropped, Row, read  # noqa: E402
from coralvale.syslog.service import Lazy, Sender, accounts  # noqa: E402

PLANS = [{"name": "team", "per_second": 1e6, "most_at_once": 1e6, "excess_cost": 1.0}]
TIGHT = [{"name": "team", "per_second": 1.0, "most_at_once": 1.0, "excess_cost": 1.0}]
TICK = os.sysconf("SC_CLK_TCK")


def at(values: list[float], share: float) -> float:
    return sorted(values)[min(len(values) - 1, int(len(values) * share))] if values else 0.0


def answer(n: int) -> Answer:
    tried = (Attempt("s-5be2a07c", "edificio-a", "ok", 0.01, True),)
    return Answer(
        1_796_121_000.0 + n / 50, n + 1, f"Radio [{n % 200}] Ñandú", f"{n % 200:016x}", "provincial",
        CLASSES[n % 2], f"{n:016x}", "served", 200, "", 0.012, 3.9, 1.0, 2, tried,
    )  # fmt: skip


class Bare(Sender):
    """A sender without a gateway: its receivers are all that it has."""

    def __init__(self, table: Syslog) -> None:
        settings = SimpleNamespace(
            classes=[SimpleNamespace(name=name) for name in CLASSES],
            plans=[SimpleNamespace(name="provincial")],
        )
        config: Any = SimpleNamespace(name="gw", settings=settings, zones=("edificio-a",), seed=1)
        super().__init__(table, config, Clock())


def final(n: int, now: float) -> AccessRecord:
    from coralvale.interface import Outcome

    arrival: Any = SimpleNamespace(
        id=f"{n:016x}", customer=n % 200, plan=0, plan_name="provincial", cls=n % 2, units=1.0, entry_gateways=2,
        timeout=4.0,
    )  # fmt: skip
    tried = (("s-5be2a07c", 0, Outcome.OK, 0.01),)
    return AccessRecord(arrival, {}, b"/api", now, 200, "", 0.012, 3.9, tried)


async def message(count: int) -> dict[str, Any]:
    """Both paths with nothing else in the process; the queue is dropped from, so that it stays in its bound."""
    sender = Bare(Syslog(receivers=(Target(name="none", target="127.0.0.1:1"),)))
    for channel in sender.channels:
        channel.close()
    finals = [final(n, 1_796_121_000.0) for n in range(count)]
    begun = time.process_time()
    for one in finals:
        sender.record(one)
    path = (time.process_time() - begun) / count
    lazies = [Lazy(sender, one, n, 1) for n, one in enumerate(finals)]
    begun = time.process_time()
    for lazy in lazies:
        lazy.encode()
    coded = (time.process_time() - begun) / count
    return {
        "answer_path_us": round(1e6 * path, 2),
        "encoding_us": round(1e6 * coded, 2),
        "message_bytes": len(lazies[0].data),
    }


def cpu(process: asyncio.subprocess.Process | None) -> float:
    """Seconds of CPU that a process has used."""
    assert process
    fields = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICK


async def ask(
    gateway: GatewayProcess, seconds: float, clients: int, stations: int
) -> tuple[int, list[float]]:
    """Clients that ask again as soon as they are answered; how many answers, and how long each took."""
    end, delays, serial = time.perf_counter() + seconds, list[float](), 0

    async def one() -> None:
        nonlocal serial
        client = Client(*await asyncio.open_connection("127.0.0.1", gateway.port))
        while time.perf_counter() < end:
            serial += 1
            fields = {"Plan": "team", "Cookie": f"client={serial % stations:016x}", "X_Timeout": "3.000"}
            asked = request(
                f"q{serial}", CLASSES[0], Quota_Info="units=1,spread=1,first=0", method="GET", **fields
            )
            begun = time.perf_counter()
            await client.ask(asked)
            delays.append(time.perf_counter() - begun)
        client.close()

    await asyncio.gather(*(one() for _ in range(clients)))
    return serial, delays


async def gateways(seconds: float, folder: Path, plans: list[dict[str, Any]], name: str) -> dict[str, Any]:
    """Both gateways in turns of a second, so that what else the machine does falls on both alike."""
    hosts = [await Host(f"s-{i}", delay=0.002, slots=256, queue=4096).start() for i in range(3)]
    roster = await Roster(*(entry(h.name, h.port, zone="north") for h in hosts)).start()
    receiver = await Receiver().start()
    shared = {**settings(), "packages": plans}
    text = f'[syslog]\n[[syslog.receivers]]\nname = "r"\ntarget = "{receiver.target}"\n'
    pair = [
        await GatewayProcess(folder, n, shared, roster.address, "", roster.known(), 1, operator).start()
        for n, operator in ((f"{name}-with", text), (f"{name}-without", ""))
    ]
    result: dict[str, Any] = {}
    for state in ("stalled",) if name == "flood" else ("well", "stalled", "gone"):
        if state == "stalled":
            receiver.turn("stall")
        elif state == "gone":
            receiver.stop()
        used, asked, delays = [0.0, 0.0], [0, 0], [list[float](), list[float]()]
        for second in range(max(4, int(seconds))):
            for n, gateway in enumerate(pair) if second % 2 else reversed(list(enumerate(pair))):
                before = cpu(gateway.process)
                count, took = await ask(gateway, 1.0, 8, 100)
                await asyncio.sleep(0.3)  # what is still to be sent is paid for by those that it tells of
                used[n] += cpu(gateway.process) - before
                asked[n] += count
                delays[n] += took
        each = [u / max(1, a) for u, a in zip(used, asked, strict=True)]
        result[state] = {
            "added_us": round(1e6 * (each[0] - each[1]), 1),
            "cpu_us": [round(1e6 * e, 1) for e in each],
            "requests_a_core": round(each[1] / each[0], 4),
            "p50_ms": [round(1e3 * at(d, 0.5), 2) for d in delays],
            "p99_ms": [round(1e3 * at(d, 0.99), 2) for d in delays],
            "answers": asked,
        }
        print(json.dumps({name: {state: result[state]}}), flush=True)
    for gateway in pair:
        await gateway.end()
    roster.stop()
    receiver.stop()
    for host in hosts:
        host.stop()
    return result


async def stalled(seconds: float, folder: Path) -> dict[str, Any]:
    """Raises AssertionError if an answer is neither received nor told as dropped, or a message cannot be read."""
    hosts = [await Host(f"s-{i}", delay=0.002, slots=256, queue=4096).start() for i in range(3)]
    roster = await Roster(*(entry(h.name, h.port, zone="north") for h in hosts)).start()
    receiver = await Receiver().start()
    shared = {**settings(), "packages": PLANS}
    text = f'[syslog]\nstall_s = 3600.0\n[[syslog.receivers]]\nname = "r"\ntarget = "{receiver.target}"\n'
    pair = [
        await GatewayProcess(folder, name, shared, roster.address, "", roster.known(), 1, operator).start()
        for name, operator in (("with", text), ("without", ""))
    ]
    receiver.turn("stall")
    runs = await asyncio.gather(*(ask(gateway, seconds, 4, 100) for gateway in pair))
    assert pair[0].process
    status = Path(f"/proc/{pair[0].process.pid}/status").read_text()
    peak = int(next(line for line in status.splitlines() if line.startswith("VmHWM")).split()[1])
    receiver.turn("read")
    count, ids, dropped, end = runs[0][0], set[int](), 0, time.monotonic() + 30
    while len(ids) + dropped < count and time.monotonic() < end:
        await asyncio.sleep(0.25)
        ids, dropped = set(), 0
        for message in receiver.messages:
            told = read(decode(message))
            if isinstance(told, Row):
                ids.add(told.sequence)
            elif isinstance(told, Dropped):
                dropped += sum(told.counts.values())
    assert len(ids) + dropped == count, (len(ids), dropped, count)
    for gateway in pair:
        await gateway.end()
    roster.stop()
    receiver.stop()
    for host in hosts:
        host.stop()
    return {
        "stalled_s": seconds,
        "answers": [n for n, _ in runs],
        "received": len(ids),
        "told_as_dropped": dropped,
        "late": [sum(d > 3.0 for d in delays) for _, delays in runs],
        "longest_ms": [round(1e3 * max(delays), 1) for _, delays in runs],
        "p99_ms": [round(1e3 * at(delays, 0.99), 2) for _, delays in runs],
        "peak_mb": round(peak / 1000, 1),
    }


async def carried(count: int, folder: Path) -> dict[str, Any]:
    """The receiver's work is in the rate as well."""
    ca = trustme.CA()
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    ca.issue_cert("127.0.0.1").configure_cert(context)
    ca.cert_pem.write_to_path(str(folder / "ca.pem"))
    result = {}
    for kind, tls in (("tcp", None), ("tls", context)):
        receiver = await Receiver(tls).start()
        target = Target(
            name="r", target=receiver.target, transport=kind, ca=str(folder / "ca.pem") if tls else ""  # type: ignore[arg-type]
        )  # fmt: skip
        sender = Bare(Syslog(receivers=(target,), queue_bytes=1 << 28))
        data = encode(answer(1), Origin("gw"))
        for n in range(count):
            sender.channels[0].put(0.0, Queued(n + 1, "served", data))
        begun = time.perf_counter()
        while len(receiver.messages) < count and time.perf_counter() - begun < 60:
            await asyncio.sleep(0.005)
        result[f"{kind}_messages_a_second"] = round(len(receiver.messages) / (time.perf_counter() - begun))
        assert accounts(sender)["dropped"] == 0 and len(receiver.messages) >= count
        for channel in sender.channels:
            channel.close()
        receiver.stop()
    return result


def searched(count: int, folder: Path) -> dict[str, Any]:
    path, origin = folder / "answers.log", Origin("gw-1", process="7")
    with path.open("wb") as file:
        for n in range(count):
            file.write(encode(answer(n), origin) + b"\n")
    size, result = path.stat().st_size / 1e6, {"search_file_mb": round(path.stat().st_size / 1e6)}
    last, search = f"{count - 1:016x}", [sys.executable, "-m", "coralvale", "answers"]
    ways = {
        "grep": ["grep", "-c", "-F", f'request="{last}"', str(path)],
        "search_request": [*search, "search", str(path), "--request", last],
        "search_station": [*search, "search", str(path), "--station", "Radio [7] Ñandú"],
        "summary": [*search, "summary", str(path), "--every", "3600"],
    }  # fmt: skip
    for name, command in ways.items():
        best = 1e9
        for _ in range(2):
            begun = time.perf_counter()
            said = subprocess.run(command, cwd=ROOT, capture_output=True, check=True)
            best = min(best, time.perf_counter() - begun)
        assert said.stdout.strip()
        result[f"{name}_mb_a_second"] = round(size / best, 1)
    return result


async def all_parts(quick: bool, folder: Path) -> dict[str, Any]:
    part = 5 if quick else 1
    result: dict[str, Any] = await message(50_000 // part)
    print(json.dumps(result), flush=True)
    result["gateway"] = await gateways(10 / part, folder, PLANS, "gateway")
    result["flood"] = await gateways(10 / part, folder, TIGHT, "flood")
    result |= await carried(100_000 // part, folder)
    print(json.dumps({k: v for k, v in result.items() if k.endswith("_second")}), flush=True)
    return result


def main() -> int:
    told = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    told.add_argument("--quick", action="store_true", help="a fifth of all")
    told.add_argument(
        "--stall", type=float, default=0.0, metavar="S", help="a receiver that stalls for S seconds"
    )
    options = told.parse_args()
    if options.stall:
        with tempfile.TemporaryDirectory() as name:
            print(json.dumps({"benchmark": "syslog", **uvloop.run(stalled(options.stall, Path(name)))}))
        return 0
    with tempfile.TemporaryDirectory() as name:
        result = uvloop.run(all_parts(options.quick, Path(name)))
        result |= searched(400_000 // (5 if options.quick else 1), Path(name))
    well = result["gateway"]["well"]
    result["aim_added_met"] = well["added_us"] <= 15.0
    result["aim_requests_met"] = well["requests_a_core"] >= 0.97
    print(json.dumps({"benchmark": "syslog", **result}))
    return 0


if __name__ == "__main__":
    sys.exit(main())
