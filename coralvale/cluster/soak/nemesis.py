"""Injects a schedule's faults. An act that would exceed the fault budget waits until the budget allows it."""

from __future__ import annotations

import asyncio
import json
import random
import signal
from collections import Counter
from collections.abc import Awaitable, Callable

from coralvale.cluster.soak import history as h
from coralvale.cluster.soak.cluster import SoakCluster
from coralvale.cluster.soak.history import Writer, now
from coralvale.cluster.soak.schedule import Act, Schedule
from coralvale.cluster.soak.workload import Workload
from coralvale.standins.cluster import CTL, call

VOTER_TIMEOUT_S = 30.0  # for a restarted gateway to be a voter again; then it counts as back anyway
SYNC_GRACE_S = 4.0  # for which it still counts as lost after that, as the settings require
BUDGET_TIMEOUT_S = 20.0  # for which an act waits for the fault budget; then it is left out
SIGNAL_GAP_S = 0.3  # between a SIGTERM and the signals that follow it
LOST_SHARE = 0.1  # of its answers, that a host loses that loses answers
HANGING_SLOTS = 2  # of a host that hangs when it is full
MASS_KILL_PAUSE_S = 0.9  # upper bound of the time until gateways that were killed at once start again


class Nemesis:
    """Plays a schedule. Each act is a task of its own, so acts overlap where the fault budget allows it."""

    def __init__(self, cluster: SoakCluster, workload: Workload, history: Writer, schedule: Schedule) -> None:
        self.cluster, self.workload, self.history, self.schedule = cluster, workload, history, schedule
        self.lost_voters: Counter[int] = Counter()  # by voter: acts in progress that count it as lost
        self.busy: set[int] = set()  # gateways with an act on their process or disk in progress
        self.mass_kill = False
        self.left_out = 0
        self.acts: dict[str, Callable[[Act], Awaitable[object]]] = {
            "restart": self._restart,
            "restart-signals": self._restart_with_signals,
            "kill": self._kill,
            "herd": self._kill_all,
            "freeze": self._freeze,
            "hup": self._reload_settings,
            "hup-bad": self._reload_settings,
            "wipe": self._wipe,
            "disk-full": self._fill_disk,
            "move": self._replace,
            "reset": self._reset,
            "silence": self._silence,
            "host-crash": self._host_crash,
            "host-leave": self._host_leave,
            "host-slow": self._host_slow,
            "host-loses": self._host_loses,
            "host-hangs": self._host_hangs,
            "host-dark": self._host_dark,
            "change-bad": lambda act: self.workload.operator.send_invalid(),
            "change-rival": lambda act: self.workload.operator.send_rivals(),
            "change-burst": self._burst,
        }

    async def play(self) -> None:
        """Starts all acts at their times and waits until the last is over."""
        started_at = now()
        tasks = []
        for act in self.schedule.acts:
            await asyncio.sleep(max(0.0, started_at + act.at - now()))
            tasks.append(asyncio.create_task(self._run(act)))
        await asyncio.sleep(max(0.0, started_at + self.schedule.seconds - now()))
        for found in await asyncio.gather(*tasks, return_exceptions=True):
            if isinstance(found, BaseException):
                raise found

    async def _run(self, act: Act) -> None:
        await self.acts[act.kind](act)

    def _record(self, act: Act, target: object) -> None:
        self.history.write(h.Act(now(), act.kind, str(target), act.series))

    # Targets and the fault budget

    async def _target(self, act: Act) -> int | None:
        members = self.cluster.members()
        if act.target >= 0:
            return members[act.target % len(members)]
        return await self._leader()

    async def _leader(self) -> int | None:
        for number in self.cluster.running():
            ip = self.cluster.ips[number]
            found = await call(ip, CTL, "POST", "/rpc?call=gateway.status", patience=0.5)
            if found and found.status == 200:
                leader = json.loads(found.body)["leader"]
                if leader in self.cluster.ips:
                    return self.cluster.number_of(leader)
        return None

    async def _acquire_budget(self, number: int, with_disk: bool = False) -> bool:
        """Waits until the fault budget allows the loss of a gateway and counts it as lost.

        `with_disk`: its disk is lost too; then no other gateway may be lost. False after a timeout.
        """
        deadline = now() + BUDGET_TIMEOUT_S
        while not self._within_budget(number, with_disk):
            if now() > deadline:
                self.left_out += 1
                return False
            await asyncio.sleep(0.1)
        self._mark_lost(number)
        return True

    def _within_budget(self, number: int, with_disk: bool) -> bool:
        if self.mass_kill:
            return False
        if number not in self.cluster.disk_gateways:
            return True
        others = [n for n in self.lost_voters if n != number]
        budget = self.cluster.budget
        return len(others) < (min(1, budget) if with_disk else budget)

    def _mark_lost(self, number: int) -> None:
        if number in self.cluster.disk_gateways:
            self.lost_voters[number] += 1

    def _mark_recovered(self, number: int) -> None:
        self.lost_voters[number] -= 1
        self.lost_voters = +self.lost_voters

    async def _wait_until_recovered(self, number: int) -> None:
        """Counts a restarted voter as lost until it is a voter again, and for `SYNC_GRACE_S` after that."""
        if number not in self.cluster.disk_gateways:
            return
        deadline = now() + VOTER_TIMEOUT_S
        while now() < deadline and not await self._is_voter(number):
            await asyncio.sleep(0.2)
        await asyncio.sleep(SYNC_GRACE_S)
        self._mark_recovered(number)

    async def _is_voter(self, number: int) -> bool:
        ip = self.cluster.ips[number]
        found = await call(ip, CTL, "POST", "/rpc?call=gateway.status", patience=0.5)
        return found is not None and found.status == 200 and json.loads(found.body)["replica"] == "voter"

    # Processes

    async def _restart(self, act: Act) -> None:
        await self._end_and_restart(act, signal.SIGTERM)

    async def _restart_with_signals(self, act: Act) -> None:
        """A restart with a SIGHUP and a second SIGTERM while the process ends."""
        number = await self._target(act)
        if number is None:
            return
        restart = asyncio.create_task(self._end_and_restart(act, signal.SIGTERM))
        life = self.cluster.lives.get(number)
        while not restart.done() and number not in self.cluster.terminating:
            await asyncio.sleep(0.05)
        await asyncio.sleep(SIGNAL_GAP_S)
        if self.cluster.lives.get(number) == life and number in self.cluster.terminating:
            self.cluster.reload_settings(number, invalid=False)
            self.cluster.signal_again(number)
        await restart

    async def _kill(self, act: Act) -> None:
        await self._end_and_restart(act, signal.SIGKILL)

    async def _end_and_restart(self, act: Act, how: int) -> None:
        number = await self._target(act)
        if number is None or number in self.busy:
            return
        self.busy.add(number)
        try:
            if how == signal.SIGTERM and not await self.cluster.is_responsive(number, BUDGET_TIMEOUT_S):
                return
            if not await self._acquire_budget(number):
                return
            self._record(act, number)
            await self.cluster.kill(number, how)
            await asyncio.sleep(act.seconds)
            await self.cluster.begin(number)
        finally:
            self.busy.discard(number)
        await self._wait_until_recovered(number)

    async def _kill_all(self, act: Act) -> None:
        """Kills all processes at once and starts them again within a second."""
        deadline = now() + BUDGET_TIMEOUT_S
        while self.busy or self.lost_voters or self.mass_kill:
            if now() > deadline:
                self.left_out += 1
                return
            await asyncio.sleep(0.1)
        self.mass_kill = True
        self._record(act, "all")
        numbers = self.cluster.running()
        self.busy.update(numbers)
        for number in numbers:
            self._mark_lost(number)
        try:
            await asyncio.gather(*(self.cluster.kill(n) for n in numbers))
            await asyncio.sleep(min(MASS_KILL_PAUSE_S, act.seconds))
            for number in numbers:
                await self.cluster.begin(number)
        finally:
            self.busy.difference_update(numbers)
            self.mass_kill = False
        await asyncio.gather(*(self._wait_until_recovered(n) for n in numbers))

    async def _freeze(self, act: Act) -> None:
        number = await self._target(act)
        if number is None or number in self.lost_voters or not await self._acquire_budget(number):
            return
        if self.cluster.freeze(number):
            self._record(act, number)
            await asyncio.sleep(act.seconds)
            self.cluster.thaw(number)
        await self._wait_until_recovered(number)

    async def _reload_settings(self, act: Act) -> None:
        number = await self._target(act)
        if number is None or number in self.busy or not await self.cluster.is_responsive(number, 1.0):
            return
        self._record(act, number)
        self.cluster.reload_settings(number, invalid=act.kind == "hup-bad")
        if act.kind == "hup-bad":
            await asyncio.sleep(0.5)
            if number not in self.busy:
                self.cluster.reload_settings(number, invalid=False)

    async def _wipe(self, act: Act) -> None:
        """Kills a process and deletes its disk; it starts again at the same address with an empty one."""
        number = await self._target(act)
        if number is None or number in self.busy:
            return
        self.busy.add(number)
        try:
            if not await self._acquire_budget(number, with_disk=True):
                return
            self._record(act, number)
            await self.cluster.kill(number)
            self.cluster.wipe(number)
            await asyncio.sleep(act.seconds)
            await self.cluster.begin(number)
        finally:
            self.busy.discard(number)
        await self._wait_until_recovered(number)

    async def _fill_disk(self, act: Act) -> None:
        """Makes a voter's disk refuse writes for a while."""
        voters = [n for n in self.cluster.members() if n in self.cluster.disk_gateways]
        number = voters[act.target % len(voters)]
        if number in self.busy or not await self._acquire_budget(number):
            return
        if self.cluster.fill_disk(number):
            self._record(act, number)
            await asyncio.sleep(act.seconds)
            self.cluster.free_disk(number)
        await self._wait_until_recovered(number)

    async def _replace(self, act: Act) -> None:
        """Ends a gateway for good, by SIGTERM or SIGKILL, and starts another at a new address."""
        number = await self._target(act)
        if number is None or number in self.busy:
            return
        self.busy.add(number)
        if not await self._acquire_budget(number, with_disk=True):
            self.busy.discard(number)
            return
        how = signal.SIGTERM if await self.cluster.is_responsive(number, 1.0) else signal.SIGKILL
        self._record(act, number)
        await self.cluster.kill(number, random.choice((how, signal.SIGKILL)))
        await asyncio.sleep(act.seconds)
        fresh = await self.cluster.move(number)
        self._mark_lost(fresh)
        self._mark_recovered(number)
        await self._wait_until_recovered(fresh)

    # Hosts and their links

    async def _reset(self, act: Act) -> None:
        host = self.workload.hosts[act.target % len(self.workload.hosts)]
        self._record(act, host.id)
        self.history.write(h.Link(now(), host.id, "reset"))
        host.relay.reset()

    async def _silence(self, act: Act) -> None:
        host = self.workload.hosts[act.target % len(self.workload.hosts)]
        self._record(act, host.id)
        self.history.write(h.Link(now(), host.id, "silent"))
        await host.relay.silence(act.seconds)
        self.history.write(h.Link(now(), host.id, "well"))

    async def _host_crash(self, act: Act) -> None:
        host = self.workload.hosts[act.target % len(self.workload.hosts)]
        self._record(act, host.id)
        self.workload.hosts.remove(host)
        host.crash()
        await asyncio.sleep(act.seconds)
        await self.workload.start_host(host.service, host.zone)

    async def _host_leave(self, act: Act) -> None:
        host = self.workload.hosts[act.target % len(self.workload.hosts)]
        self._record(act, host.id)
        self.workload.retire_host(host)
        await self.workload.start_host(host.service, host.zone)

    async def _host_slow(self, act: Act) -> None:
        host = self.workload.hosts[act.target % len(self.workload.hosts)]
        self._record(act, host.id)
        usual, host.service_time = host.service_time, 0.6
        await asyncio.sleep(act.seconds)
        host.service_time = usual

    async def _host_loses(self, act: Act) -> None:
        """A host runs all requests, and loses some answers."""
        host = self.workload.hosts[act.target % len(self.workload.hosts)]
        self._record(act, host.id)
        host.lost_share = LOST_SHARE
        await asyncio.sleep(act.seconds)
        host.lost_share = 0.0

    async def _host_hangs(self, act: Act) -> None:
        """A host has few slots, and hangs when it is full."""
        host = self.workload.hosts[act.target % len(self.workload.hosts)]
        self._record(act, host.id)
        usual, host.slots, host.hangs_when_full = host.slots, HANGING_SLOTS, True
        await asyncio.sleep(act.seconds)
        host.slots, host.hangs_when_full = usual, False

    async def _host_dark(self, act: Act) -> None:
        host = self.workload.hosts[act.target % len(self.workload.hosts)]
        self._record(act, host.id)
        self.workload.hosts.remove(host)
        await host.go_dark(act.seconds)
        await self.workload.start_host(host.service, host.zone)

    async def _burst(self, act: Act) -> None:
        self._record(act, "operator")
        for _ in range(3):
            await self.workload.operator.change()
