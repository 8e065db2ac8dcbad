"""The soak's cluster: gateways as processes whose starts, signals and ends are recorded."""

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

GRACE = 6.0  # s, unless the terms name another
APART = 0.05  # s between the first starts of two processes
PATIENCE = 3.0  # s beyond its grace after which a process that was told to end is killed


def _bound_files(pid: int, size: int) -> bool:
    """Whether a process' files may now grow to so many bytes at most."""
    try:
        _, most = resource.prlimit(pid, resource.RLIMIT_FSIZE)
        resource.prlimit(pid, resource.RLIMIT_FSIZE, (size, most))
    except OSError:  # it has ended
        return False
    return True


class SoakCluster(LocalCluster):
    """Numbers of gateways are never used again; a restarted process is another life of its gateway."""

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
        self.grace = self.terms.bounds.GraceS if self.terms.bounds else GRACE
        self.holders = set(range(disks))  # gateways with a disk
        self.lives: dict[int, int] = {}
        self.removed: set[int] = set()
        self.frozen: set[int] = set()
        self.told_to_end: set[int] = set()
        self.frozen_at: dict[int, float] = {}
        self.frozen_for: dict[int, float] = {}  # s of the present life
        self.watchers: dict[int, asyncio.Task[None]] = {}
        self.callers: dict[int, asyncio.Task[None]] = {}
        self.answers: dict[int, asyncio.Event] = {}  # the present life has answered a call
        self.ended: dict[int, asyncio.Event] = {}

    def members(self) -> list[int]:
        """Gateways that are part of the cluster, running or not."""
        return [n for n in range(len(self.ips)) if n not in self.removed]

    def running(self) -> list[int]:
        """Gateways whose process is there."""
        return sorted(self.processes)

    def addresses(self) -> list[str]:
        """Ctl addresses, as the operator's list has them."""
        return [self.ips[n] for n in self.members()]

    def number_of(self, ip: str) -> int:
        return self.ips.index(ip)

    def settings(self, number: int, bootstrap: bool = False) -> str:
        holders = sorted(self.holders - self.removed)
        seeds = [self.ips[n] for n in holders][:3]
        disks = number + 1 if number in self.holders else 0
        text = settings(
            number, self.ips, disks, self.path, bootstrap, self.regions, seeds=seeds, budget=self.budget
        )
        return self.terms.put_into(text)

    def say(self, number: int, what: str, code: int = 0) -> None:
        self.history.write(
            Process(now(), number, self.lives.get(number, 0), what, number in self.holders, code)
        )

    async def start(self) -> SoakCluster:
        """The first start of all; one after another in a row, or a hundred interpreters choke the machine."""
        for number in range(len(self.ips)):
            await self.begin(number, bootstrap=True)
            await asyncio.sleep(APART)
        return self

    async def begin(self, number: int, bootstrap: bool = False) -> None:
        self.lives[number] = self.lives.get(number, 0) + 1
        self.frozen_for[number] = 0.0
        self.say(number, "start")
        await super().begin(number, bootstrap)
        self.ended[number] = asyncio.Event()
        self.answers[number] = asyncio.Event()
        self.watchers[number] = asyncio.create_task(self._watch(number))
        self.callers[number] = asyncio.create_task(self._call(number, self.answers[number]))

    async def _call(self, number: int, answers: asyncio.Event) -> None:
        """Until the life that has just begun answers: before, its interpreter has no handlers of signals."""
        while not answers.is_set() and not self.ended[number].is_set():
            if await call(self.ips[number], READY, "GET", "/readyz", patience=0.5):
                answers.set()
            await asyncio.sleep(0.1)

    async def has_begun(self, number: int, seconds: float) -> bool:
        """Whether the present life answers, or has, within so many seconds."""
        ends = now() + seconds
        while now() < ends:
            if number in self.processes and self.answers[number].is_set():
                return True
            await asyncio.sleep(0.05)
        return False

    async def _watch(self, number: int) -> None:
        process = self.processes[number]
        code = await process.wait()
        self.frozen.discard(number)
        self.told_to_end.discard(number)
        self.processes.pop(number, None)
        self.say(number, "exit", code)
        self.ended[number].set()

    async def kill(self, number: int, how: int = signal.SIGKILL) -> int:
        """Kills and waits; how is SIGKILL, or SIGTERM with its grace."""
        process = self.processes.get(number)
        if process is None:
            return 0
        ended = self.ended[number]
        if how == signal.SIGTERM:
            await self.end(number)
        else:
            self._signal(number, "kill", signal.SIGKILL)
        await ended.wait()
        return process.returncode or 0

    async def end(self, number: int) -> None:
        """SIGTERM, and SIGKILL long after its grace."""
        if number not in self.processes or number in self.told_to_end:
            return
        ended = self.ended[number]
        self.told_to_end.add(number)
        self._signal(number, "term", signal.SIGTERM)
        begun, frozen = now(), self._frozen_time(number)
        while not ended.is_set():
            counted = now() - begun - (self._frozen_time(number) - frozen)
            if counted > self.grace + PATIENCE:
                self.say(number, "overdue")
                self._signal(number, "kill", signal.SIGKILL)
                break
            await asyncio.sleep(0.1)
        await ended.wait()

    def _frozen_time(self, number: int) -> float:
        """Seconds for which the present life has been frozen."""
        since = now() - self.frozen_at[number] if number in self.frozen else 0.0
        return self.frozen_for.get(number, 0.0) + since

    def freeze(self, number: int) -> bool:
        if number not in self.processes or number in self.frozen:
            return False
        self.frozen.add(number)
        self.frozen_at[number] = now()
        self._signal(number, "stop", signal.SIGSTOP)
        return True

    def thaw(self, number: int) -> None:
        if number in self.frozen:
            self.frozen_for[number] += now() - self.frozen_at[number]
            self.frozen.discard(number)
            self._signal(number, "cont", signal.SIGCONT)

    def settings_changed(self, number: int, bad: bool) -> None:
        """Writes the settings file anew, or one that can't be read, and sends SIGHUP."""
        file = self.path / f"settings-{number}.yaml"
        file.write_text("Hostname: [" if bad else self.settings(number) + f"# {random.random()}\n")
        if number in self.processes:
            self._signal(number, "hup", signal.SIGHUP)

    def _signal(self, number: int, what: str, how: int) -> None:
        self.say(number, what)
        process = self.processes.get(number)
        if process and process.returncode is None:
            process.send_signal(how)

    def fill_disk(self, number: int) -> bool:
        """From now on its files may not grow: the kernel refuses such writes as a full disk does."""
        process = self.processes.get(number)
        if process is None:
            return False
        folder = self.path / f"data-{number}"
        size = max((file.stat().st_size for file in folder.glob("*") if file.is_file()), default=0)
        self.say(number, "disk-full")
        return _bound_files(process.pid, size)

    def clear_disk(self, number: int) -> None:
        if process := self.processes.get(number):
            self.say(number, "disk-well")
            _bound_files(process.pid, resource.RLIM_INFINITY)

    def wipe(self, number: int) -> None:
        """The disk of a process that is not there is lost."""
        shutil.rmtree(self.path / f"data-{number}", ignore_errors=True)
        self.say(number, "wipe")

    async def move(self, number: int) -> int:
        """A gateway that ended is removed for good; another begins at a new address, on an empty disk."""
        self.removed.add(number)
        fresh = len(self.ips)
        self.ips.append(f"{self.net}.{fresh + 1}")
        if number in self.holders:
            self.holders.add(fresh)
        await self.begin(fresh)
        return fresh

    async def stop_with_logs(self, folder: Path) -> None:
        """Ends all processes and moves their logs to a folder."""
        for number in list(self.processes):
            await self.kill(number)
        for file in self.path.glob("log-*"):
            shutil.copy(file, folder / file.name)
        self.folder.cleanup()
