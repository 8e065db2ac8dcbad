"""The soak's cluster: gateways as processes. Their starts, signals and exits are written to the history."""

from __future__ import annotations

import asyncio
import random
import resource
import shutil
import signal
from pathlib import Path

from coralvale.cluster.soak.history import Process, Writer, now
from coralvale.cluster.soak.terms import Terms
from coralvale.standins.cluster import READY, LocalCluster, call, settings

DEFAULT_GRACE_S = 6.0  # unless the terms set another
START_INTERVAL_S = 0.05  # between the first starts of two processes
KILL_AFTER_GRACE_S = 3.0  # beyond its grace; then a process that got SIGTERM is killed


def _limit_file_size(pid: int, size: int) -> bool:
    """Limits the size of a process's files, in bytes. False if the process has exited."""
    try:
        _, hard_limit = resource.prlimit(pid, resource.RLIMIT_FSIZE)
        resource.prlimit(pid, resource.RLIMIT_FSIZE, (size, hard_limit))
    except OSError:  # the process has exited
        return False
    return True


class SoakCluster(LocalCluster):
    """A local cluster whose processes can be killed, frozen and moved.

    Numbers of gateways are not reused. A restarted process is another life of its gateway.
    """

    def __init__(
        self,
        history: Writer,
        gateways: int,
        disks: int,
        net: str,
        budget: int = 1,
        level: str = "INFO",
        program: tuple[str, ...] = ("-m", "coralvale.cluster"),
        terms: Terms | None = None,
    ) -> None:
        super().__init__(gateways, disks, net, level, program=program, budget=budget)
        self.history = history
        self.net = net
        self.terms = terms or Terms()
        self.grace = self.terms.bounds.GraceS if self.terms.bounds else DEFAULT_GRACE_S
        self.disk_gateways = set(range(disks))  # gateways with a disk
        self.lives: dict[int, int] = {}
        self.removed: set[int] = set()
        self.frozen: set[int] = set()
        self.terminating: set[int] = set()
        self.frozen_at: dict[int, float] = {}
        self.frozen_s: dict[int, float] = {}  # s for which the present life was frozen so far
        self.exit_watchers: dict[int, asyncio.Task[None]] = {}
        self.readiness_probes: dict[int, asyncio.Task[None]] = {}
        self.responsive: dict[int, asyncio.Event] = {}  # set once the present life has answered a call
        self.exited: dict[int, asyncio.Event] = {}

    def members(self) -> list[int]:
        """Gateways that are part of the cluster, running or not."""
        return [n for n in range(len(self.ips)) if n not in self.removed]

    def running(self) -> list[int]:
        """Gateways whose process is running."""
        return sorted(self.processes)

    def addresses(self) -> list[str]:
        """Ctl addresses of all members, as in the operator's list."""
        return [self.ips[n] for n in self.members()]

    def number_of(self, ip: str) -> int:
        """The number of the gateway at an address."""
        return self.ips.index(ip)

    def settings(self, number: int, bootstrap: bool = False) -> str:
        """The text of a gateway's settings file, with the terms applied."""
        disk_gateways = sorted(self.disk_gateways - self.removed)
        seeds = [self.ips[n] for n in disk_gateways][:3]
        disks = number + 1 if number in self.disk_gateways else 0
        text = settings(
            number, self.ips, disks, self.path, bootstrap, self.regions, seeds=seeds, budget=self.budget
        )
        return self.terms.apply_to(text)

    def record(self, number: int, what: str, code: int = 0) -> None:
        """Writes an event of a gateway's present life to the history."""
        self.history.write(
            Process(now(), number, self.lives.get(number, 0), what, number in self.disk_gateways, code)
        )

    async def start(self) -> SoakCluster:
        """Starts all gateways for the first time, at intervals: a hundred interpreters at once overload the
        machine."""
        for number in range(len(self.ips)):
            await self.begin(number, bootstrap=True)
            await asyncio.sleep(START_INTERVAL_S)
        return self

    async def begin(self, number: int, bootstrap: bool = False) -> None:
        """Starts a gateway's process: the next life of this gateway."""
        self.lives[number] = self.lives.get(number, 0) + 1
        self.frozen_s[number] = 0.0
        self.record(number, "start")
        await super().begin(number, bootstrap)
        self.exited[number] = asyncio.Event()
        self.responsive[number] = asyncio.Event()
        self.exit_watchers[number] = asyncio.create_task(self._watch_exit(number))
        self.readiness_probes[number] = asyncio.create_task(
            self._probe_readiness(number, self.responsive[number])
        )

    async def _probe_readiness(self, number: int, responsive: asyncio.Event) -> None:
        """Polls a started process until it answers. Before that its interpreter has no signal handlers."""
        while not responsive.is_set() and not self.exited[number].is_set():
            if await call(self.ips[number], READY, "GET", "/readyz", patience=0.5):
                responsive.set()
            await asyncio.sleep(0.1)

    async def is_responsive(self, number: int, seconds: float) -> bool:
        """Whether the present life has answered a call, waiting at most so many seconds for it."""
        deadline = now() + seconds
        while now() < deadline:
            if number in self.processes and self.responsive[number].is_set():
                return True
            await asyncio.sleep(0.05)
        return False

    async def _watch_exit(self, number: int) -> None:
        process = self.processes[number]
        code = await process.wait()
        self.frozen.discard(number)
        self.terminating.discard(number)
        self.processes.pop(number, None)
        self.record(number, "exit", code)
        self.exited[number].set()

    async def kill(self, number: int, how: int = signal.SIGKILL) -> int:
        """Ends a process and waits for its exit; returns the exit code. `how`: SIGKILL, or SIGTERM with its
        grace."""
        process = self.processes.get(number)
        if process is None:
            return 0
        exited = self.exited[number]
        if how == signal.SIGTERM:
            await self.terminate(number)
        else:
            self._signal(number, "kill", signal.SIGKILL)
        await exited.wait()
        return process.returncode or 0

    async def terminate(self, number: int) -> None:
        """Sends SIGTERM and waits for the exit; sends SIGKILL `KILL_AFTER_GRACE_S` after the grace."""
        if number not in self.processes or number in self.terminating:
            return
        exited = self.exited[number]
        self.terminating.add(number)
        self._signal(number, "term", signal.SIGTERM)
        started_at, frozen = now(), self._frozen_seconds(number)
        while not exited.is_set():
            counted = now() - started_at - (self._frozen_seconds(number) - frozen)
            if counted > self.grace + KILL_AFTER_GRACE_S:
                self.record(number, "overdue")
                self._signal(number, "kill", signal.SIGKILL)
                break
            await asyncio.sleep(0.1)
        await exited.wait()

    def signal_again(self, number: int) -> None:
        """Sends a second SIGTERM to a process that is ending."""
        process = self.processes.get(number)
        if process and process.returncode is None:
            process.send_signal(signal.SIGTERM)

    def _frozen_seconds(self, number: int) -> float:
        """Seconds for which the present life has been frozen."""
        since = now() - self.frozen_at[number] if number in self.frozen else 0.0
        return self.frozen_s.get(number, 0.0) + since

    def freeze(self, number: int) -> bool:
        """Sends SIGSTOP. False if the process is not running or already frozen."""
        if number not in self.processes or number in self.frozen:
            return False
        self.frozen.add(number)
        self.frozen_at[number] = now()
        self._signal(number, "stop", signal.SIGSTOP)
        return True

    def thaw(self, number: int) -> None:
        """Sends SIGCONT to a frozen process."""
        if number in self.frozen:
            self.frozen_s[number] += now() - self.frozen_at[number]
            self.frozen.discard(number)
            self._signal(number, "cont", signal.SIGCONT)

    def reload_settings(self, number: int, invalid: bool) -> None:
        """Rewrites the settings file, or replaces it by one that can't be parsed, and sends SIGHUP."""
        file = self.path / f"settings-{number}.yaml"
        file.write_text("Hostname: [" if invalid else self.settings(number) + f"# {random.random()}\n")
        if number in self.processes:
            self._signal(number, "hup", signal.SIGHUP)

    def _signal(self, number: int, what: str, how: int) -> None:
        self.record(number, what)
        process = self.processes.get(number)
        if process and process.returncode is None:
            process.send_signal(how)

    def fill_disk(self, number: int) -> bool:
        """Forbids a process's files to grow: the kernel refuses such writes as it does on a full disk."""
        process = self.processes.get(number)
        if process is None:
            return False
        folder = self.path / f"data-{number}"
        size = max((file.stat().st_size for file in folder.glob("*") if file.is_file()), default=0)
        self.record(number, "disk-full")
        return _limit_file_size(process.pid, size)

    def free_disk(self, number: int) -> None:
        """Ends what `fill_disk` did."""
        if process := self.processes.get(number):
            self.record(number, "disk-well")
            _limit_file_size(process.pid, resource.RLIM_INFINITY)

    def wipe(self, number: int) -> None:
        """Deletes the disk of a gateway whose process is not running."""
        shutil.rmtree(self.path / f"data-{number}", ignore_errors=True)
        self.record(number, "wipe")

    async def move(self, number: int) -> int:
        """Removes a stopped gateway for good and starts another at a new address, with an empty disk."""
        self.removed.add(number)
        fresh = len(self.ips)
        self.ips.append(f"{self.net}.{fresh + 1}")
        if number in self.disk_gateways:
            self.disk_gateways.add(fresh)
        await self.begin(fresh)
        return fresh

    async def stop_with_logs(self, folder: Path) -> None:
        """Kills all processes and copies their logs to a folder."""
        for number in list(self.processes):
            await self.kill(number)
        for file in self.path.glob("log-*"):
            shutil.copy(file, folder / file.name)
        self.folder.cleanup()
