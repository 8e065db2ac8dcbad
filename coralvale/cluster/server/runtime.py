"""What all parts of a gateway's process stand on: settings, clock, links, and the tasks between them."""

from __future__ import annotations

import asyncio
import random
import time
import traceback
from collections.abc import Awaitable, Callable
from typing import Any

from coralvale.cluster.events import Event, tell
from coralvale.cluster.server.messages import PeerMessage
from coralvale.cluster.server.peers import PeerConnection, Peers
from coralvale.cluster.settings import Settings
from coralvale.net.clock import Clock

TICK_S = 0.05  # s between looks at what is due


class Runtime:
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
        self.incarnation = int(time.time())  # rises from start to start
        self.process_token = 1 + self.rng.getrandbits(31)  # another one at each start, however soon
        self.started_at = clock.monotonic()
        self.peers = Peers(settings.Ip, settings.peers_port, on_message, on_datagram)
        self.tasks: set[asyncio.Task[Any]] = set()
        self.stopping = False

    def spawn(self, work: Any) -> None:  # noqa: ANN401
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._task_done)

    async def run_forever(self, work: Callable[[], Awaitable[None]]) -> None:
        """One mistake in what comes round must not end what comes after it."""
        while True:
            try:
                await work()
            except Exception as error:  # noqa: BLE001
                where = traceback.extract_tb(error.__traceback__)[-1]
                tell(Event.FAILED, reason=f"{work.__name__}: {error!r} at {where.name}:{where.lineno}")
                await asyncio.sleep(TICK_S)

    def _task_done(self, task: asyncio.Task[Any]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and (error := task.exception()):
            tell(Event.FAILED, reason=repr(error))
