"""The core at this gateway: its seat in the order of changes, its disk, and who the others say the core is."""

from __future__ import annotations

import asyncio
import sqlite3
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from coralvale.cluster.bootstrap.founding import Founding
from coralvale.cluster.census.register import Row
from coralvale.cluster.configuration.history import ChangeHistory
from coralvale.cluster.configuration.model import Configuration
from coralvale.cluster.consensus import messages as order
from coralvale.cluster.consensus.replica import Graft as Machine
from coralvale.cluster.consensus.replica import Record, Terms
from coralvale.cluster.events import Event, tell
from coralvale.cluster.gates.ground import Ground
from coralvale.cluster.gates.words import Graft, Nominate, Nominee
from coralvale.cluster.storage.store import Damaged, Store, StoreError, set_aside

RETRY_DISK = 0.25  # s until a write that failed is tried again


class Core:
    def __init__(
        self,
        ground: Ground,
        take_configuration: Callable[[Configuration], None],
        remember: Callable[[list[Row]], None],
    ) -> None:
        """`take_configuration`: a configuration that was delivered; `remember`: hosts that the disk has."""
        self.ground, self.take_configuration, self.remember = ground, take_configuration, remember
        settings = ground.settings
        self.graft: Machine | None = None
        self.store: Store | None = None
        self.history = ChangeHistory()
        self.disk = ThreadPoolExecutor(1)
        self.writes: list[order.Write] = []
        self.writing = False
        self.disk_failed = 0.0
        self.tokens: dict[int, asyncio.Future[bool]] = {}
        self.founding = Founding(
            settings.Ip, tuple(settings.seeds), settings.Bootstrap, settings.holds_state, ground.born
        )
        self.heard: tuple[int, str, tuple[str, ...]] = (0, "", ())  # view, holder, members
        self.view_told = (0, "")
        self.seats_told: order.Seats | None = None

    def known(self) -> tuple[int, str, tuple[str, ...]]:
        """The newest view that is known of: its number, its holder's address, its members'."""
        graft = self.graft
        if graft and graft.founded and graft.seated:
            seats = graft.seats.all()
            holder = seats.get(graft.holder)
            mine = (graft.view, holder.ip if holder else "", tuple(sorted({m.ip for m in seats.values()})))
            view, _, core = self.heard
            # One that has lost its seat while it was away knows an old view, and others a core without it.
            if (
                holder
                or mine[0] > view
                or (mine[0] == view and (not core or self.ground.settings.Ip in core))
            ):
                return mine
        return self.heard

    def delivers(self) -> bool:
        """Whether the order of changes brings this gateway what is new."""
        return self.graft is not None and not self.graft.astray(self.ground.clock.monotonic())

    def act(self, actions: list[order.Action]) -> None:
        for action in actions:
            if isinstance(action, order.Send):
                self.ground.peers.link(action.to.ip).send(Graft(action.message))
            elif isinstance(action, order.Write):
                self.writes.append(action)
            elif isinstance(action, order.Deliver):
                self._deliver(action.entry)
            elif isinstance(action, order.Restore):
                self.history.restore(action.saved.body)
                self.take_configuration(self.history.configuration)
            elif (future := self.tokens.get(action.token)) and not future.done():
                future.set_result(action.well)
        if self.writes and not self.writing:
            self.writing = True
            self.ground.spawn(self._write())

    async def _write(self) -> None:
        """What is to be on disk goes there in order; a disk in trouble is tried until it takes it."""
        assert self.store and self.graft
        try:
            while self.writes:
                batch = list(self.writes)
                try:
                    await self.ground.loop.run_in_executor(self.disk, self.store.write, batch)
                except (sqlite3.Error, OSError) as error:
                    if not self.disk_failed:
                        self.disk_failed = self.ground.clock.monotonic()
                        tell(Event.DISK_FAILS, reason=str(error))
                    await asyncio.sleep(RETRY_DISK)
                    continue
                if self.disk_failed:
                    tell(Event.DISK_WELL, seconds=self.ground.clock.monotonic() - self.disk_failed)
                    self.disk_failed = 0.0
                del self.writes[: len(batch)]
                self.act(self.graft.wrote(self.ground.clock.monotonic(), batch[-1].number))
        finally:
            self.writing = False

    def _deliver(self, entry: order.Entry) -> None:
        assert self.graft
        if entry.kind == order.CHANGE and self.history.deliver(entry.body):
            self.take_configuration(self.history.configuration)

    def tell_view(self) -> None:
        graft = self.graft
        assert graft
        if graft.holder and (graft.view, graft.holder) != self.view_told:
            self.view_told = (graft.view, graft.holder)
            named = graft.seats.all().get(graft.holder)
            tell(Event.VIEW, view=graft.view, holder=named.name if named else graft.holder)
        if graft.seats != self.seats_told:
            self.seats_told = graft.seats
            names = ", ".join(m.name for m in graft.seats.new)
            tell(Event.SEATS, members=names + (" (changing)" if graft.seats.old else ""))
        if graft.delivered - graft.base.seq > 128 and graft.delivered == graft.commit:
            self.act(graft.save(self.history.image()))

    async def open(self) -> None:
        s = self.ground.settings
        try:
            self.store = await self.ground.loop.run_in_executor(self.disk, Store, s.Datadir)
            record = await self.ground.loop.run_in_executor(self.disk, self.store.load)
        except Damaged as error:
            # As good as lost: it begins anew, and is seated when it holds all that the others have.
            tell(Event.DISK_FOREIGN, reason=str(error))
            self.founding.lost_disk()
            aside = await self.ground.loop.run_in_executor(self.disk, set_aside, s.Datadir)
            tell(Event.DISK_ASIDE, name=aside)
            self.ground.spawn(self._open_again())
            return
        except (StoreError, sqlite3.Error, OSError) as error:
            tell(Event.DISK_FOREIGN, reason=str(error))
            self.ground.spawn(self._open_again())
            return
        self.remember(await self.ground.loop.run_in_executor(self.disk, self.store.hosts))
        self._begin_order(record)

    async def _open_again(self) -> None:
        """A disk in trouble at the start: this gateway serves, and is no member until its disk can be
        read."""
        await asyncio.sleep(1.0)
        await self.open()

    def _begin_order(self, record: Record) -> None:
        s = self.ground.settings
        assert self.store
        me = order.Member(self.store.id, s.Hostname, s.Ip)
        self.founding.me = me.id
        terms = Terms(least=2 * s.FaultBudget.Nodes + 1)
        self.graft = Machine(me, record, terms, self.ground.chance, self.ground.clock.monotonic())
        self.act(self.graft.start(self.ground.clock.monotonic()))

    async def join(self) -> None:
        """A disk without a seat asks for one; on the very first start one gateway names who founds the
        core."""
        told = False
        while True:
            await asyncio.sleep(0.2)
            graft = self.graft
            if graft is None or self.ground.stopping or not graft.astray(self.ground.clock.monotonic()):
                continue
            _, holder, core = self.known()
            if not graft.founded and not graft.last and self.founding.may_ask(bool(core)):
                await self._nominate(graft)
                continue
            if not told and not graft.seated:
                told = True
                tell(Event.JOINING, id=graft.me.id)
            for ip in {holder} if holder else set(core):
                self.ground.peers.link(ip).send(Graft(order.Join(graft.me)))

    async def _nominate(self, graft: Machine) -> None:
        nominator = self.founding.nominator
        if nominator == self.ground.settings.Ip:
            named = self.founding.asked(self.ground.clock.monotonic(), graft.me.id, bool(self.known()[2]))
        else:
            number = self.ground.peers.next()
            answer = await self.ground.peers.link(nominator).request(number, Nominate(number, graft.me), 1.0)
            named = answer.id if isinstance(answer, Nominee) else ""
        if not graft.founded and self.founding.told(named, bool(self.known()[2])):
            self.act(graft.found(self.ground.clock.monotonic()))
            tell(Event.FOUNDED, id=graft.me.id)

    async def propose(self, kind: int, body: bytes, patience: float) -> bool:
        assert self.graft
        token = self.ground.peers.next()
        future: asyncio.Future[bool] = self.ground.loop.create_future()
        self.tokens[token] = future
        try:
            self.act(self.graft.propose(self.ground.clock.monotonic(), token, kind, body))
            async with asyncio.timeout(patience):
                return await future
        except TimeoutError:
            return False
        finally:
            self.tokens.pop(token, None)

    def seat(self) -> str:
        """What this gateway's disk is to the order of changes."""
        if self.graft is None or not self.graft.seated:
            return "none"
        return "changing" if self.graft.seats.old or not self.graft.settled else "seated"
