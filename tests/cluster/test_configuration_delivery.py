"""Committed configurations: large ones are built beside the event loop, all are applied in the log's order."""

from __future__ import annotations

import asyncio
import json
import threading
from collections import defaultdict
from collections.abc import Callable, Coroutine
from typing import Any, cast

import pytest
from test_core import Handler, make_core

from coralvale.cluster.configuration import history as history_module
from coralvale.cluster.configuration.history import (
    LARGE_BODY_BYTES,
    LARGE_CONFIGURATION_ITEMS,
    Build,
    Change,
    ChangeHistory,
    ConfigurationUpdate,
    pack,
    takes_long,
)
from coralvale.cluster.configuration.model import Configuration
from coralvale.cluster.consensus import messages as consensus
from coralvale.cluster.server import changes as changes_module
from coralvale.cluster.server.changes import Changes
from coralvale.cluster.server.delivery import ConfigurationDelivery

WAIT_S = 20.0


def order(base: int, version: int, **fields: Any) -> Change:
    return Change(base, True, json.dumps({"Ver": version, **fields}).encode())


def large_order(base: int, version: int, **fields: Any) -> Change:
    return order(base, version, Note="x" * LARGE_BODY_BYTES, **fields)


def entry(change: Change) -> consensus.Deliver:
    return consensus.Deliver(consensus.Entry(1, 1, consensus.CHANGE, pack(change)))


class HeldBuilds:
    """Holds up each build in a thread until its version is released; tells whether one ran on the event loop."""

    def __init__(self, patched: pytest.MonkeyPatch) -> None:
        self.released = defaultdict[int, threading.Event](threading.Event)
        self.on_loop = False
        loop_thread, build = threading.current_thread(), history_module.build_configuration

        def build_when_released(change: Change, before: Configuration) -> Any:
            if threading.current_thread() is loop_thread:
                self.on_loop = self.on_loop or len(change.body) > LARGE_BODY_BYTES
            else:
                assert self.released[json.loads(change.body)["Ver"]].wait(WAIT_S)
            return build(change, before)

        patched.setattr(history_module, "build_configuration", build_when_released)

    def release(self, *versions: int) -> None:
        for version in versions:
            self.released[version].set()


def play(scene: Callable[[], Coroutine[Any, Any, None]]) -> None:
    asyncio.run(asyncio.wait_for(scene(), WAIT_S))


async def until(seen: Callable[[], bool]) -> None:
    while not seen():
        await asyncio.sleep(0.005)


# Guards against Acks and lost leaders: after a valid order of 30 MB each member's loop stood still for 4.8 s.
def test_a_large_committed_change_is_built_beside_the_event_loop(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scene() -> None:
        builds, core = HeldBuilds(monkeypatch), make_core()
        core.execute([entry(large_order(0, 2))])
        await asyncio.sleep(0.02)
        assert not builds.on_loop and core.history.configuration.version == 0
        builds.release(2)
        await until(lambda: core.history.configuration.version == 2)
        assert not builds.on_loop

    play(scene)


def test_what_depends_on_a_large_change_waits_and_nothing_else_does(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scene() -> None:
        builds, core = HeldBuilds(monkeypatch), make_core()
        core.desk = cast(Any, orders := Handler(raises=False))
        core.share_desk = cast(Any, shares := Handler(raises=False))
        core.coordination_desk = cast(Any, coordination := Handler(raises=False))
        core.execute([entry(large_order(0, 2)), entry(order(2, 3)), consensus.Settled(8, True)])
        assert shares.tokens == coordination.tokens == [8] and orders.tokens == []
        assert not core.delivery.idle
        builds.release(2)
        await until(lambda: orders.tokens == [8])
        assert core.history.configuration.version == 3 and core.delivery.idle

    play(scene)


def test_no_snapshot_is_taken_while_a_committed_change_is_not_applied(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    class DueReplica:
        leader, view, voters = "", 0, None
        saved = 0

        def due_for_snapshot(self) -> bool:
            return True

        def save_snapshot(self, body: bytes) -> list[consensus.Action]:
            self.saved += 1
            return []

    async def scene() -> None:
        builds, core = HeldBuilds(monkeypatch), make_core()
        core.replica = cast(Any, replica := DueReplica())
        core.execute([entry(large_order(0, 2))])
        core.log_view_and_snapshot()
        assert replica.saved == 0
        builds.release(2)
        await until(lambda: core.delivery.idle)
        core.log_view_and_snapshot()
        assert replica.saved == 1

    play(scene)


class Scene:
    """A delivery by itself."""

    def __init__(self) -> None:
        self.history, self.applied = ChangeHistory(), list[int]()
        self.delivery = ConfigurationDelivery(
            self.history,
            lambda configuration: self.applied.append(configuration.version),
            asyncio.get_running_loop().create_task,
        )

    def deliver(self, *changes: Change) -> None:
        for change in changes:
            self.delivery.deliver(pack(change))


def test_changes_are_applied_in_the_order_of_the_log(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scene() -> None:
        builds, beside = HeldBuilds(monkeypatch), Scene()
        log = [
            order(0, 2),
            large_order(2, 4),
            order(4, 5),
            large_order(4, 6),
            large_order(5, 7),
            order(9, 10),
        ]
        beside.deliver(*log)
        seen: list[int] = []
        beside.delivery.after(lambda: seen.append(beside.history.configuration.version))
        assert beside.applied == [2] and not seen
        builds.release(7, 6, 4)
        await until(lambda: beside.delivery.idle)
        assert beside.applied == [2, 4, 5, 7] and seen == [7]
        alone = ChangeHistory()
        assert [alone.deliver(pack(change)) for change in log] == [True, True, True, False, True, False]
        assert alone.image() == beside.history.image()

    play(scene)


@pytest.mark.parametrize("refused", ["thread", "build"])
def test_a_build_that_fails_holds_up_nothing(monkeypatch: pytest.MonkeyPatch, refused: str) -> None:
    def fails(*given: Any) -> None:
        raise RuntimeError("can't start new thread")

    async def scene() -> None:
        beside = Scene()
        with monkeypatch.context() as patched:
            if refused == "thread":
                patched.setattr(threading.Thread, "start", fails)
            else:
                patched.setattr(Build, "run", fails)
            beside.deliver(large_order(0, 2), order(2, 3))
            await until(lambda: beside.delivery.idle)
        assert beside.applied == [2, 3]

    play(scene)


def test_a_change_without_effect_is_built_once_and_holds_up_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scene() -> None:
        builds, beside = HeldBuilds(monkeypatch), Scene()
        builds.release(2)
        beside.deliver(large_order(0, 2, Routes=[1]), order(0, 3))
        await until(lambda: beside.delivery.idle)
        assert beside.applied == [3] and not builds.on_loop

    play(scene)


def test_a_snapshot_supersedes_the_changes_that_are_not_applied(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scene() -> None:
        builds, beside, other = HeldBuilds(monkeypatch), Scene(), ChangeHistory()
        beside.deliver(large_order(0, 2), order(2, 3))
        seen: list[int] = []
        beside.delivery.after(lambda: seen.append(beside.history.configuration.version))
        for change in (order(0, 2), order(2, 3), order(3, 8)):
            other.deliver(pack(change))
        beside.history.restore(other.image())
        beside.delivery.supersede()
        assert seen == [8] and beside.delivery.idle
        beside.deliver(large_order(8, 9), order(9, 10))
        builds.release(2)
        await asyncio.sleep(0.05)  # the build from before the snapshot is over
        assert beside.applied == [] and not beside.delivery.idle
        builds.release(9)
        await until(lambda: beside.delivery.idle)
        assert beside.applied == [9, 10]

    play(scene)


def test_the_leader_does_not_build_again_what_it_has_checked() -> None:
    history, change = ChangeHistory(), large_order(0, 2)
    assert history.long_build(change)
    assert history.validate(change) is None and history.long_build(change) is None


def test_a_change_of_a_large_configuration_takes_long_whatever_its_size() -> None:
    small, large = Configuration(), Configuration()
    large.items["Tenants"] = {f"t{n}": ({}, None) for n in range(LARGE_CONFIGURATION_ITEMS + 1)}
    assert not takes_long(LARGE_BODY_BYTES, small)
    assert takes_long(LARGE_BODY_BYTES + 1, small) and takes_long(1, large)


# Guards against the same at gateways without a replica, which are told of changes by the core.
def test_a_gateway_that_is_told_a_large_change_builds_it_beside_its_event_loop(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    threads: list[threading.Thread] = []

    def apply(configuration: Configuration, update: ConfigurationUpdate) -> Configuration:
        threads.append(threading.current_thread())
        return configuration

    async def scene() -> None:
        monkeypatch.setattr(changes_module, "apply_update", apply)
        gateway = Changes.__new__(Changes)
        gateway.configuration = Configuration()
        for update in (
            ConfigurationUpdate((large_order(0, 2),)),
            ConfigurationUpdate(whole=large_order(0, 2).body),
            ConfigurationUpdate((order(0, 2),)),
        ):
            await gateway._build_update(update)

    play(scene)
    here = threading.current_thread()
    assert [thread is here for thread in threads] == [False, False, True]
