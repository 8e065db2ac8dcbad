"""Hosts that come, beat and leave: taken, told to all, and the register mended where another knows more."""

from __future__ import annotations

import asyncio
import sqlite3
from collections.abc import Callable

import msgspec

from coralvale.cluster.events import Event, log_event
from coralvale.cluster.rate_limit.usage import MAX_GATEWAYS, PERIOD
from coralvale.cluster.registry.register import Register, Row, gone_row
from coralvale.cluster.server.core import Core
from coralvale.cluster.server.membership import Membership
from coralvale.cluster.server.messages import Pull, Rows, encode
from coralvale.cluster.server.peers import LIFE
from coralvale.cluster.server.runtime import Runtime

DRAINED = 0.75  # s that gateways are given to note that a host leaves
KEEP_HOSTS = 1.0  # s between looks whether the register on disk is old
REMEMBERED = 1.5  # beats that hosts which the disk remembers are taken to have been silent
SEED_PATIENCE = 0.4  # s for the first answer of a seed, which may be gone
MAX_MISMATCH_S = 2.0  # s after which a register that differs is asked for, though both still change


class HostReplication:
    def __init__(
        self, runtime: Runtime, membership: Membership, register: Register, retire: Callable[[Row], None]
    ) -> None:
        """`retire`: no new connection goes to a life that leaves."""
        self.runtime, self.membership, self.register, self.retire = runtime, membership, register, retire
        self.core: Core
        self.pulling: set[str] = set()
        self.mismatch: dict[str, tuple[float, float, int]] = {}  # since when, and since when in this way
        self.pulled = False
        self.hosts_put = 0

    def merge_rows(self, rows: list[Row]) -> int:
        """Takes lives that another gateway tells of; how many were news."""
        now, news = self.runtime.clock.monotonic(), 0
        for row in rows:
            if self.register.merge(now, row):
                news += 1
                if row.state:
                    self.retire(row)
        return news

    def compare(self, now: float, ip: str, digest: int, unknown: bool) -> None:
        """Another gateway's digest of the register; `unknown`: it has told of a life that is not known here."""
        if digest == self.register.digest and not unknown:
            self.mismatch.pop(ip, None)
            return
        if len(self.mismatch) > MAX_GATEWAYS:
            self.mismatch.clear()
        # Hosts that have just come are on their way to all: what is missed is what still differs later.
        first, since, before = self.mismatch.get(ip, (now, now, 0))
        both = digest ^ self.register.digest
        since = since if both == before else now
        self.mismatch[ip] = (first, since, both)
        late = now - since >= PERIOD * 0.8 or now - first >= MAX_MISMATCH_S
        if late and ip not in self.pulling and len(self.pulling) < 2:
            self.runtime.spawn(self.pull(ip))

    async def pull(self, ip: str, patience: float = 1.0) -> bool:
        self.pulling.add(ip)
        try:
            link = self.runtime.peers.link(ip)
            number = self.runtime.peers.next()
            parts = tuple(self.register.parts) if self.register.entries else ()
            answer = await link.request(number, Pull(number, parts), patience)
            if isinstance(answer, Rows):
                if news := self.merge_rows(answer.rows):
                    log_event(Event.REGISTER_MENDED, ip=ip, news=news)
                    self.mismatch.clear()  # with others too it may have been this
                return True
            return False
        finally:
            self.pulling.discard(ip)

    async def pull_at_start(self) -> None:
        """One that starts asks others for all hosts, until one answers: a seed at once, whose disk remembers
        them; then whom membership knows."""
        settings, chance = self.runtime.settings, self.runtime.chance
        seeds = [ip for ip in settings.seeds if ip != settings.Ip]
        chance.shuffle(seeds)
        while not self.pulled:
            if seeds:
                answered = await self.pull(seeds.pop(), SEED_PATIENCE)
                self.pulled = answered and bool(self.register.entries)
            others = [member.address[0] for member in self.membership.others()]
            if others and not self.pulled:
                seeds = []
                self.pulled = await self.pull(chance.choice(others))
            if not self.pulled and not seeds:
                await asyncio.sleep(0.1)

    async def heartbeat(self, row: Row) -> bool:
        """A host's beat; whether it may be acknowledged."""
        now = self.runtime.clock.monotonic()
        news = self.register.merge(now, row, direct=True)
        if not news:
            life = self.register.entries.get(row.id)
            if not row.state:
                return True
            # One that says again that it leaves was not told that it is known: it is told to all again, and if
            # it is known here to be gone, that is.
            row = life.row if life else row
        if row.state:
            self.retire(row)
            return await self.replicate(row)
        log_event(Event.HOST_NEW, id=row.id, service=row.svc, at=f"{row.ip}:{row.port}")
        self.runtime.spawn(self.replicate(row))
        return True

    async def deregister(self, name: str) -> bool:
        """A host says that it ends. One that is not known here may be to others, who take it for gone."""
        row = self.register.mark_gone(self.runtime.clock.monotonic(), name)
        if row is None:
            return await self.replicate(gone_row(name))
        self.retire(row)
        return await self.replicate(row)

    async def replicate(self, row: Row) -> bool:
        """Tells all gateways; whether enough of the core know, so that it cannot be forgotten with this
        one. A gateway that knows no core cannot tell, and acknowledges nothing."""
        # A host that is new to a large fleet is not worth a connection to each: digests find who missed it.
        told = [] if self.membership.large and not row.state else self.membership.others()
        others = [m.address[0] for m in told]
        core = set(self.core.known()[2])
        noted: set[str] = {self.runtime.settings.Ip}
        # By datagram first, to all: what is lost, and whether it was noted, is what the connections are for.
        self.runtime.peers.cast_all(*self.membership.zones(), LIFE, encode(Rows(0, [row])))
        until = self.runtime.clock.monotonic() + (
            self.runtime.settings.Bounds.DrainMs / 1000 if row.state else DRAINED
        )

        async def one(ip: str) -> None:
            link, number = self.runtime.peers.link(ip), self.runtime.peers.next()
            while (left := until - self.runtime.clock.monotonic()) > 0.02:
                if await link.request(number, Rows(number, [row]), min(left, 0.35)) is not None:
                    noted.add(ip)
                    return
                await asyncio.sleep(0.05)

        work = [self.runtime.loop.create_task(one(ip)) for ip in others]
        self.runtime.tasks.update(work)
        for task in work:
            task.add_done_callback(self.runtime._done)
        # Those that have not noted it by then are told again until the host may not be used any more.
        if work:
            await asyncio.wait(work, timeout=DRAINED)
        if row.state:
            log_event(
                Event.HOST_LEAVES,
                id=row.id,
                state="draining" if row.state == 1 else "gone",
                by=self.runtime.settings.Hostname,
                noted=len(noted & set(others)),
                asked=len(others),
            )
        return 2 * len(core & noted) > len(core)

    def restore(self, rows: list[Row]) -> None:
        """Hosts as the disk has them: passed over again soon, if no beat of theirs comes."""
        now = self.runtime.clock.monotonic()
        for row in rows:
            if not row.state:
                self.register.merge(now, msgspec.structs.replace(row, age=REMEMBERED * self.register.beat))
        self.hosts_put = self.register.version

    async def save_periodically(self) -> None:
        """Puts the register on disk when it has changed."""
        while True:
            await asyncio.sleep(KEEP_HOSTS)
            if self.core.store and self.register.version != self.hosts_put and not self.core.disk_failed:
                version, rows = self.register.version, self.register.rows(self.runtime.clock.monotonic())
                try:
                    await self.runtime.loop.run_in_executor(self.core.disk, self.core.store.save_hosts, rows)
                except (sqlite3.Error, OSError):
                    continue  # a help alone: what must be on disk tells of a disk in trouble
                self.hosts_put = version
