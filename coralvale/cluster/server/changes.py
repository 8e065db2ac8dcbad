"""The configuration: handles operators' calls, here or at the leader, and distributes updates to gateways
without a replica."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial

import msgspec

from coralvale.cluster.configuration.history import (
    Change,
    ConfigurationUpdate,
    apply_update,
    takes_long,
)
from coralvale.cluster.configuration.model import Configuration
from coralvale.cluster.errors import Kind, Problem
from coralvale.cluster.events import Event, log_event
from coralvale.cluster.routing.router import Router
from coralvale.cluster.server.background import run_in_thread
from coralvale.cluster.server.core import Core
from coralvale.cluster.server.ctl import StatusAndBody
from coralvale.cluster.server.messages import ConfigurationRequest, Reply, UpdateReply, UpdateRequest
from coralvale.cluster.server.peers import PeerConnection
from coralvale.cluster.server.runtime import Runtime
from coralvale.net.server import ClientLimits

LONG_POLL_S = 1.0  # for which a request waits if there is no update
CONTACT_CHECK_INTERVAL_S = 0.25  # between checks whether the gateway that answers has lost the core itself
REPLY_MARGIN_S = 0.8  # after the long poll's end, until its receiver counts as unreachable
FORWARD_TIMEOUT_S = 0.9  # for the leader to answer an operator's call
TIMEOUT_PER_10_MB_S = 4.0  # additional, per 10 MB of the call


class Changes:
    """The configuration in force at this gateway, and operators' reads and changes of it."""

    def __init__(
        self, runtime: Runtime, router: Router, set_client_bounds: Callable[[ClientLimits], None]
    ) -> None:
        """`set_client_bounds`: called with the limits of each new configuration."""
        self.runtime, self.router, self.set_client_bounds = runtime, router, set_client_bounds
        self.home = router.home
        self.core: Core
        self.configuration = Configuration()
        self.tenants: dict[int, str] = {}  # by CRC of the name, as in messages
        self.waiters: set[asyncio.Future[None]] = set()

    def apply(self, configuration: Configuration) -> None:
        """Puts a configuration in force as a whole; ignores one that is not newer."""
        if not self.router.take_configuration(configuration):
            return
        self.configuration = configuration
        self.tenants = configuration.tenants_by_hash
        limits = configuration.limits
        self.set_client_bounds(
            ClientLimits(
                limits.HeaderBytes, limits.BodyBytes, limits.HdrReadMs / 1000, limits.IdleMs / 1000, 431
            )
        )
        log_event(
            Event.VERSION,
            version=configuration.version,
            routes=len(configuration.items.get("Routes", {})),
            services=len(configuration.services()),
            tenants=len(configuration.tenants()),
        )
        waiters, self.waiters = self.waiters, set()
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def follow_core(self) -> None:
        """While this gateway gets no changes from the log: asks a member of the core for updates, and another
        one if that does not answer."""
        target = ""
        while True:
            if self.core.follows_log():
                await asyncio.sleep(0.2)
                continue
            _, _, core = self.core.known_view()
            if not core:
                # The seeds are known from the start, and after an outage of all gateways their disks have the
                # acknowledged configuration: it is better than none until the core is back.
                settings = self.runtime.settings
                core = tuple(ip for ip in settings.seeds if ip != settings.Ip)
                if not core:
                    await asyncio.sleep(0.05)
                    continue
            if target not in core:
                target = self.runtime.rng.choice(core)
            number, link, known_version = (
                self.runtime.peers.next_number(),
                self.runtime.peers.link(target),
                self.configuration.version,
            )
            answer = await link.request(
                number, UpdateRequest(number, known_version), LONG_POLL_S + REPLY_MARGIN_S
            )
            if self.core.follows_log() or self.configuration.version != known_version:
                continue  # updated meanwhile in another way
            if not isinstance(answer, UpdateReply) or answer.isolated:
                if not isinstance(answer, UpdateReply):
                    link.reset()
                others = [ip for ip in core if ip != target]
                target = self.runtime.rng.choice(others) if others else target
                await asyncio.sleep(0.05)
            elif answer.in_contact:
                self.home.core_heard_at = self.runtime.clock.monotonic()
            if isinstance(answer, UpdateReply) and not answer.isolated and answer.update:
                configuration = await self._build_update(answer.update)
                if self.core.follows_log():
                    continue  # updated meanwhile in another way
                if isinstance(configuration, Problem):
                    log_event(Event.NEWS_BAD, reason=configuration.reason)
                    await asyncio.sleep(0.2)
                else:
                    self.apply(configuration)

    async def _build_update(self, update: ConfigurationUpdate) -> Configuration | Problem:
        """The configuration after an update; one that takes long is built beside the event loop."""
        build = partial(apply_update, self.configuration, update)
        if takes_long(update.size, self.configuration):
            return await run_in_thread(build)
        return build()

    async def handle_update_request(self, connection: PeerConnection, request: UpdateRequest) -> None:
        """Answers a gateway without a replica, when there is an update or after `LONG_POLL_S`.

        The update was committed. `in_contact`: this replica is in contact with a leader, so anything newer
        was committed no longer ago than a leader may be silent.
        """
        deadline = self.runtime.clock.monotonic() + LONG_POLL_S
        while (update := self.core.history.update_since(request.version)) is None:
            left = deadline - self.runtime.clock.monotonic()
            if left <= 0:
                break
            waiter: asyncio.Future[None] = self.runtime.loop.create_future()
            self.waiters.add(waiter)
            try:
                async with asyncio.timeout(min(left, CONTACT_CHECK_INTERVAL_S)):
                    await waiter
            except TimeoutError:
                if not self.core.in_contact():
                    break
            finally:
                self.waiters.discard(waiter)
        in_contact = self.core.in_contact()
        connection.send(UpdateReply(request.number, update, update is None and not in_contact, in_contact))

    async def change(self, change: Change) -> StatusAndBody:
        """An operator's change: decided here if this is the leader, else forwarded to it."""
        return await self._decide_or_forward(change)

    async def read(self) -> StatusAndBody:
        """An operator's read of the newest configuration."""
        return await self._decide_or_forward(None)

    async def _decide_or_forward(self, change: Change | None) -> StatusAndBody:
        size = len(change.body) if change else len(self.configuration.raw) * 1000
        timeout = FORWARD_TIMEOUT_S + TIMEOUT_PER_10_MB_S * size / 1e7
        if self.core.is_leader():
            return await self._decide(change, timeout)
        _, leader, _ = self.core.known_view()
        if not leader or leader == self.runtime.settings.Ip:
            return 503, b"no leader is known"
        number = self.runtime.peers.next_number()
        answer = await self.runtime.peers.link(leader).request(
            number, ConfigurationRequest(number, change), timeout
        )
        if isinstance(answer, Reply):
            return answer.status, answer.body
        return 503, b"the leader does not answer"

    async def _decide(self, change: Change | None, timeout: float) -> StatusAndBody:
        """At the leader: submits a change or a read (see `coralvale.cluster.orders`)."""
        started_at = self.runtime.clock.monotonic()
        answer = await self.core.submit_change(change, timeout)
        if answer is None:
            return 503, b"no majority answers"
        if answer.change:
            ms = (self.runtime.clock.monotonic() - started_at) * 1000
            log_event(
                Event.CHANGE_TAKEN,
                version=self.core.history.configuration.version,
                ms=ms,
                steps=answer.times,
            )
        if problem := answer.problem:
            if change and problem.kind is not Kind.NO_MAJORITY:
                log_event(
                    Event.CHANGE_REFUSED,
                    kind=problem.kind.name,
                    reason=problem.reason,
                    steps=answer.times,
                )
            return answer.status, problem.reason.encode()
        return answer.status, answer.body

    async def handle_request(self, connection: PeerConnection, request: ConfigurationRequest) -> None:
        """Answers a call that another gateway forwarded; only the leader does."""
        if self.core.is_leader():
            status, body = await self._decide_or_forward(request.change)
        else:
            status, body = 503, b"not the leader"
        connection.send(Reply(request.number, status, body))

    def history(self) -> StatusAndBody:
        """The newest changes and their effects, if this gateway has a current replica."""
        if not self.core.follows_log():
            at = ", ".join(self.core.known_view()[2])
            return 503, f"this gateway holds no state; ask a member of the core: {at}".encode()
        return 200, msgspec.json.encode(
            [msgspec.structs.asdict(step) for step in self.core.history.summaries]
        )
