"""Gateways with a journal, killed at random moments under load; slow and full disks."""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
import time
from collections import Counter
from pathlib import Path

import pytest
from attempts.disk import Disk
from net_helpers import run, until

from coralvale import interface as api
from coralvale.attempts.main import read_records
from coralvale.attempts.model import Verdict
from coralvale.attempts.query import request_histories
from coralvale.attempts.service import Recorder
from coralvale.net.clock import Clock
from coralvale.operator import Attempts
from coralvale.standins.clients import Client, request
from coralvale.standins.demo import CLASSES, settings
from coralvale.standins.discovery import Roster, entry
from coralvale.standins.gateways import GatewayProcess
from coralvale.standins.hosts import Host

PLANS = [{"name": "team", "per_second": 5000.0, "most_at_once": 5000.0, "excess_cost": 1.0}]
KILLS = 10
SERVED_PER_LIFE = 40  # answered before a gateway may be killed
LIFE_LIMIT_S = 30.0


async def send_bookmark(port: int, name: str, cls: str = CLASSES[1], time_out: str = "2.000") -> int:
    """Sends one request; returns its status, 0 if the connection broke."""
    body = b"a bookmark" if cls == CLASSES[1] else b""
    fields = {"Plan": "team", "Cookie": "client=0000000000000101", "Quota_Info": "units=1,spread=1,first=0"}
    try:
        client = Client(*await asyncio.open_connection("127.0.0.1", port))
        method = "POST" if body else "GET"
        said = await client.ask(request(name, cls, body=body, method=method, X_Timeout=time_out, **fields))
        client.close()
        return said.status
    except (OSError, asyncio.IncompleteReadError):
        return 0


def test_killed_at_random_points_every_execution_has_an_intent_and_no_bookmark_runs_twice(
    tmp_path: Path,
) -> None:
    seed = 4
    print("seed", seed)

    async def test() -> None:
        rng, statuses = random.Random(seed), dict[str, int]()
        hosts = [await Host(f"s-{i}", delay=0.004, slots=64, queue=256).start() for i in range(3)]
        for host in hosts:
            host.reset_share = 0.05
        roster = await Roster(*(entry(h.name, h.port, zone="north") for h in hosts)).start()
        journal = tmp_path / "journal"
        gateway = GatewayProcess(
            tmp_path, "g", {**settings(), "packages": PLANS}, roster.address, "", roster.known(),
            operator=f'[attempts]\ndirectory = "{journal}"\nsegment_bytes = 8192\n',
        )  # fmt: skip
        await gateway.start()
        load_running, serial = True, 0

        async def load() -> None:
            nonlocal serial
            sending = set[asyncio.Task[None]]()

            async def one(name: str) -> None:
                statuses[name] = await send_bookmark(gateway.port, name)

            while load_running:
                serial += 1
                task = asyncio.create_task(one(f"b{serial}"))
                sending.add(task)
                task.add_done_callback(sending.discard)
                await asyncio.sleep(0.003)
            await asyncio.gather(*sending)

        def served_count() -> int:
            return sum(status == 200 for status in statuses.values())

        loading = asyncio.create_task(load())
        for _ in range(KILLS):
            # On a slow disk a life does less, and its kill loses more: each does the same work first.
            due = served_count() + SERVED_PER_LIFE
            async with asyncio.timeout(LIFE_LIMIT_S):
                while served_count() < due:
                    await asyncio.sleep(0.002)
            await asyncio.sleep(0.2 + 0.3 * rng.random())
            await gateway.end(signal.SIGKILL)
            await gateway.start()
        load_running = False
        await loading
        assert await gateway.end() == 0
        ran = Counter[str]()
        for host in hosts:
            ran += host.ran
            host.stop()
        roster.stop()
        found = {b.request: b for b in request_histories({"g": read_records(str(journal))})}
        verdicts = Counter(b.verdict for b in found.values())
        assert ran and max(ran.values()) == 1
        assert set(ran) <= set(found), set(ran) - set(found)
        assert not [n for n, b in found.items() if b.verdict is Verdict.NOT_SENT and ran[n]]
        assert all(ran[n] for n, b in found.items() if b.verdict is Verdict.SAVED)
        served = [name for name, status in statuses.items() if status == 200]
        assert len(served) > 200 and all(ran[name] for name in served)
        assert verdicts[Verdict.MAY_HAVE_RUN] and verdicts[Verdict.SAVED] > 200
        assert any("may have run, don't retry" in line for line in gateway.said())
        assert not any("Traceback" in line for line in gateway.said())

    run(test())


def test_second_gateway_on_the_same_journal_is_refused_in_one_line(tmp_path: Path) -> None:
    async def test() -> None:
        host = await Host("s-0").start()
        roster = await Roster(entry(host.name, host.port, zone="north")).start()
        pair = [
            GatewayProcess(
                tmp_path, name, {**settings(), "packages": PLANS}, roster.address, "", roster.known(),
                operator=f'[attempts]\ndirectory = "{tmp_path / "journal"}"\n',
            )
            for name in ("g1", "g2")
        ]  # fmt: skip
        await pair[0].start()
        with contextlib.suppress(RuntimeError):
            await pair[1].start()
        assert pair[1].process and await pair[1].process.wait() == 2
        assert pair[1].said()[-1].endswith("another gateway has this journal")
        assert await pair[0].end() == 0
        host.stop()
        roster.stop()

    run(test())


class FolderDisk(Disk):
    """A disk that can stand in for a `Folder`."""

    pause = 0.0

    def close(self) -> None: ...


class ArrivalFields:
    """The fields of an arrival and its exchange that go into an intent."""

    customer, cls = 0x101, 1
    method, target, body = b"POST", b"/api", b"a bookmark"

    def __init__(self, name: str) -> None:
        self.id = name


@pytest.mark.parametrize("unrecorded", ["refuse", "send"])
@pytest.mark.parametrize("trouble", ["slow", "full"])
def test_attempt_not_recorded_in_time_is_refused_or_sent_as_configured(
    unrecorded: str, trouble: str, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    disk = FolderDisk()
    monkeypatch.setattr("coralvale.attempts.service.Folder", lambda path: disk)

    async def test() -> None:
        safe = api.RequestClass("read", 1.0, 4.0, 1.0, api.Repeat.SAFE)
        unsafe = api.RequestClass("bookmark-add", 1.0, 4.0, 1.0, api.Repeat.UNSAFE)
        plan = api.Plan("team", 1.0, 1.0)
        api_settings = api.Settings(1, 0, (safe, unsafe), (plan,), 0.5, 0.3, 1.0, 2.0, 3.0, 4)
        recorder = Recorder(
            Attempts(directory="x", wait_ms=100, unrecorded=unrecorded), api_settings, Clock()
        )  # type: ignore[arg-type]
        assert not recorder.records(0) and recorder.records(1) and not recorder.refuses(1)

        async def intend(name: str) -> tuple[bool, float]:
            begun, future = time.monotonic(), asyncio.get_running_loop().create_future()
            recorder.record_intent(ArrivalFields(name), ArrivalFields(name), 0, "s-0", future.set_result)  # type: ignore[arg-type]
            return await future, time.monotonic() - begun

        assert (await intend("a"))[0]
        if trouble == "slow":
            sync = recorder.journal.file.sync  # type: ignore[union-attr]

            def slowly() -> None:
                time.sleep(1.5)
                sync()

            recorder.journal.file.sync = slowly  # type: ignore[union-attr,method-assign]
        else:
            disk.writes_fail = True
        ok, took = await intend("b")
        assert ok == (unrecorded == "send") and took < 0.4
        assert recorder.refuses(1) == (unrecorded == "refuse") and not recorder.refuses(0)
        if not ok:
            recorder.record_outcome("b", 0, api.Outcome.NOT_SENT)
        begun = time.monotonic()
        await asyncio.sleep(0.2)
        assert time.monotonic() - begun < 0.3  # the event loop does not wait for the disk
        disk.writes_fail = False
        if trouble == "slow":
            recorder.journal.file.sync = sync  # type: ignore[union-attr,method-assign]
        await until(lambda: not recorder.degraded)
        assert (await intend("c"))[0] and not recorder.refuses(1)
        assert recorder.unrecorded == (unrecorded == "send")
        recorder.close()

    run(test())
    assert "recorded in time again" in caplog.text
    assert ("is sent unrecorded (1 so far)" in caplog.text) == (unrecorded == "send")
