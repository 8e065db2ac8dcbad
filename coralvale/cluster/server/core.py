"""The control state at this gateway: its replica of the log of changes, its disk, and who the members are."""

from __future__ import annotations

import asyncio
import sqlite3
from collections import deque
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor

from coralvale.cluster.bootstrap.founding import CoreBootstrap
from coralvale.cluster.configuration.history import Change, ChangeHistory
from coralvale.cluster.configuration.model import Configuration
from coralvale.cluster.consensus import messages as consensus
from coralvale.cluster.consensus.replica import DurableState, Replica, Timing
from coralvale.cluster.coordination.desk import CoordinationAnswer, CoordinationHandler, CoordinationNotice
from coralvale.cluster.coordination.model import Call, Outcome, Unknown
from coralvale.cluster.coordination.notices import Notice
from coralvale.cluster.coordination.state import CoordinationState
from coralvale.cluster.events import Event, log_event
from coralvale.cluster.orders import ChangeAnswer, ChangeRequestHandler
from coralvale.cluster.rate_limit.shares import ShareTable
from coralvale.cluster.registry.register import Row
from coralvale.cluster.server.messages import ConsensusMessage, Nominate, Nominee
from coralvale.cluster.server.runtime import Runtime
from coralvale.cluster.share_desk import ShareAnswer, ShareClaim, ShareClaimHandler
from coralvale.cluster.storage.store import DamagedStoreError, Store, StoreError, set_aside

RETRY_DISK = 0.25  # s until a write that failed is tried again
SHARES_LOOK = 0.2  # s between looks at whether the table of shares is to change
Work = consensus.Action | ChangeAnswer | ShareAnswer | CoordinationAnswer | CoordinationNotice


class Core:
    def __init__(
        self,
        runtime: Runtime,
        take_configuration: Callable[[Configuration], None],
        remember: Callable[[list[Row]], None],
    ) -> None:
        """`take_configuration`: one that was delivered; `remember`: hosts that the disk has."""
        self.runtime, self.take_configuration, self.remember = runtime, take_configuration, remember
        settings = runtime.settings
        self.replica: Replica | None = None
        self.store: Store | None = None
        self.history, self.shares = ChangeHistory(), ShareTable()
        self.coordination = CoordinationState()
        self.disk = ThreadPoolExecutor(1)
        self.writes: list[consensus.Write] = []
        self.writing = False
        self.disk_failed = self.shares_looked = 0.0
        self.answers: dict[int, asyncio.Future[ChangeAnswer]] = {}
        self.share_answers: dict[int, asyncio.Future[ShareAnswer]] = {}
        self.outcomes: dict[int, asyncio.Future[Outcome]] = {}  # by token, of coordination calls
        self.pending: deque[Work] = deque()
        self.acting = False
        self.desk: ChangeRequestHandler | None = None
        self.share_desk: ShareClaimHandler | None = None
        self.coordination_desk: CoordinationHandler | None = None
        self.notice: Callable[[Notice], None] = lambda notice: None  # told of locks that left their holder
        self.founding = CoreBootstrap(
            settings.Ip, tuple(settings.seeds), settings.Bootstrap, settings.holds_state, runtime.born
        )
        self.heard: tuple[int, str, tuple[str, ...]] = (0, "", ())  # view, leader, voters
        self.view_told = (0, "")
        self.voters_told: consensus.VoterSet | None = None

    def known(self) -> tuple[int, str, tuple[str, ...]]:
        """The newest view that is known of: its number, its leader's address, its voters'."""
        replica = self.replica
        if replica and replica.bootstrapped and replica.is_voter:
            voters = replica.voters.all()
            leader = voters.get(replica.leader)
            addresses = tuple(sorted({m.ip for m in voters.values()}))
            mine = (replica.view, leader.ip if leader else "", addresses)
            view, _, core = self.heard
            # One that has lost its vote while it was away knows an old view, and others a core without it.
            among = not core or self.runtime.settings.Ip in core
            if leader or mine[0] > view or (mine[0] == view and among):
                return mine
        return self.heard

    def leads(self) -> bool:
        return self.replica is not None and self.replica.leading

    def in_contact(self) -> bool:
        """Whether this gateway's replica is, as far as it can know, on the side that goes on."""
        return self.replica is not None and self.replica.in_contact(self.runtime.clock.monotonic())

    def delivers(self) -> bool:
        """Whether the log of changes brings this gateway what is new."""
        return self.replica is not None and not self.replica.needs_join(self.runtime.clock.monotonic())

    def act(self, actions: Sequence[Work]) -> None:
        """Carries out what the replica and the desk return, in order; what that leads to comes after it."""
        self.pending.extend(actions)
        if self.acting:
            return
        self.acting = True
        try:
            while self.pending:
                self._carry_out(self.pending.popleft())
        finally:
            self.acting = False
        if self.writes and not self.writing:
            self.writing = True
            self.runtime.spawn(self._write())

    def _carry_out(self, action: Work) -> None:
        match action:
            case consensus.Send():
                self.runtime.peers.link(action.to.ip).send(ConsensusMessage(action.message, action.to.id))
            case consensus.Write():
                self.writes.append(action)
            case consensus.Deliver():
                self._deliver(action.entry)
            case consensus.Restore():
                image = self.history.restore(action.snapshot.body)
                assert self.share_desk and self.coordination_desk
                self.share_desk.restore(self.runtime.clock.monotonic(), image.shares)
                self.pending.extend(self.coordination_desk.restore(image.coordination))
                self.take_configuration(self.history.configuration)
            case consensus.Settled():
                now = self.runtime.clock.monotonic()
                for desk in (self.desk, self.share_desk, self.coordination_desk):
                    if desk:
                        self.pending.extend(desk.settled(now, action.token, action.accepted))
            case ChangeAnswer():
                if (future := self.answers.get(action.token)) and not future.done():
                    future.set_result(action)
            case ShareAnswer():
                if (answer := self.share_answers.get(action.token)) and not answer.done():
                    answer.set_result(action)
            case CoordinationAnswer():
                if (outcome := self.outcomes.get(action.token)) and not outcome.done():
                    outcome.set_result(action.outcome)
            case CoordinationNotice():
                self.notice(action.notice)

    async def _write(self) -> None:
        """What is to be on disk goes there in order; a disk in trouble is tried until it takes it."""
        assert self.store and self.replica
        try:
            while self.writes:
                batch = list(self.writes)
                try:
                    await self.runtime.loop.run_in_executor(self.disk, self.store.write, batch)
                except (sqlite3.Error, OSError) as error:
                    if not self.disk_failed:
                        self.disk_failed = self.runtime.clock.monotonic()
                        log_event(Event.DISK_FAILS, reason=str(error))
                    await asyncio.sleep(RETRY_DISK)
                    continue
                if self.disk_failed:
                    log_event(Event.DISK_WELL, seconds=self.runtime.clock.monotonic() - self.disk_failed)
                    self.disk_failed = 0.0
                del self.writes[: len(batch)]
                self.act(self.replica.write_completed(self.runtime.clock.monotonic(), batch[-1].number))
        finally:
            self.writing = False

    def _deliver(self, entry: consensus.Entry) -> None:
        if entry.kind == consensus.CHANGE and self.history.deliver(entry.body):
            self.take_configuration(self.history.configuration)
        elif entry.kind == consensus.SHARES and self.share_desk:
            self.share_desk.deliver(self.runtime.clock.monotonic(), entry.body)
        elif entry.kind == consensus.COORDINATION and self.coordination_desk:
            self.pending.extend(self.coordination_desk.deliver(self.runtime.clock.monotonic(), entry.body))

    def tell_view(self) -> None:
        """Logs a new view, leader or set of voters, and takes a snapshot when one is due."""
        replica = self.replica
        assert replica
        if replica.leader and (replica.view, replica.leader) != self.view_told:
            self.view_told = (replica.view, replica.leader)
            named = replica.voters.all().get(replica.leader)
            log_event(Event.VIEW, view=replica.view, leader=named.name if named else replica.leader)
        if replica.voters != self.voters_told:
            self.voters_told = replica.voters
            names = ", ".join(m.name for m in replica.voters.new)
            log_event(Event.VOTERS, members=names + (" (changing)" if replica.voters.old else ""))
        if replica.due_for_snapshot():
            self.act(
                replica.save_snapshot(self.history.image(self.shares.image(), self.coordination.image()))
            )

    async def open(self) -> None:
        s = self.runtime.settings
        try:
            self.store = await self.runtime.loop.run_in_executor(self.disk, Store, s.Datadir)
            state = await self.runtime.loop.run_in_executor(self.disk, self.store.load)
        except DamagedStoreError as error:
            # As good as lost: it begins anew, and votes when it holds all that the others have.
            log_event(Event.DISK_FOREIGN, reason=str(error))
            self.founding.mark_disk_lost()
            aside = await self.runtime.loop.run_in_executor(self.disk, set_aside, s.Datadir)
            log_event(Event.DISK_ASIDE, name=aside)
            self.runtime.spawn(self._open_again())
            return
        except (StoreError, sqlite3.Error, OSError) as error:
            log_event(Event.DISK_FOREIGN, reason=str(error))
            await self.close()  # it holds the file's lock, which the next try needs
            self.store = None
            self.runtime.spawn(self._open_again())
            return
        self.remember(await self.runtime.loop.run_in_executor(self.disk, self.store.load_hosts))
        self._begin(state)

    async def _open_again(self) -> None:
        """A disk in trouble at the start: this gateway serves, and is no member until its disk can be
        read."""
        await asyncio.sleep(1.0)
        await self.open()

    def _begin(self, state: DurableState) -> None:
        s = self.runtime.settings
        assert self.store
        me = consensus.Member(self.store.id, s.Hostname, s.Ip)
        self.founding.disk_id = me.id
        timing = Timing(min_voters=2 * s.FaultBudget.Nodes + 1, remove_spare_after=s.Bounds.SyncS)
        self.replica = Replica(me, state, timing, self.runtime.chance, self.runtime.clock.monotonic())
        self.desk = ChangeRequestHandler(self.replica, self.history)
        now = self.runtime.clock.monotonic()
        self.share_desk = ShareClaimHandler(
            self.replica, self.shares, self.runtime.peers.next, now, s.Bounds.QuotaWindowS
        )
        self.coordination_desk = CoordinationHandler(
            self.replica, self.coordination, self.runtime.peers.next, self.runtime.chance, s.Bounds.RetainS
        )
        self.act(self.replica.start(now))

    async def close(self) -> None:
        """Closes the disk, behind the write that is in hand: sqlite's connection bears one thread at a time."""
        if self.store:
            await self.runtime.loop.run_in_executor(self.disk, self.store.close)

    async def join(self) -> None:
        """A disk without a vote asks to be kept up to date; on the very first start one gateway names who
        founds the core."""
        told = False
        while True:
            await asyncio.sleep(0.2)
            replica = self.replica
            if replica is None or self.runtime.stopping:
                continue
            if not replica.needs_join(self.runtime.clock.monotonic()):
                continue
            _, leader, core = self.known()
            if not replica.bootstrapped and not replica.last_seq and self.founding.should_ask(bool(core)):
                await self._nominate(replica)
                continue
            if not told and not replica.is_voter:
                told = True
                log_event(Event.JOINING, id=replica.me.id)
            for ip in {leader} if leader else set(core):
                self.runtime.peers.link(ip).send(ConsensusMessage(consensus.JoinRequest(replica.me)))

    async def _nominate(self, replica: Replica) -> None:
        nominator = self.founding.nominator
        now, core_known = self.runtime.clock.monotonic(), bool(self.known()[2])
        if nominator == self.runtime.settings.Ip:
            named = self.founding.answer_request(now, replica.me.id, core_known)
        else:
            number = self.runtime.peers.next()
            link = self.runtime.peers.link(nominator)
            answer = await link.request(number, Nominate(number, replica.me), 1.0)
            named = answer.id if isinstance(answer, Nominee) else ""
        if not replica.bootstrapped and self.founding.accept_answer(named, bool(self.known()[2])):
            self.act(replica.bootstrap(self.runtime.clock.monotonic()))
            log_event(Event.FOUNDED, id=replica.me.id)

    async def order(self, change: Change | None, patience: float) -> ChangeAnswer | None:
        """By the leader: an operator's change, or (None) a reading. None: not decided within `patience` s."""
        assert self.desk
        token, now = self.runtime.peers.next(), self.runtime.clock.monotonic()
        future: asyncio.Future[ChangeAnswer] = self.runtime.loop.create_future()
        self.answers[token] = future
        try:
            self.act(self.desk.submit(now, token, change) if change else self.desk.read(now, token))
            async with asyncio.timeout(patience):
                return await future
        except TimeoutError:
            return None
        finally:
            self.answers.pop(token, None)

    async def claim(self, address: str, version: int, left: bool, patience: float) -> ShareAnswer | None:
        """By the leader: a gateway's claim to its shares. None: not answered within `patience` s."""
        if self.share_desk is None:
            return None
        token, now = self.runtime.peers.next(), self.runtime.clock.monotonic()
        future: asyncio.Future[ShareAnswer] = self.runtime.loop.create_future()
        self.share_answers[token] = future
        try:
            self.act(self.share_desk.claim(now, ShareClaim(token, address, version, left)))
            async with asyncio.timeout(patience):
                return await future
        except TimeoutError:
            return None
        finally:
            self.share_answers.pop(token, None)

    async def coordinate(self, call: Call, patience: float) -> Outcome:
        """By the leader: an application's call."""
        assert self.coordination_desk
        token, now = self.runtime.peers.next(), self.runtime.clock.monotonic()
        future: asyncio.Future[Outcome] = self.runtime.loop.create_future()
        self.outcomes[token] = future
        try:
            self.act(self.coordination_desk.call(now, token, call))
            async with asyncio.timeout(patience):
                return await future
        except TimeoutError:
            return Unknown("not agreed on in time")
        finally:
            self.outcomes.pop(token, None)

    def tick(self, now: float) -> None:
        """What is due at this replica, and at its desks."""
        assert self.replica and self.share_desk and self.coordination_desk
        self.act(self.replica.tick(now))
        self.act(self.coordination_desk.tick(now))
        if now - self.shares_looked >= SHARES_LOOK:
            self.shares_looked = now
            self.act(self.share_desk.tick(now))

    def leave(self) -> None:
        """This process is being stopped: leadership and vote are handed on."""
        if self.replica:
            self.act(self.replica.leave(self.runtime.clock.monotonic()))

    def may_end(self) -> bool:
        """Whether all that is committed is safe without this process; a gateway without a replica always may."""
        return self.replica is None or not self.replica.bootstrapped or self.replica.safe_to_stop

    def role(self) -> str:
        """What this gateway's disk is to the log of changes."""
        if self.replica is None:
            return "none"
        if not self.replica.is_voter:
            return "learner" if self.replica.bootstrapped else "none"
        return "changing" if self.replica.voters.old or not self.replica.caught_up else "voter"
