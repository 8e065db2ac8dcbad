"""The plan service and a copy of its book on loopback: faults of disk and network, TLS, the command line."""

from __future__ import annotations

import asyncio
import errno
import json
import logging
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import pytest
import trustme
from aiohttp import ClientSession
from memory_disk import Disk
from net_helpers import run, until
from plans.plan_world import Line, plans
from plans.simulation import FLOOR, NAME, PLANS, SETTINGS, STATION

from coralvale.net.clock import Clock
from coralvale.operator import OperatorError, Plans, PlanService, PlansTls
from coralvale.plans import service as module
from coralvale.plans.follower import Follower
from coralvale.plans.service import Service
from coralvale.plans.store import Store
from coralvale.plans.terms import Terms

LEAD = 1.0


async def serving(disk: Any, **changes: Any) -> Service:
    table = PlanService(directory="-", listen="127.0.0.1:0", lead_s=LEAD, floor_rate=FLOOR[0],
                        floor_burst=FLOOR[1], **changes)  # fmt: skip
    service = Service(table, Store(disk))
    await service.start()
    return service


def following(port: int, directory: str = "", **changes: Any) -> Follower:
    table = Plans(service=f"127.0.0.1:{port}", directory=directory, **changes)
    terms = Terms(SETTINGS, table.strict, (table.floor_rate, table.floor_burst))
    return Follower(table, "g0", terms, Clock())


async def say(service: Service, **command: Any) -> tuple[int, Any]:
    async with (
        ClientSession() as session,
        session.post(f"http://127.0.0.1:{service.port}/commands", json=command) as answer,
    ):
        return answer.status, await answer.json()


async def define(service: Service) -> None:
    for plan in PLANS:
        figures = {"name": plan.name, "rate": plan.rate, "burst": plan.burst,
                   "ceiling_rate": plan.ceiling_rate, "ceiling_burst": plan.ceiling_burst}  # fmt: skip
        assert (await say(service, command=f"d-{plan.name}", do="plan", plan=figures))[0] == 200


def test_a_change_is_at_the_gateway_at_once_and_holds_at_its_time() -> None:
    async def test() -> None:
        service = await serving(Disk(), gateways=("g0",))
        follower = following(service.port)
        task = asyncio.ensure_future(follower.run())
        await define(service)
        status, told = await say(service, command="a", do="move", station=NAME, plan="federal")
        assert status == 200 and told["missing"] in ([], ["g0"])
        await until(lambda: follower.book.serial == told["serial"])
        now = follower.clock.now()
        assert now < told["at"] and follower.terms.in_touch(now)
        assert follower.terms.plan(told["at"] + 0.5, STATION, 0).name == "federal"
        await until(lambda: service.desk.readers.missing(service.clock.now(), told["serial"]) == [])
        await follower.close(task)
        await service.stop()

    run(test())


def test_two_who_ask_for_the_last_of_a_pool_at_once() -> None:
    async def test() -> None:
        service = await serving(Disk())
        assert (await say(service, command="p", do="pool", pool="matches", rate=100))[0] == 200
        at = service.clock.now() + 10
        wish = {"do": "reserve", "pool": "matches", "station": NAME, "rate": 60, "at": at, "until": at + 5}
        answers = await asyncio.gather(
            say(service, command="a", id="a", **wish), say(service, command="b", id="b", **wish),
            say(service, command="a", id="a", **wish),
        )  # fmt: skip
        statuses = [status for status, _ in answers]
        assert statuses[0] == statuses[2] != statuses[1] and sorted(statuses)[::2] in ([200, 409], [200, 200])
        (refused,) = {json.dumps(told) for status, told in answers if status == 409}
        told = json.loads(refused)
        assert told["most"] == 40.0 and told["earliest"] == at + 5
        assert len(service.desk.book.reserved) == 1
        await service.stop()

    run(test())


async def lined(rows: list[Any]) -> AsyncIterator[bytes]:
    for row in rows:
        yield row if isinstance(row, bytes) else json.dumps(row).encode()


class Failing(Disk):
    """A folder whose files cannot be made durable while `bad`."""

    bad = False

    def put(self, name: str, data: bytes) -> None:
        super().put(name, data)  # it may well be there after a crash
        if self.bad:
            raise OSError(errno.EIO, "Input/output error")


def test_a_disk_that_fails_takes_no_command_and_nobody_is_told_to_rely_on_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(module, "EVERY", 0.05)

    async def test() -> None:
        disk = Failing()
        service = await serving(disk)
        await define(service)
        follower = following(service.port, strict=True, floor_rate=FLOOR[0], floor_burst=FLOOR[1])
        task = asyncio.ensure_future(follower.run())
        await until(lambda: follower.terms.in_touch(follower.clock.now()))
        disk.bad = True
        status, told = await say(service, command="a", do="move", station=NAME, plan="federal")
        assert status == 503 and "Input/output error" in told["error"]
        serial = service.desk.book.serial
        # It may be on the disk, and hold after a crash: a strict gateway is soon out of touch.
        await until(lambda: not follower.terms.in_touch(follower.clock.now()))
        assert follower.terms.plan(follower.clock.now(), STATION, 0).ceiling_rate == FLOOR[0]
        disk.bad = False
        await until(lambda: follower.terms.in_touch(follower.clock.now()))
        assert service.desk.book.serial == serial and service.well
        status, told = await say(service, command="a", do="move", station=NAME, plan="federal")
        assert status == 200 and told["serial"] == serial + 1 and not told["already"]
        await follower.close(task)
        await service.stop()
        again = Store(disk).load()
        assert again and again == service.desk.book

    run(test())


def test_a_line_that_goes_silent_is_given_up_and_the_copy_serves_on(tmp_path: Path) -> None:
    async def test() -> None:
        service = await serving(Disk())
        await define(service)
        line = await Line(service.port).start()
        follower = following(line.port, str(tmp_path))
        task = asyncio.ensure_future(follower.run())
        await until(lambda: follower.book.serial == 4)
        line.cut = True
        status, told = await say(service, command="a", do="move", station=NAME, plan="federal")
        assert status == 200
        await until(lambda: follower.well is False)
        line.cut = False
        await until(lambda: follower.book.serial == told["serial"] and (tmp_path / "snapshot").exists())
        await follower.close(task)
        await service.stop()
        alone = following(service.port, str(tmp_path))  # with nobody to ask
        assert alone.book == follower.book and alone.terms.book is alone.book
        second = following(service.port, str(tmp_path))  # while the first has the folder
        assert second.store is None and second.book.serial == 0
        alone._release()
        second._open()
        assert second.book == alone.book
        second._release()
        line.stop()

    run(test())


def test_a_book_that_takes_longer_than_an_answer_may_arrives_all_the_same(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("coralvale.plans.follower.ANSWER", 0.3)
    real = asyncio.sleep
    monkeypatch.setattr(module, "LINES", 2)

    async def slow(seconds: float) -> None:
        await real(seconds or 0.1)  # between the pieces of a book

    async def test() -> None:
        service = await serving(Disk())
        await define(service)
        for n in range(8):
            assert (await say(service, command=f"m{n}", do="move", station=f"{n:016x}", plan="team"))[
                0
            ] == 200
        monkeypatch.setattr(module.asyncio, "sleep", slow)
        follower = following(service.port)
        task = asyncio.ensure_future(follower.run())
        begun = service.clock.now()
        await until(lambda: follower.book.serial == 12)
        assert service.clock.now() - begun > 0.4
        monkeypatch.undo()
        await follower.close(task)
        await service.stop()

    run(test())


def test_another_book_a_damaged_copy_and_answers_that_make_no_sense(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level(logging.INFO)

    async def test() -> None:
        service = await serving(Disk())
        await define(service)
        follower = following(service.port, str(tmp_path))
        task = asyncio.ensure_future(follower.run())
        await until(lambda: follower.book.serial == 4 and (tmp_path / "snapshot").exists())
        await follower.close(task)
        other = await serving(Disk())  # its disk was lost: another book
        follower = following(other.port, str(tmp_path))
        assert follower.book.serial == 4
        task = asyncio.ensure_future(follower.run())
        await until(lambda: follower.book.serial == 1)
        assert "the service has another book" in caplog.text
        head = {"id": follower.id, "asof": 1.0, "serial": 1, "whole": False, "entries": 0}
        for lines in (
            [], [b""], [b"?"], [b"[]"], [b"{}"], [head | {"asof": "now"}], [head | {"asof": 10**400}],
            [head | {"entries": 1}, [2, "", "trim", 10**400]], [head | {"id": "x"}],
            [head | {"entries": 2}, [2, "", "trim", 1.0]], [head | {"entries": 1}, [9, "", "trim", 1.0]],
            [head | {"whole": True, "entries": 1}, [1, "", "trim"]], [head | {"entries": -1}],
            [head | {"whole": True, "entries": 2}, [2, "", "trim", 1.0], [2, "", "trim", 1.0]],
        ):  # fmt: skip
            before = follower.book.serial
            with pytest.raises(ValueError):
                await follower.take(lined(lines))
            assert follower.book.serial == before
        now = follower.clock.now()
        await follower.take(lined([head | {"asof": now + 1e6}]))  # a clock that is far ahead
        assert not follower.terms.in_touch(now + 2 * LEAD)
        await follower.close(task)
        (tmp_path / "snapshot").write_bytes(b"?")
        follower = following(other.port, str(tmp_path))
        assert follower.book.serial == 0 and "the copy is of no use, snapshot: damaged" in caplog.text
        task = asyncio.ensure_future(follower.run())
        await until(lambda: follower.book.serial == 1)
        await follower.close(task)
        for one in (service, other):
            await one.stop()

    run(test())


def test_tls_both_ways_and_who_shows_no_certificate_is_not_served(tmp_path: Path) -> None:
    authority, stranger = trustme.CA(), trustme.CA()
    authority.cert_pem.write_to_path(str(tmp_path / "ca.pem"))
    for name, ca in (("service", authority), ("gateway", authority), ("stranger", stranger)):
        made = ca.issue_cert("127.0.0.1")
        made.private_key_and_cert_chain_pem.write_to_path(str(tmp_path / f"{name}.pem"))

    def tls(name: str) -> PlansTls:
        file = str(tmp_path / f"{name}.pem")
        return PlansTls(ca=str(tmp_path / "ca.pem"), certificate=file, key=file)

    async def test() -> None:
        service = await serving(Disk(), tls=tls("service"))
        good = following(service.port, tls=tls("gateway"))
        bad = following(service.port, tls=tls("stranger"))
        tasks = [asyncio.ensure_future(one.run()) for one in (good, bad)]
        await until(lambda: good.book.serial == 1 and bad.well is False)
        assert bad.book.serial == 0
        address = f"127.0.0.1:{service.port}"
        ca, own = str(tmp_path / "ca.pem"), str(tmp_path / "gateway.pem")
        code, state, _ = await plans(address, "show", "--ca", ca, "--certificate", own)
        assert code == 0 and state["serial"] == 1
        code, _, said = await plans(address, "show", "--ca", ca)
        assert code == 3 and "no answer" in said and len(said.splitlines()) == 1
        for one, task in zip((good, bad), tasks, strict=True):
            await one.close(task)
        await service.stop()
        with pytest.raises(OperatorError, match="plans: tls"):
            following(1, tls=PlansTls(ca=str(tmp_path / "none")))

    run(test())


def test_the_words_of_the_command_line() -> None:
    async def test() -> None:
        service = await serving(Disk(), gateways=("g0",))
        await define(service)
        at = f"127.0.0.1:{service.port}"
        assert (await plans(at, "pool", "matches", "--rate", "100"))[0] == 0
        reserve = ["reserve", "cup", "--pool", "matches", "--station", NAME, "--rate", "60", "--from", "+100"]
        assert (await plans(at, *reserve, "--until", "+200"))[0] == 0
        reserve[1] = "derby"
        code, told, said = await plans(at, *reserve, "--until", "+150")
        assert code == 1 and told["most"] == 40.0 and "at most 40 fit; it fits from 20" in said
        code, text, _ = await plans(at, "free", "matches", "--from", "+5", "--until", "+300", json_=False)
        assert code == 0 and text.startswith("40 units a second over all of it")
        code, told, said = await plans(at, "move", NAME, "federal", "--wait")
        assert code == 1 and "not known in time at g0" in said
        code, text, _ = await plans(at, "show", json_=False)
        assert code == 0 and "gateway g0: never heard" in text and "cup: 60 units a second of matches" in text
        assert (await plans(at, "cancel", "cup"))[0] == 0
        code, told, _ = await plans(at, "move", NAME, "team", "--at", "+60")
        assert code == 0 and (await plans(at, "withdraw", str(told["serial"])))[0] == 0
        assert (await plans(at, "release", NAME))[0] == 0
        code, _, said = await plans(at, "move", "7", "team")
        assert code == 2 and said == "coralvale: station: expected 16 hex digits, got '7'\n"
        code, _, said = await plans(at, "move", NAME, "team", "--at", "2026-12-05T15:00")
        assert code == 2 and "without an offset" in said
        await service.stop()
        code, _, said = await plans(at, "show")
        assert code == 3 and "no answer" in said and len(said.splitlines()) == 1

    run(test())
