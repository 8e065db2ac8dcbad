"""State that all parts of a gateway process share: settings, clock, connections to peers, background
tasks."""

from __future__ import annotations

import asyncio
import random
import time
import traceback
from collections.abc import Awaitable, Callable
from typing import Any

from coralvale.cluster.events import Event, log_event
from coralvale.cluster.loop_pauses import LoopPauses
from coralvale.cluster.server.messages import PeerMessage
from coralvale.cluster.server.peers import PeerConnection, Peers
from coralvale.cluster.settings import Settings
from coralvale.net.clock import Clock

TICK_S = 0.05  # between checks of what is due


class Runtime:
    """Settings, clock, random numbers, peers and background tasks of one gateway process."""

    def __init__(
        self,
        settings: Settings,
        path: str,
        clock: Clock,
        on_message: Callable[[PeerConnection, PeerMessage], None],
        on_datagram: Callable[[str, bytes], None],
    ) -> None:
        self.settings, self.path, self.clock = settings, path, clock
        self.loop = asyncio.get_running_loop()
        self.rng = random.Random()
        self.incarnation = int(time.time())  # rises with each start
        self.process_token = 1 + self.rng.getrandbits(31)  # differs between starts, also within one second
        self.started_at = clock.monotonic()
        self.peers = Peers(settings.Ip, settings.peers_port, on_message, on_datagram)
        self.pauses = LoopPauses(self.started_at)
        self.tasks: set[asyncio.Task[Any]] = set()
        self.stopping = False

    def spawn(self, coroutine: Any) -> None:  # noqa: ANN401
        """Runs a coroutine as a background task; logs its exception, if any."""
        task = self.loop.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self._task_done)

    async def run_forever(self, loop: Callable[[], Awaitable[None]]) -> None:
        """Runs a loop, and restarts it after an exception, so that one error does not end it."""
        while True:
            try:
                await loop()
            except Exception as error:  # noqa: BLE001
                where = traceback.extract_tb(error.__traceback__)[-1]
                log_event(Event.FAILED, reason=f"{loop.__name__}: {error!r} at {where.name}:{where.lineno}")
                await asyncio.sleep(TICK_S)

    def _task_done(self, task: asyncio.Task[Any]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and (error := task.exception()):
            log_event(Event.FAILED, reason=repr(error))
