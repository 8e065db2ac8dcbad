"""The configuration: an operator's calls, settled here or passed on, and news of it for those without a
seat."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from zlib import crc32

import msgspec

from coralvale.cluster.configuration.history import Change, apply_update
from coralvale.cluster.configuration.model import Configuration
from coralvale.cluster.errors import Kind, Problem
from coralvale.cluster.events import Event, tell
from coralvale.cluster.routing.router import Router
from coralvale.cluster.server.core import Core
from coralvale.cluster.server.ctl import Answered
from coralvale.cluster.server.messages import Ask, Call, Reply, Told
from coralvale.cluster.server.peers import Frames
from coralvale.cluster.server.runtime import Runtime
from coralvale.net.server import ClientLimits

ASK_FOR = 1.0  # s for which a question for news is kept when there is none
LOST_AFTER = 0.25  # s between looks at whether the one that is asked is cut off itself
LATE = 0.8  # s more, after which the one that was asked is taken for cut off
PASSED_ON = 0.9  # s that the leader is given for an operator's call
LARGE = 4.0  # s more for each 10 MB of it


class Changes:
    def __init__(
        self, runtime: Runtime, router: Router, bound_clients: Callable[[ClientLimits], None]
    ) -> None:
        """`bound_clients`: with the limits of a configuration that comes into force."""
        self.runtime, self.router, self.bound_clients = runtime, router, bound_clients
        self.home = router.home
        self.core: Core
        self.configuration = Configuration()
        self.tenants: dict[int, str] = {}  # by what stands for them in words
        self.waiters: set[asyncio.Future[None]] = set()

    def in_force(self, configuration: Configuration) -> None:
        """Swapped whole; one that is not newer is passed over."""
        if not self.router.take_configuration(configuration):
            return
        self.configuration = configuration
        self.tenants = {crc32(name.encode()): name for name in configuration.tenants()}
        limits = configuration.limits
        self.bound_clients(
            ClientLimits(
                limits.HeaderBytes, limits.BodyBytes, limits.HdrReadMs / 1000, limits.IdleMs / 1000, 431
            )
        )
        tell(
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

    async def follow(self) -> None:
        """A gateway without a vote, or that hears no leader, asks a member of the core for news, and another
        when that one is silent."""
        at = ""
        while True:
            if self.core.delivers():
                await asyncio.sleep(0.2)
                continue
            _, _, core = self.core.known()
            if not core:
                # Seeds are the ones that are known from the start, and after the loss of all they have what was
                # acknowledged on their disks: what they serve by is better than nothing until the core is back.
                settings = self.runtime.settings
                core = tuple(ip for ip in settings.seeds if ip != settings.Ip)
                if not core:
                    await asyncio.sleep(0.05)
                    continue
            if at not in core:
                at = self.runtime.chance.choice(core)
            number, link, known = (
                self.runtime.peers.next(),
                self.runtime.peers.link(at),
                self.configuration.version,
            )
            answer = await link.request(number, Ask(number, known), ASK_FOR + LATE)
            if self.core.delivers() or self.configuration.version != known:
                continue  # it came to know more by another way
            if not isinstance(answer, Told) or answer.lost:
                if not isinstance(answer, Told):
                    link.reset()
                others = [ip for ip in core if ip != at]
                at = self.runtime.chance.choice(others) if others else at
                await asyncio.sleep(0.05)
            elif answer.sure:
                self.home.core_heard_at = self.runtime.clock.monotonic()
            if isinstance(answer, Told) and not answer.lost and answer.news:
                configuration = apply_update(self.configuration, answer.news)
                if isinstance(configuration, Problem):
                    tell(Event.NEWS_BAD, reason=configuration.reason)
                    await asyncio.sleep(0.2)
                else:
                    self.in_force(configuration)

    async def asked(self, frames: Frames, ask: Ask) -> None:
        """News for a gateway without a vote. What is told was committed; `sure` says that this replica hears a
        leader, so that nothing newer was committed longer ago than a leader may be silent."""
        ends = self.runtime.clock.monotonic() + ASK_FOR
        while (news := self.core.history.update_since(ask.version)) is None:
            left = ends - self.runtime.clock.monotonic()
            if left <= 0:
                break
            waiter: asyncio.Future[None] = self.runtime.loop.create_future()
            self.waiters.add(waiter)
            try:
                async with asyncio.timeout(min(left, LOST_AFTER)):
                    await waiter
            except TimeoutError:
                if not self.core.in_contact():
                    break
            finally:
                self.waiters.discard(waiter)
        sure = self.core.in_contact()
        frames.send(Told(ask.number, news, news is None and not sure, sure))

    async def change(self, change: Change) -> Answered:
        """An operator's change: settled here by the leader, passed on to it by any other."""
        return await self._call(change)

    async def read(self) -> Answered:
        return await self._call(None)

    async def _call(self, change: Change | None) -> Answered:
        size = len(change.body) if change else len(self.configuration.raw) * 1000
        patience = PASSED_ON + LARGE * size / 1e7
        if self.core.leads():
            return await self._settle(change, patience)
        _, leader, _ = self.core.known()
        if not leader or leader == self.runtime.settings.Ip:
            return 503, b"no leader is known"
        number = self.runtime.peers.next()
        answer = await self.runtime.peers.link(leader).request(number, Call(number, change), patience)
        if isinstance(answer, Reply):
            return answer.status, answer.body
        return 503, b"the leader does not answer"

    async def _settle(self, change: Change | None, patience: float) -> Answered:
        """By the leader: see `coralvale.cluster.orders`."""
        begun = self.runtime.clock.monotonic()
        answer = await self.core.order(change, patience)
        if answer is None:
            return 503, b"no majority answers"
        if answer.change:
            ms = (self.runtime.clock.monotonic() - begun) * 1000
            tell(Event.CHANGE_TAKEN, version=self.core.history.configuration.version, ms=ms)
        if problem := answer.problem:
            if change and problem.kind is not Kind.UNSETTLED:
                tell(Event.CHANGE_REFUSED, kind=problem.kind.name, reason=problem.reason)
            return answer.status, problem.reason.encode()
        return answer.status, answer.body

    async def called(self, frames: Frames, call: Call) -> None:
        if self.core.leads():
            status, body = await self._call(call.change)
        else:
            status, body = 503, b"not the leader"
        frames.send(Reply(call.number, status, body))

    def history(self) -> Answered:
        """The newest changes and what they did, where this gateway has a seat."""
        if not self.core.delivers():
            at = ", ".join(self.core.known()[2])
            return 503, f"this gateway holds no state; ask a member of the core: {at}".encode()
        return 200, msgspec.json.encode(
            [msgspec.structs.asdict(step) for step in self.core.history.summaries]
        )
