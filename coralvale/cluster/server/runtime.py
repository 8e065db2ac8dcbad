"""What all parts of a gateway's process stand on: settings, clock, links, and the tasks between them."""

from __future__ import annotations

import asyncio
import random
import time
import traceback
from collections.abc import Awaitable, Callable
from typing import Any

from coralvale.cluster.events import Event, log_event
from coralvale.cluster.server.messages import Parcel
from coralvale.cluster.server.peers import Frames, Peers
from coralvale.cluster.settings import Settings
from coralvale.net.clock import Clock

TICK = 0.05  # s between looks at what is due


class Runtime:
    def __init__(
        self,
        settings: Settings,
        path: str,
        clock: Clock,
        parcel: Callable[[Frames, Parcel], None],
        datagram: Callable[[str, bytes], None],
    ) -> None:
        self.settings, self.path, self.clock = settings, path, clock
        self.loop = asyncio.get_running_loop()
        self.chance = random.Random()
        self.life = int(time.time())  # rises from start to start
        self.process = 1 + self.chance.getrandbits(31)  # another one at each start, however soon
        self.born = clock.monotonic()
        self.peers = Peers(settings.Ip, settings.peers_port, parcel, datagram)
        self.tasks: set[asyncio.Task[Any]] = set()
        self.stopping = False

    def spawn(self, work: Any) -> None:  # noqa: ANN401
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._done)

    async def keep(self, work: Callable[[], Awaitable[None]]) -> None:
        """One mistake in what comes round must not end what comes after it."""
        while True:
            try:
                await work()
            except Exception as error:  # noqa: BLE001
                where = traceback.extract_tb(error.__traceback__)[-1]
                log_event(Event.FAILED, reason=f"{work.__name__}: {error!r} at {where.name}:{where.lineno}")
                await asyncio.sleep(TICK)

    def _done(self, task: asyncio.Task[Any]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and (error := task.exception()):
            log_event(Event.FAILED, reason=repr(error))
