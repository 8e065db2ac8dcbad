"""The control state at this gateway: its replica of the consensus log, its disk, and the core's members.

The core is the group of gateways that hold replicas.
"""

from __future__ import annotations

import asyncio
import sqlite3
from collections import deque
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor
from functools import partial

from coralvale.cluster.bootstrap.founding import CoreBootstrap
from coralvale.cluster.configuration.history import BuiltChange, Change, ChangeHistory
from coralvale.cluster.configuration.model import Configuration
from coralvale.cluster.consensus import messages as consensus
from coralvale.cluster.consensus.replica import DurableState, Replica, Timing
from coralvale.cluster.coordination.desk import CoordinationAnswer, CoordinationHandler, CoordinationNotice
from coralvale.cluster.coordination.model import Call, Outcome, Unknown
from coralvale.cluster.coordination.notices import Notice
from coralvale.cluster.coordination.state import CoordinationState
from coralvale.cluster.errors import Kind, Problem
from coralvale.cluster.events import Event, log_event
from coralvale.cluster.orders import ChangeAnswer, ChangeRequestHandler, CheckChange
from coralvale.cluster.rate_limit.shares import ShareTable
from coralvale.cluster.registry.register import Row
from coralvale.cluster.server.background import run_in_thread
from coralvale.cluster.server.delivery import ConfigurationDelivery
from coralvale.cluster.server.guard import run_guarded
from coralvale.cluster.server.messages import ConsensusMessage, Nominate, Nominee
from coralvale.cluster.server.runtime import Runtime
from coralvale.cluster.share_desk import ShareAnswer, ShareClaim, ShareClaimHandler
from coralvale.cluster.storage.store import DamagedStoreError, Store, StoreError, set_aside

DISK_RETRY_S = 0.25  # until a failed write is retried
SHARES_CHECK_INTERVAL_S = 0.2  # between checks whether the share table should change
CoreAction = (
    consensus.Action | ChangeAnswer | CheckChange | ShareAnswer | CoordinationAnswer | CoordinationNotice
)
CallHandler = ChangeRequestHandler | ShareClaimHandler | CoordinationHandler


class Core:
    """Runs this gateway's replica, if it has one, and the state machines of its log."""

    def __init__(
        self,
        runtime: Runtime,
        apply_configuration: Callable[[Configuration], None],
        restore_hosts: Callable[[list[Row]], None],
    ) -> None:
        """`apply_configuration`: called with each committed configuration; `restore_hosts`: with the hosts on
        the disk."""
        self.runtime, self.apply_configuration, self.restore_hosts = (
            runtime,
            apply_configuration,
            restore_hosts,
        )
        settings = runtime.settings
        self.replica: Replica | None = None
        self.store: Store | None = None
        self.history, self.shares = ChangeHistory(), ShareTable()
        self.coordination = CoordinationState()
        self.delivery = ConfigurationDelivery(self.history, apply_configuration, runtime.spawn)
        self.disk = ThreadPoolExecutor(1)
        self.writes: list[consensus.Write] = []
        self.writing = False
        self.disk_failed_at = self.shares_checked_at = 0.0
        self.answers: dict[int, asyncio.Future[ChangeAnswer]] = {}
        self.share_answers: dict[int, asyncio.Future[ShareAnswer]] = {}
        self.coordination_answers: dict[int, asyncio.Future[Outcome]] = {}  # by token
        self.pending: deque[CoreAction] = deque()
        self.executing = False
        self.desk: ChangeRequestHandler | None = None
        self.share_desk: ShareClaimHandler | None = None
        self.coordination_desk: CoordinationHandler | None = None
        # Called when a lock has been taken from its holder.
        self.on_notice: Callable[[Notice], None] = lambda notice: None
        self.founding = CoreBootstrap(
            settings.Ip, tuple(settings.seeds), settings.Bootstrap, settings.holds_state, runtime.started_at
        )
        self.heard_view: tuple[int, str, tuple[str, ...]] = (0, "", ())  # view, leader, voters
        self.logged_view = (0, "")
        self.logged_voters: consensus.VoterSet | None = None

    def known_view(self) -> tuple[int, str, tuple[str, ...]]:
        """The newest known view: its number, the address of its leader (or ""), the addresses of its
        voters."""
        replica = self.replica
        if replica and replica.bootstrapped and replica.is_voter:
            voters = replica.voters.all()
            leader = voters.get(replica.leader)
            addresses = tuple(sorted({m.ip for m in voters.values()}))
            mine = (replica.view, leader.ip if leader else "", addresses)
            view, _, core = self.heard_view
            # A replica that lost its vote while it was down knows only an old view; the core reported by
            # others does not contain it.
            among = not core or self.runtime.settings.Ip in core
            if leader or mine[0] > view or (mine[0] == view and among):
                return mine
        return self.heard_view

    def is_leader(self) -> bool:
        """Whether this gateway's replica leads the core."""
        return self.replica is not None and self.replica.leading

    def in_contact(self) -> bool:
        """Whether this gateway's replica is, as far as it can know, in contact with a majority."""
        return self.replica is not None and self.replica.in_contact(self.runtime.clock.monotonic())

    def follows_log(self) -> bool:
        """Whether this gateway gets committed changes from the log."""
        return self.replica is not None and not self.replica.needs_join(self.runtime.clock.monotonic())

    def execute(self, actions: Sequence[CoreAction]) -> None:
        """Executes actions of the replica and the request handlers, in order; actions that result come after
        them."""
        self.pending.extend(actions)
        if self.executing:
            return
        self.executing = True
        try:
            while self.pending:
                action = self.pending.popleft()
                run_guarded(type(action).__name__, partial(self._execute_action, action))
        finally:
            self.executing = False
        if self.writes and not self.writing:
            self.writing = True
            self.runtime.spawn(self._write())

    def _settle(self, handler: CallHandler, settled: consensus.Settled) -> None:
        now = self.runtime.clock.monotonic()
        self.execute(handler.settled(now, settled.token, settled.accepted))

    def _execute_action(self, action: CoreAction) -> None:
        match action:
            case consensus.Send():
                self.runtime.peers.link(action.to.ip).send(ConsensusMessage(action.message, action.to.id))
            case consensus.Write():
                self.writes.append(action)
            case consensus.Deliver():
                self._deliver(action.entry)
            case consensus.Restore():
                image = self.history.restore(action.snapshot.body)
                self.delivery.supersede()
                assert self.share_desk and self.coordination_desk
                self.share_desk.restore(self.runtime.clock.monotonic(), image.shares)
                self.pending.extend(self.coordination_desk.restore(image.coordination))
                self.apply_configuration(self.history.configuration)
            case consensus.Settled():
                if self.desk:
                    self.delivery.after(partial(self._settle, self.desk, action))
                for handler in (self.share_desk, self.coordination_desk):
                    if handler:
                        run_guarded(type(handler).__name__, partial(self._settle, handler, action))
            case CheckChange():
                self.runtime.spawn(self._check_change(action))
            case ChangeAnswer():
                if (future := self.answers.get(action.token)) and not future.done():
                    future.set_result(action)
            case ShareAnswer():
                if (answer := self.share_answers.get(action.token)) and not answer.done():
                    answer.set_result(action)
            case CoordinationAnswer():
                if (outcome := self.coordination_answers.get(action.token)) and not outcome.done():
                    outcome.set_result(action.outcome)
            case CoordinationNotice():
                self.on_notice(action.notice)

    async def _check_change(self, action: CheckChange) -> None:
        """Checks an order beside the event loop, which serves on meanwhile."""
        assert self.desk
        found: BuiltChange | Problem
        try:
            found = await run_in_thread(action.run)
        except Exception as error:  # noqa: BLE001 - no thread could be started, for instance
            found = Problem(Kind.CHECK_FAILED, repr(error))
        self.execute(self.desk.checked(self.runtime.clock.monotonic(), action.token, found))

    async def _write(self) -> None:
        """Writes to disk in order; retries a failed write until it succeeds."""
        assert self.store and self.replica
        try:
            while self.writes:
                batch = list(self.writes)
                try:
                    await self.runtime.loop.run_in_executor(self.disk, self.store.write, batch)
                except (sqlite3.Error, OSError) as error:
                    if not self.disk_failed_at:
                        self.disk_failed_at = self.runtime.clock.monotonic()
                        log_event(Event.DISK_FAILS, reason=str(error))
                    await asyncio.sleep(DISK_RETRY_S)
                    continue
                if self.disk_failed_at:
                    log_event(Event.DISK_WELL, seconds=self.runtime.clock.monotonic() - self.disk_failed_at)
                    self.disk_failed_at = 0.0
                del self.writes[: len(batch)]
                self.execute(self.replica.write_completed(self.runtime.clock.monotonic(), batch[-1].number))
        finally:
            self.writing = False

    def _deliver(self, entry: consensus.Entry) -> None:
        if entry.kind == consensus.CHANGE:
            self.delivery.deliver(entry.body)
        elif entry.kind == consensus.SHARES and self.share_desk:
            self.share_desk.deliver(self.runtime.clock.monotonic(), entry.body)
        elif entry.kind == consensus.COORDINATION and self.coordination_desk:
            self.pending.extend(self.coordination_desk.deliver(self.runtime.clock.monotonic(), entry.body))

    def log_view_and_snapshot(self) -> None:
        """Logs a new view, leader or set of voters; takes a snapshot if one is due."""
        replica = self.replica
        assert replica
        if replica.leader and (replica.view, replica.leader) != self.logged_view:
            self.logged_view = (replica.view, replica.leader)
            named = replica.voters.all().get(replica.leader)
            log_event(Event.VIEW, view=replica.view, leader=named.name if named else replica.leader)
        if replica.voters != self.logged_voters:
            self.logged_voters = replica.voters
            names = ", ".join(m.name for m in replica.voters.new)
            log_event(Event.VOTERS, members=names + (" (changing)" if replica.voters.old else ""))
        if replica.due_for_snapshot() and self.delivery.idle:
            self.execute(
                replica.save_snapshot(self.history.image(self.shares.image(), self.coordination.image()))
            )

    async def open(self) -> None:
        """Opens the disk and starts the replica; retries later if that fails."""
        s = self.runtime.settings
        try:
            self.store = await self.runtime.loop.run_in_executor(self.disk, Store, s.Datadir)
            state = await self.runtime.loop.run_in_executor(self.disk, self.store.load)
        except DamagedStoreError as error:
            # Treated as a lost disk: the replica starts empty, and votes once it holds all that the others
            # have.
            log_event(Event.DISK_FOREIGN, reason=str(error))
            self.founding.mark_disk_lost()
            aside = await self.runtime.loop.run_in_executor(self.disk, set_aside, s.Datadir)
            log_event(Event.DISK_ASIDE, name=aside)
            self.runtime.spawn(self._reopen())
            return
        except (StoreError, sqlite3.Error, OSError) as error:
            log_event(Event.DISK_FOREIGN, reason=str(error))
            await self.close()  # releases the file lock, which the next attempt needs
            self.store = None
            self.runtime.spawn(self._reopen())
            return
        self.restore_hosts(await self.runtime.loop.run_in_executor(self.disk, self.store.load_hosts))
        self._start_replica(state)

    async def _reopen(self) -> None:
        """Tries again to open a disk that failed at the start; until then this gateway serves without a
        replica."""
        await asyncio.sleep(1.0)
        await self.open()

    def _start_replica(self, state: DurableState) -> None:
        s = self.runtime.settings
        assert self.store
        me = consensus.Member(self.store.id, s.Hostname, s.Ip)
        self.founding.disk_id = me.id
        timing = Timing(min_voters=2 * s.FaultBudget.Nodes + 1, remove_spare_after=s.Bounds.SyncS)
        self.replica = Replica(me, state, timing, self.runtime.rng, self.runtime.clock.monotonic())
        self.desk = ChangeRequestHandler(self.replica, self.history)
        now = self.runtime.clock.monotonic()
        self.share_desk = ShareClaimHandler(
            self.replica, self.shares, self.runtime.peers.next_number, now, s.Bounds.QuotaWindowS
        )
        self.coordination_desk = CoordinationHandler(
            self.replica,
            self.coordination,
            self.runtime.peers.next_number,
            self.runtime.rng,
            s.Bounds.RetainS,
        )
        self.execute(self.replica.start(now))

    async def close(self) -> None:
        """Closes the disk after the write in progress: a sqlite connection supports one thread at a time."""
        if self.store:
            await self.runtime.loop.run_in_executor(self.disk, self.store.close)

    async def join_loop(self) -> None:
        """Asks the core to add this replica while it has no vote; on the very first start, asks the nominator
        who founds the core."""
        logged = False
        while True:
            await asyncio.sleep(0.2)
            replica = self.replica
            if replica is None or self.runtime.stopping:
                continue
            if not replica.needs_join(self.runtime.clock.monotonic()):
                continue
            _, leader, core = self.known_view()
            if not replica.bootstrapped and not replica.last_seq and self.founding.should_ask(bool(core)):
                await self._nominate(replica)
                continue
            if not logged and not replica.is_voter:
                logged = True
                log_event(Event.JOINING, id=replica.me.id)
            for ip in {leader} if leader else set(core):
                self.runtime.peers.link(ip).send(ConsensusMessage(consensus.JoinRequest(replica.me)))

    async def _nominate(self, replica: Replica) -> None:
        nominator = self.founding.nominator
        now, core_known = self.runtime.clock.monotonic(), bool(self.known_view()[2])
        if nominator == self.runtime.settings.Ip:
            named = self.founding.answer_request(now, replica.me.id, core_known)
        else:
            number = self.runtime.peers.next_number()
            link = self.runtime.peers.link(nominator)
            answer = await link.request(number, Nominate(number, replica.me), 1.0)
            named = answer.id if isinstance(answer, Nominee) else ""
        if not replica.bootstrapped and self.founding.accept_answer(named, bool(self.known_view()[2])):
            self.execute(replica.bootstrap(self.runtime.clock.monotonic()))
            log_event(Event.FOUNDED, id=replica.me.id)

    async def submit_change(self, change: Change | None, timeout: float) -> ChangeAnswer | None:
        """At the leader: submits an operator's change, or (None) a read. Returns None if undecided after
        `timeout` s."""
        assert self.desk
        token, now = self.runtime.peers.next_number(), self.runtime.clock.monotonic()
        future: asyncio.Future[ChangeAnswer] = self.runtime.loop.create_future()
        self.answers[token] = future
        try:
            self.execute(self.desk.submit(now, token, change) if change else self.desk.read(now, token))
            async with asyncio.timeout(timeout):
                return await future
        except TimeoutError:
            return None
        finally:
            self.answers.pop(token, None)
            self.desk.withdraw(token)

    async def claim(self, address: str, version: int, left: bool, timeout: float) -> ShareAnswer | None:
        """At the leader: submits a gateway's share claim. Returns None if unanswered after `timeout` s."""
        if self.share_desk is None:
            return None
        token, now = self.runtime.peers.next_number(), self.runtime.clock.monotonic()
        future: asyncio.Future[ShareAnswer] = self.runtime.loop.create_future()
        self.share_answers[token] = future
        try:
            self.execute(self.share_desk.claim(now, ShareClaim(token, address, version, left)))
            async with asyncio.timeout(timeout):
                return await future
        except TimeoutError:
            return None
        finally:
            self.share_answers.pop(token, None)

    async def coordinate(self, call: Call, timeout: float) -> Outcome:
        """At the leader: submits an application's call; the outcome is unknown after `timeout` s."""
        assert self.coordination_desk
        token, now = self.runtime.peers.next_number(), self.runtime.clock.monotonic()
        future: asyncio.Future[Outcome] = self.runtime.loop.create_future()
        self.coordination_answers[token] = future
        try:
            self.execute(self.coordination_desk.call(now, token, call))
            async with asyncio.timeout(timeout):
                return await future
        except TimeoutError:
            return Unknown("not agreed on in time")
        finally:
            self.coordination_answers.pop(token, None)

    def tick(self, now: float) -> None:
        """Drives the clocks of the replica and the request handlers."""
        assert self.replica and self.share_desk and self.coordination_desk
        self.execute(self.replica.tick(now))
        self.execute(self.coordination_desk.tick(now))
        if now - self.shares_checked_at >= SHARES_CHECK_INTERVAL_S:
            self.shares_checked_at = now
            self.execute(self.share_desk.tick(now))

    def leave(self) -> None:
        """Hands over leadership and vote, before this process stops."""
        if self.replica:
            self.execute(self.replica.leave(self.runtime.clock.monotonic()))

    def can_stop(self) -> bool:
        """Whether all committed entries are safe without this process; always true without a replica."""
        return self.replica is None or not self.replica.bootstrapped or self.replica.safe_to_stop

    def role(self) -> str:
        """The role of this gateway's disk: none, learner, changing or voter."""
        if self.replica is None:
            return "none"
        if not self.replica.is_voter:
            return "learner" if self.replica.bootstrapped else "none"
        return "changing" if self.replica.voters.old or not self.replica.caught_up else "voter"
