"""Coordination over real sockets while the leader, or all processes, are killed."""

from __future__ import annotations

import asyncio
import json
import time
from typing import Any

from attrs import define, field
from test_coordination_processes import play, rpc

from coralvale.cluster.consensus.replication import SNAPSHOT_EVERY_BYTES
from coralvale.cluster.storage.keeper import inspect_state
from coralvale.standins.cluster import CTL, LocalCluster, call, configuration

LONG_MS = 60_000  # longer than the test takes, however busy the machine is
SHORT_MS = 2500
CHANGE_BYTES = 1024 * 1024  # of one change of the configuration
MAX_ROUNDS = 10
RESTART_S = 60.0  # for all processes to start and to elect, on a busy machine
POLL_MS = 500
NOTHING_DONE = (429, 503)


async def clear_answer(cluster: LocalCluster, method: str, path: str, **body: Any) -> tuple[int, Any]:
    """Status and body of the first clear answer, trying one gateway after another."""
    ends = time.monotonic() + RESTART_S
    while time.monotonic() < ends:
        for ip in cluster.ips:
            found = await call(ip, CTL, method, path, json.dumps(body).encode())
            if found and found.status < 500 and found.status not in NOTHING_DONE:
                return found.status, json.loads(found.body)
        await asyncio.sleep(0.05)
    raise TimeoutError(f"no clear answer to {method} {path}")


async def leader(cluster: LocalCluster) -> int:
    """The number of the gateway that reports itself as leader."""
    found: list[int] = []

    async def known() -> bool:
        for number, ip in enumerate(cluster.ips):
            response = await call(ip, CTL, "POST", "/rpc?call=gateway.status")
            if response and json.loads(response.body)["leader"] == ip:
                found.append(number)
        return bool(found)

    await cluster.until(known)
    return found[0]


async def begin(cluster: LocalCluster, name: str, owner: str, hold_ms: int) -> tuple[int, Any]:
    return await clear_answer(
        cluster, "POST", f"/rpc?call=locks.begin&of={name}", Owner=owner, HoldMs=hold_ms
    )


@define
class Rival:
    """Tries to acquire a lock that another owner holds until it gets it."""

    cluster: LocalCluster
    name: str
    hold_ms: int
    refused: int = 0

    async def ask(self) -> tuple[float, int]:
        """Returns the time at which it got the lock, and its fence."""
        while True:
            status, body = await begin(self.cluster, self.name, "rival", self.hold_ms)
            if status == 200:
                return time.monotonic(), body["fence"]
            assert status == 409
            self.refused += 1
            await asyncio.sleep(0.02)


@define
class Watcher:
    """Watches a group, resuming from the last revision that it was given through any failures."""

    cluster: LocalCluster
    group: str
    revision: int
    events: list[tuple[str, str, int]] = field(factory=list)

    async def follow(self) -> None:
        while True:
            path = f"/watch/{self.group}?after={self.revision}&PollMs={POLL_MS}"
            status, body = await clear_answer(self.cluster, "GET", path)
            assert status == 200
            self.events += [(e["Name"], e["Val"], e["Rev"]) for e in body["Events"]]
            self.revision = body["Rev"]


def test_a_lock_survives_the_kill_of_the_leader() -> None:
    async def scene(cluster: LocalCluster) -> None:
        status, body = await begin(cluster, "kept", "holder", LONG_MS)
        assert status == 200
        fence = body["fence"]
        credentials = {"Owner": "holder", "fence": fence}

        async def renew(times: int) -> None:
            for _ in range(times):
                answered = await rpc(cluster, "locks.heartbeat", "kept", **credentials, HoldMs=LONG_MS)
                assert answered[0] == 200

        await renew(3)
        sent = time.monotonic()
        status, body = await begin(cluster, "left", "dies", SHORT_MS)
        assert status == 200
        left = body["fence"]

        kept_rival, left_rival = Rival(cluster, "kept", LONG_MS), Rival(cluster, "left", LONG_MS)
        kept, after_crash = asyncio.create_task(kept_rival.ask()), asyncio.create_task(left_rival.ask())
        await cluster.until(lambda: kept_rival.refused > 2)
        killed = await leader(cluster)
        await cluster.kill(killed)
        await renew(5)
        assert await leader(cluster) != killed
        refused = kept_rival.refused
        await cluster.until(lambda: kept_rival.refused > refused + 2)  # also by the next leader
        (
            at,
            next_fence,
        ) = await after_crash  # a lock without renewals is taken over, but not before its lease ends
        assert at - sent >= SHORT_MS / 1000 and next_fence > left and next_fence > fence
        await renew(2)
        assert not kept.done()

        await cluster.begin(killed)
        await renew(5)
        status, _ = await clear_answer(cluster, "POST", "/rpc?call=locks.finish&of=kept", **credentials)
        assert status == 200
        _, last = await kept  # within LONG_MS: a release is ignored where begin was sent twice
        assert last > next_fence
        lost = await rpc(cluster, "locks.heartbeat", "kept", **credentials, HoldMs=LONG_MS)
        assert lost[0] == 409

    play(scene)


def test_watches_numbers_and_keys_continue_after_the_kill_of_all_processes() -> None:
    async def scene(cluster: LocalCluster) -> None:
        stored: dict[int, tuple[str, str]] = {}  # revision: key, value
        numbers: list[int] = []

        async def put(serial: int) -> None:
            """One put, retried with the same value until it is answered; then one number."""
            key, value = f"g1.k{serial % 3}", f"value-{serial}"
            status, body = await clear_answer(cluster, "POST", f"/rpc?call=cells.replace&of={key}", Val=value)
            assert status == 200 and body["Rev"] not in stored
            stored[body["Rev"]] = key, value
            status, body = await clear_answer(cluster, "POST", "/numbers/n1")
            assert status == 200
            numbers.append(body["Val"])

        async def puts(serials: range) -> None:
            for serial in serials:
                await put(serial)

        await puts(range(5))
        status, body = await begin(cluster, "kept", "holder", LONG_MS)
        assert status == 200
        fence = body["fence"]
        saved = 2  # three later puts precede the kill and are reported after it
        first_revision = next(revision for revision, (_, value) in stored.items() if value == "value-0")

        watcher = Watcher(cluster, "g1.", max(stored))
        following = asyncio.create_task(watcher.follow())
        writing = asyncio.create_task(puts(range(5, 60)))
        await cluster.until(lambda: len(stored) > 15)
        assert not writing.done()
        for number in range(len(cluster.ips)):
            await cluster.kill(number)
        for number in range(len(cluster.ips)):
            await cluster.begin(number)
        await writing
        await puts(range(60, 65))

        assert sorted(stored) == list(range(1, 66))  # each put took effect once, without gaps
        assert sorted(set(numbers)) == numbers
        whole = [(*stored[revision], revision) for revision in sorted(stored)]
        await cluster.until(lambda: following.done() or watcher.revision >= 65)
        assert not following.done() and watcher.events == whole[5:]
        following.cancel()
        status, body = await clear_answer(cluster, "GET", f"/watch/g1.?after={saved}&PollMs=0")
        assert status == 200 and body["Rev"] == 65
        assert [(e["Name"], e["Val"], e["Rev"]) for e in body["Events"]] == whole[saved:]

        status, body = await clear_answer(cluster, "POST", "/rpc?call=cells.replace&of=g1.k0", Val="value-0")
        assert status == 200 and body["Rev"] == first_revision  # a retry of a put from before the kill
        for key in ("g1.k0", "g1.k1", "g1.k2"):
            revision = max(r for r, (name, _) in stored.items() if name == key)
            status, body = await clear_answer(cluster, "POST", f"/rpc?call=cells.read&of={key}")
            assert status == 200 and (body["Val"], body["Rev"]) == (stored[revision][1], revision)
        status, _ = await begin(cluster, "kept", "rival", LONG_MS)
        assert status == 409
        credentials = {"Owner": "holder", "fence": fence}
        renewed = await rpc(cluster, "locks.heartbeat", "kept", **credentials, HoldMs=LONG_MS)
        assert renewed[0] == 200

    play(scene)


async def change(cluster: LocalCluster, version: int) -> None:
    """A large configuration change: a few of them make every member save a snapshot."""
    large = configuration(version, ["schedule"], 0.0) | {"Note": "x" * CHANGE_BYTES}
    taken = await cluster.send("config.replace", large, version - 1)
    assert taken and taken.status == 200


def only_in_snapshot(cluster: LocalCluster, gateway: int) -> bool:
    """Whether all coordination data on a killed gateway's disk is in its snapshot, none in later entries."""
    disk = inspect_state(cluster.path / f"data-{gateway}")
    behind = {entry["kind"] for entry in disk["entries"] if entry["seq"] > disk["snapshot"]}
    return disk["snapshot"] > 0 and "coordination" not in behind


def test_coordination_data_in_snapshots_survives_the_kill_of_all_processes() -> None:
    async def scene(cluster: LocalCluster) -> None:
        for serial in range(4):
            path = f"/rpc?call=cells.replace&of=g1.k{serial % 2}"
            assert await clear_answer(cluster, "POST", path, Val=f"value-{serial}") == (
                200,
                {"Rev": serial + 1},
            )
        _, number = await clear_answer(cluster, "POST", "/numbers/n1")
        status, body = await begin(cluster, "kept", "holder", LONG_MS)
        assert status == 200
        credentials = {"Owner": "holder", "fence": body["fence"]}

        version = 1
        for rounds in range(MAX_ROUNDS):  # a killed member may have been about to save
            for _ in range(1 if rounds else SNAPSHOT_EVERY_BYTES // CHANGE_BYTES + 1):
                await change(cluster, version := version + 1)
            for gateway in range(len(cluster.ips)):
                await cluster.kill(gateway)
            saved = [only_in_snapshot(cluster, gateway) for gateway in range(cluster.disks)]
            for gateway in range(len(cluster.ips)):
                await cluster.begin(gateway)
            if all(saved):
                break
        assert all(saved)

        status, body = await clear_answer(cluster, "GET", "/watch/g1.?after=1&PollMs=0")
        assert status == 200 and body["Rev"] == 4
        assert [(e["Name"], e["Val"], e["Rev"]) for e in body["Events"]] == [
            (f"g1.k{serial % 2}", f"value-{serial}", serial + 1) for serial in range(1, 4)
        ]
        path = "/rpc?call=cells.replace&of=g1.k0"
        assert await clear_answer(cluster, "POST", path, Val="value-0") == (200, {"Rev": 1})  # a retry
        assert await clear_answer(cluster, "POST", path, Val="value-4", Duty=3) == (200, {"Rev": 5})
        found = await clear_answer(cluster, "POST", "/rpc?call=cells.read&of=g1.k1")
        assert found == (200, {"Val": "value-3", "Rev": 4})
        status, body = await clear_answer(cluster, "POST", "/numbers/n1")
        assert status == 200 and body["Val"] > number["Val"]
        status, _ = await begin(cluster, "kept", "rival", LONG_MS)
        assert status == 409
        renewed = await rpc(cluster, "locks.heartbeat", "kept", **credentials, HoldMs=LONG_MS)
        assert renewed[0] == 200
        status, body = await begin(cluster, "other", "rival", LONG_MS)
        assert status == 200 and body["fence"] > credentials["fence"]

    play(scene)
