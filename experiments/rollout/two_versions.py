"""Runs two versions of the program in one cluster, as a roll-out does, and checks that they work together.

    python experiments/rollout/two_versions.py --old FOLDER --new FOLDER

FOLDER is the root of a copy of the repository. Five gateways, three with disks, start as the old version and
write a configuration, a lock, numbers, a key and a snapshot. Gateways are then restarted one by one as the new
version, on the disks that the old one wrote. Requests, a change, a lock, numbers, a key, a quota and a host that
leaves are checked through an old and a new gateway, once while the old version leads and once while the new one
does. At the end all run the new version, and the state of the beginning is compared. Prints one JSON line; the
exit code is 1 where a check failed. Only loopback addresses are used.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT))

from coralvale.standins.cluster import CTL, LocalCluster, StandIn, call, configuration  # noqa: E402

GATEWAYS, DISKS = 5, 3
ENTRIES = 700  # calls that are logged: more than one snapshot takes
QUOTA_RATE = 5.0  # requests a second of the limited tenant
QUOTA_BURST = 5.0
QUOTA_WINDOW_S = 5.0
QUOTA_EXCESS, QUOTA_SLACK = 0.1, 20  # as the cluster's settings have them
HOLD_MS = 120_000
LEADER_ATTEMPTS = 12


class MixedCluster(LocalCluster):
    """A local cluster in which each gateway runs the version that is chosen for it."""

    def __init__(self, old: Path, new: Path, net: str) -> None:
        super().__init__(GATEWAYS, DISKS, net, "INFO")
        self.folders = {"old": old, "new": new}
        self.versions = ["old"] * GATEWAYS

    async def begin(self, number: int, bootstrap: bool = False) -> None:
        file = self.path / f"settings-{number}.yaml"
        file.write_text(self.settings(number, bootstrap))
        folder = self.folders[self.versions[number]]
        with (self.path / f"log-{number}").open("ab") as log:
            self.processes[number] = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "coralvale.cluster",
                cwd=folder,
                env={**os.environ, "PYTHONPATH": str(folder), "MYRTLEHATCH_CONFIG": str(file)},
                stdout=log,
                stderr=log,
            )

    async def restart_as(self, number: int, version: str) -> None:
        await self.kill(number, signal.SIGTERM)
        self.versions[number] = version
        await self.begin(number)
        await self.until(lambda: self.ready(number), 40.0)

    async def status(self, number: int) -> dict[str, Any]:
        found = await call(self.ips[number], CTL, "POST", "/rpc?call=gateway.status")
        status: dict[str, Any] = json.loads(found.body) if found and found.status == 200 else {}
        return status

    async def leader(self) -> int | None:
        """The gateway with a disk that most others name as the leader."""
        names = [str((await self.status(n)).get("leader", "")) for n in range(GATEWAYS)]
        for number, ip in enumerate(self.ips):
            if sum(ip in name or name == f"gateway-{number}" for name in names) > GATEWAYS // 2:
                return number
        return None

    async def let_lead(self, version: str) -> int:
        """Restarts leaders of the other version until one of `version` leads."""
        for _ in range(LEADER_ATTEMPTS):
            found: list[int] = []

            async def known(found: list[int] = found) -> bool:
                leader = await self.leader()
                found[:] = [] if leader is None else [leader]
                return leader is not None

            await self.until(known, 30.0)
            if self.versions[found[0]] == version:
                return found[0]
            await self.restart_as(found[0], self.versions[found[0]])
        raise TimeoutError(f"no gateway of the {version} version came to lead")

    async def rpc(self, number: int, name: str, of: str, **body: Any) -> tuple[int, dict[str, Any]]:  # noqa: ANN401
        """The clear answer of one gateway to an application's call that may be repeated."""
        clear: list[tuple[int, dict[str, Any]]] = []

        async def answered() -> bool:
            path = f"/rpc?call={name}&of={of}"
            found = await call(self.ips[number], CTL, "POST", path, json.dumps(body).encode())
            if found and found.status in (200, 404, 409, 412):
                clear[:] = [(found.status, json.loads(found.body))]
            return bool(clear)

        await self.until(answered, 30.0)
        return clear[0]


class Checks:
    """The checks of one run by name, each with what was seen."""

    def __init__(self) -> None:
        self.results: dict[str, Any] = {}
        self.failed: list[str] = []

    def add(self, name: str, passed: bool, seen: Any = None) -> None:  # noqa: ANN401
        self.results[name] = seen if seen is not None else passed
        if not passed:
            self.failed.append(name)
        print(f"{'passed' if passed else 'FAILED'}  {name}: {seen}", file=sys.stderr, flush=True)


async def write_state(cluster: MixedCluster) -> int:
    """A configuration, a lock, a key and enough numbers for a snapshot. Returns the lock's fence."""
    whole = configuration(1, ["schedule"], 0.0)
    whole["Tenants"]["limited"] = {
        "ApiKeys": ["limited-key"],
        "Prio": 1,
        "RatePerS": QUOTA_RATE,
        "Burst": QUOTA_BURST,
    }
    first = await cluster.send("config.replace", whole, 0)
    if first is None or first.status != 200:
        raise TimeoutError("the first configuration was not acknowledged")
    for number in range(GATEWAYS):
        await cluster.until(lambda number=number: cluster.ready(number), 40.0)  # type: ignore[misc]
    status, body = await cluster.rpc(3, "locks.begin", "kept", Owner="application-1", HoldMs=HOLD_MS)
    if status != 200:
        raise TimeoutError(f"the first lock was answered with {status}")
    await cluster.rpc(3, "cells.replace", "group.first", Val="written by the old version", Duty=0)
    limit = asyncio.Semaphore(8)

    async def number_given() -> None:
        async with limit:
            await call(cluster.ips[3], CTL, "POST", "/numbers/count", b"{}")

    await asyncio.gather(*(number_given() for _ in range(ENTRIES)))
    return int(body["fence"])


async def next_number(cluster: MixedCluster, number: int) -> int:
    given: list[int] = []

    async def answered() -> bool:
        found = await call(cluster.ips[number], CTL, "POST", "/numbers/count", b"{}")
        if found and found.status == 200:
            given.append(int(json.loads(found.body)["Val"]))
        return bool(given)

    await cluster.until(answered, 30.0)
    return given[-1]


async def check_requests(cluster: MixedCluster, checks: Checks, scene: str) -> None:
    for number in range(GATEWAYS):
        statuses = []
        for method, path in (("GET", "/schedule/read/1"), ("POST", "/schedule/book/1")) * 10:
            found = await cluster.request(number, path, method)
            statuses.append(found.status if found else None)
        version = cluster.versions[number]
        checks.add(
            f"{scene}: requests through gateway-{number} ({version})", statuses == [200] * 20, statuses[:3]
        )


async def check_change(cluster: MixedCluster, checks: Checks, scene: str, through: int) -> None:
    base = int((await cluster.read())["Ver"])
    upsert = {"Tenants": {f"tenant-{base}": {"ApiKeys": [f"key-{base}"], "RatePerS": 0, "Burst": 0}}}
    body = json.dumps({"Ver": base + 1, "Upsert": upsert}).encode()
    found = None
    ends = time.monotonic() + 30.0
    while (found is None or found.status >= 500) and time.monotonic() < ends:
        found = await call(
            cluster.ips[through],
            CTL,
            "POST",
            "/rpc?call=config.update",
            body,
            3.0,
            X_Myrtlehatch_Base_Version=str(base),
        )
    version = cluster.versions[through]
    checks.add(f"{scene}: change through an {version} gateway", found is not None and found.status == 200)
    for number in range(GATEWAYS):

        async def in_force(number: int = number) -> bool:
            found = await cluster.request(number, "/schedule/read/1", key=f"key-{base}")
            return found is not None and found.status == 200

        await cluster.until(in_force, 20.0)
    checks.add(f"{scene}: that change in force at all gateways", True)


async def check_coordination(cluster: MixedCluster, checks: Checks, scene: str, one: int, other: int) -> None:
    """A lock taken through one gateway binds at the other; numbers never repeat; a key is read by both."""
    name = scene.replace(" ", "-") + f"-{one}"
    status, body = await cluster.rpc(one, "locks.begin", name, Owner="application-2", HoldMs=HOLD_MS)
    refused, _ = await cluster.rpc(other, "locks.begin", name, Owner="application-3", HoldMs=HOLD_MS)
    fence = body.get("fence", 0)
    renewed, _ = await cluster.rpc(
        other, "locks.heartbeat", name, Owner="application-2", fence=fence, HoldMs=HOLD_MS
    )
    ended, _ = await cluster.rpc(other, "locks.finish", name, Owner="application-2", fence=fence)
    again, later = await cluster.rpc(other, "locks.begin", name, Owner="application-3", HoldMs=HOLD_MS)
    seen = [status, refused, renewed, ended, again]
    proper = seen == [200, 409, 200, 200, 200] and later["fence"] > fence
    ways = f"{cluster.versions[one]} then {cluster.versions[other]}"
    checks.add(f"{scene}: lock through {ways}", proper, seen)
    numbers = [await next_number(cluster, n) for n in (one, other, one, other)]
    checks.add(f"{scene}: numbers through {ways}", numbers == sorted(set(numbers)), numbers)
    put, _ = await cluster.rpc(one, "cells.replace", f"group.{name}", Val=name, Duty=0)
    found = await call(cluster.ips[other], CTL, "POST", f"/rpc?call=cells.read&of=group.{name}")
    value = json.loads(found.body).get("Val") if found and found.status == 200 else None
    checks.add(f"{scene}: key through {ways}", put == 200 and value == name, [put, value])


async def check_quota(cluster: MixedCluster, checks: Checks, scene: str) -> None:
    """Sends the limited tenant's requests through all gateways at once; those let in keep the settings' rule."""
    seconds = 2 * QUOTA_WINDOW_S
    let_in: list[float] = []
    refused = [0]
    ends = time.monotonic() + seconds

    async def client(number: int) -> None:
        while time.monotonic() < ends:
            found = await cluster.request(number, "/schedule/read/1", key="limited-key")
            if found and found.status == 200:
                let_in.append(time.monotonic())
            elif found and found.status == 429:
                refused[0] += 1
            await asyncio.sleep(0.05)

    await asyncio.gather(*(client(n) for n in range(GATEWAYS)))
    most = max((sum(t <= u < t + QUOTA_WINDOW_S for u in let_in) for t in let_in), default=0)
    allowed = (QUOTA_RATE * QUOTA_WINDOW_S + QUOTA_BURST) * (1 + QUOTA_EXCESS) + QUOTA_SLACK
    served = bool(let_in) and refused[0] > 0
    seen = {"let_in": len(let_in), "refused": refused[0], "worst_window": most, "bound": allowed}
    checks.add(f"{scene}: quota over both versions", served and most <= allowed, seen)


async def check_leave(cluster: MixedCluster, checks: Checks, scene: str) -> None:
    leaving: StandIn = await cluster.host("schedule")
    for number in range(GATEWAYS):

        async def used(number: int = number) -> bool:
            found = await cluster.request(number, "/schedule/read/1")
            return found is not None and found.body == leaving.id.encode()

        await cluster.until(used, 30.0)
    leaving.state = "draining"
    await cluster.until(leaving.beat, 20.0)

    async def known() -> bool:
        rows = [(await cluster.status(n)).get("hosts", []) for n in range(GATEWAYS)]
        return all(any(h["id"] == leaving.id and h["state"] == "draining" for h in hosts) for hosts in rows)

    await cluster.until(known, 20.0)
    before = sum(leaving.ran.values())
    for n in range(60):
        await cluster.request(n % GATEWAYS, "/schedule/read/1")
    after = sum(leaving.ran.values())
    checks.add(f"{scene}: a leaving host gets nothing from either version", after == before, [before, after])
    leaving.state = "gone"
    await cluster.until(leaving.beat, 20.0)
    leaving.stop()
    cluster.hosts.remove(leaving)


async def check_scene(cluster: MixedCluster, checks: Checks, leading: str) -> None:
    leader = await cluster.let_lead(leading)
    scene = f"{leading} leader"
    checks.add(f"{scene}: versions", True, {"leader": leader, "versions": cluster.versions})
    old, new = cluster.versions.index("old"), cluster.versions.index("new")
    await check_requests(cluster, checks, scene)
    for one, other in ((old, new), (new, old)):
        await check_change(cluster, checks, scene, one)
        await check_coordination(cluster, checks, scene, one, other)
    await check_quota(cluster, checks, scene)
    await check_leave(cluster, checks, scene)


async def check_kept(cluster: MixedCluster, checks: Checks, fence: int, highest: int, when: str) -> None:
    status, _ = await cluster.rpc(
        3, "locks.heartbeat", "kept", Owner="application-1", fence=fence, HoldMs=HOLD_MS
    )
    other, _ = await cluster.rpc(4, "locks.begin", "kept", Owner="application-4", HoldMs=HOLD_MS)
    checks.add(f"{when}: the old version's lock is held", [status, other] == [200, 409], [status, other])
    found = await call(cluster.ips[4], CTL, "POST", "/rpc?call=cells.read&of=group.first")
    value = json.loads(found.body).get("Val") if found else None
    checks.add(f"{when}: the old version's key", value == "written by the old version", value)
    number = await next_number(cluster, 4)
    checks.add(f"{when}: numbers go on", number > highest, [highest, number])


async def check_offline(cluster: MixedCluster, checks: Checks) -> None:
    """The new version's commands read the disk and settings of an ended gateway of the old version."""
    await cluster.kill(0, signal.SIGTERM)
    for words in (("state", "check"), ("state", "show")):
        command = [sys.executable, "-m", "coralvale.cluster", *words, str(cluster.path / "data-0")]
        folder = cluster.folders["new"]
        done = await asyncio.to_thread(
            subprocess.run,
            command,
            cwd=folder,
            env={**os.environ, "PYTHONPATH": str(folder)},
            capture_output=True,
            text=True,
            check=False,
        )
        seen = (done.stdout + done.stderr).strip().splitlines()[:2]
        checks.add(f"offline: {' '.join(words)} on the old version's disk", done.returncode == 0, seen)
    await cluster.begin(0)
    await cluster.until(lambda: cluster.ready(0), 40.0)


async def run(old: Path, new: Path, net: str) -> Checks:
    checks = Checks()
    cluster = MixedCluster(old, new, net)
    try:
        await cluster.start()
        for _ in range(2):
            await cluster.host("schedule")
        fence = await write_state(cluster)
        highest = await next_number(cluster, 3)
        checks.add("the old version has written more than a snapshot takes", highest > 600, highest)
        await check_offline(cluster, checks)
        for number in (2, 4):  # one with a disk and one without: three are old
            await cluster.restart_as(number, "new")
        await check_kept(cluster, checks, fence, highest, "two of five new")
        await check_scene(cluster, checks, "old")
        await cluster.restart_as(1, "new")  # two old, and most disks new
        await check_scene(cluster, checks, "new")
        for number in (0, 3):
            await cluster.restart_as(number, "new")
        await check_kept(cluster, checks, fence, highest, "all new")
        await check_requests(cluster, checks, "all new")
        await cluster.restart_as(3, "old")  # a roll-back of one
        await check_requests(cluster, checks, "one rolled back")
        errors = [
            f"gateway-{n}: {line}"
            for n in range(GATEWAYS)
            for line in cluster.log(n).splitlines()
            if " ERROR " in line or "Traceback" in line
        ]
        checks.add("no error in any log", not errors, errors[:5])
        twice = sum(count > 1 for host in cluster.hosts for count in host.ran.values())
        checks.add("no request ran twice", twice == 0, twice)
    except TimeoutError as error:
        checks.add(f"stopped: {error}", False)
        for number in range(GATEWAYS):
            print(f"--- gateway-{number}\n{cluster.log(number)[-1500:]}", file=sys.stderr)
    finally:
        await cluster.stop()
    return checks


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--old", type=Path, required=True, help="root of the older copy of the repository")
    parser.add_argument("--new", type=Path, default=ROOT, help="root of the newer copy, by default this one")
    parser.add_argument("--net", default="127.78.5", help="first three parts of the loopback addresses")
    options = parser.parse_args()
    checks = asyncio.run(run(options.old.resolve(), options.new.resolve(), options.net))
    print(json.dumps({"checks": len(checks.results), "failed": checks.failed}))
    return int(bool(checks.failed))


if __name__ == "__main__":
    sys.exit(main())
