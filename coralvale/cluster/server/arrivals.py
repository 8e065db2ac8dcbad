"""Replication of the register of hosts between gateways.

Heartbeats and deregistrations are merged into the local register and sent to the other gateways. Registers
that still differ, found by comparing digests, are reconciled by pulling the other gateway's entries.
"""

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
from coralvale.cluster.server.messages import HostRows, HostRowsRequest, encode
from coralvale.cluster.server.peers import HOST_ROWS
from coralvale.cluster.server.runtime import Runtime

ACK_TIMEOUT_S = 0.75  # for gateways to acknowledge a host's new state, before its call is answered
SAVE_INTERVAL_S = 1.0  # between checks whether the register on disk is out of date
RESTORED_AGE_HEARTBEATS = 1.5  # assumed silence of hosts restored from disk, in heartbeat intervals
SEED_TIMEOUT_S = 0.4  # for the first answer of a seed; short, because the seed may be down
MAX_MISMATCH_S = 2.0  # a register that has differed for this long is pulled even while both still change


class HostReplication:
    """Handles hosts' calls and keeps this gateway's register equal to those of the others."""

    def __init__(
        self, runtime: Runtime, membership: Membership, register: Register, retire: Callable[[Row], None]
    ) -> None:
        """`retire`: called with each row that drains or is gone; no new connection to it is kept."""
        self.runtime, self.membership, self.register, self.retire = runtime, membership, register, retire
        self.core: Core
        self.pulling: set[str] = set()
        # By address: since when, since when with this difference, and the XOR of both digests.
        self.mismatch: dict[str, tuple[float, float, int]] = {}
        self.pulled = False  # the register was pulled once after the start
        self.saved_version = 0  # of the register on disk

    def merge_rows(self, rows: list[Row]) -> int:
        """Merges rows from another gateway; returns how many changed the register."""
        now, news = self.runtime.clock.monotonic(), 0
        for row in rows:
            if self.register.merge(now, row):
                news += 1
                if row.state:
                    self.retire(row)
        return news

    def compare(self, now: float, ip: str, digest: int, unknown: bool) -> None:
        """Compares another gateway's digest of the register, and pulls its register after a lasting mismatch.

        `unknown`: it reported a host that is not known here.
        """
        if digest == self.register.digest and not unknown:
            self.mismatch.pop(ip, None)
            return
        if len(self.mismatch) > MAX_GATEWAYS:
            self.mismatch.clear()
        # New hosts may still be on their way to this gateway: only a mismatch that lasts means a lost update.
        first, since, before = self.mismatch.get(ip, (now, now, 0))
        both = digest ^ self.register.digest
        since = since if both == before else now
        self.mismatch[ip] = (first, since, both)
        late = now - since >= PERIOD * 0.8 or now - first >= MAX_MISMATCH_S
        if late and ip not in self.pulling and len(self.pulling) < 2:
            self.runtime.spawn(self.pull(ip))

    async def pull(self, ip: str, timeout: float = 1.0) -> bool:
        """Merges the parts in which another gateway's register differs. False if it does not answer in time."""
        self.pulling.add(ip)
        try:
            link = self.runtime.peers.link(ip)
            number = self.runtime.peers.next_number()
            parts = tuple(self.register.parts) if self.register.entries else ()
            answer = await link.request(number, HostRowsRequest(number, parts), timeout)
            if isinstance(answer, HostRows):
                if news := self.merge_rows(answer.rows):
                    log_event(Event.REGISTER_MENDED, ip=ip, news=news)
                    self.mismatch.clear()  # this may have resolved the mismatches with others too
                return True
            return False
        finally:
            self.pulling.discard(ip)

    async def pull_at_start(self) -> None:
        """Pulls the register after the start, until a gateway answers.

        Seeds are asked first, since they may have restored hosts from disk, then members.
        """
        settings, chance = self.runtime.settings, self.runtime.rng
        seeds = [ip for ip in settings.seeds if ip != settings.Ip]
        chance.shuffle(seeds)
        while not self.pulled:
            if seeds:
                answered = await self.pull(seeds.pop(), SEED_TIMEOUT_S)
                self.pulled = answered and bool(self.register.entries)
            others = [member.address[0] for member in self.membership.others()]
            if others and not self.pulled:
                seeds = []
                self.pulled = await self.pull(chance.choice(others))
            if not self.pulled and not seeds:
                await asyncio.sleep(0.1)

    async def heartbeat(self, row: Row) -> bool:
        """Handles a host's heartbeat; returns whether it may be acknowledged."""
        now = self.runtime.clock.monotonic()
        news = self.register.merge(now, row, direct=True)
        if not news:
            life = self.register.entries.get(row.id)
            if not row.state:
                return True
            # A host that repeats that it leaves got no acknowledgement: its state is sent to all gateways again,
            # as gone if it is known to be gone here.
            row = life.row if life else row
        if row.state:
            self.retire(row)
            return await self.replicate(row)
        log_event(Event.HOST_NEW, id=row.id, service=row.svc, at=f"{row.ip}:{row.port}")
        self.runtime.spawn(self.replicate(row))
        return True

    async def deregister(self, name: str) -> bool:
        """Handles a host's deregistration; returns whether it may be acknowledged.

        A host that is not known here is reported as gone as well, because other gateways may know it.
        """
        row = self.register.mark_gone(self.runtime.clock.monotonic(), name)
        if row is None:
            return await self.replicate(gone_row(name))
        self.retire(row)
        return await self.replicate(row)

    async def replicate(self, row: Row) -> bool:
        """Sends a row to the other gateways; returns whether a majority of the core has it.

        With a majority the row survives the loss of this gateway. A gateway that knows no core cannot tell and
        returns False.
        """
        # In a large fleet no connection to each gateway is made for a new host: digests reveal who missed it.
        told = [] if self.membership.is_large and not row.state else self.membership.others()
        others = [m.address[0] for m in told]
        core = set(self.core.known_view()[2])
        noted: set[str] = {self.runtime.settings.Ip}
        # A datagram to all first. The connections make up for lost datagrams and bring the acknowledgements.
        self.runtime.peers.broadcast(
            *self.membership.broadcast_targets(), HOST_ROWS, encode(HostRows(0, [row]))
        )
        until = self.runtime.clock.monotonic() + (
            self.runtime.settings.Bounds.DrainMs / 1000 if row.state else ACK_TIMEOUT_S
        )

        async def one(ip: str) -> None:
            link, number = self.runtime.peers.link(ip), self.runtime.peers.next_number()
            while (left := until - self.runtime.clock.monotonic()) > 0.02:
                if await link.request(number, HostRows(number, [row]), min(left, 0.35)) is not None:
                    noted.add(ip)
                    return
                await asyncio.sleep(0.05)

        work = [self.runtime.loop.create_task(one(ip)) for ip in others]
        self.runtime.tasks.update(work)
        for task in work:
            task.add_done_callback(self.runtime._task_done)
        # Gateways that have not acknowledged by then are retried in the background until the host may not be
        # used any more.
        if work:
            await asyncio.wait(work, timeout=ACK_TIMEOUT_S)
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
        """Merges hosts restored from disk. Those that serve expire soon unless a heartbeat arrives.

        Those that drain or are gone are restored as they were, since a host never comes back from there.
        """
        now = self.runtime.clock.monotonic()
        for row in rows:
            age = row.age if row.state else RESTORED_AGE_HEARTBEATS * self.register.beat
            self.register.merge(now, msgspec.structs.replace(row, age=age))
        self.saved_version = self.register.version

    async def save_periodically(self) -> None:
        """Saves the register to disk whenever it has changed."""
        while True:
            await asyncio.sleep(SAVE_INTERVAL_S)
            if (
                self.core.store
                and self.register.version != self.saved_version
                and not self.core.disk_failed_at
            ):
                version, rows = self.register.version, self.register.rows(self.runtime.clock.monotonic())
                try:
                    await self.runtime.loop.run_in_executor(self.core.disk, self.core.store.save_hosts, rows)
                except (sqlite3.Error, OSError):
                    continue  # best effort; disk failures are reported by the writes of the replicated log
                self.saved_version = version
