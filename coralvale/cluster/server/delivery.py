"""Applies committed changes of the configuration in the order of the log.

The build of a large configuration takes seconds, so it runs in a thread beside the event loop. What stands behind
such a change and depends on it waits: later changes, and results of the log that its handler answers by the
current configuration. Everything else of the core goes on: heartbeats, other entries of the log, its writes.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Coroutine
from typing import Any

from attrs import frozen

from coralvale.cluster.configuration.history import Build, BuiltChange, Change, ChangeHistory, unpack
from coralvale.cluster.configuration.model import Configuration
from coralvale.cluster.errors import Problem
from coralvale.cluster.events import Event, log_event
from coralvale.cluster.server.background import run_in_thread
from coralvale.cluster.server.guard import run_guarded


@frozen
class CommittedChange:
    """A change from the log that is to be applied."""

    change: Change


@frozen
class DependentStep:
    """A step that needs all changes before it to be applied."""

    run: Callable[[], None]


class ConfigurationDelivery:
    """The committed changes that are not applied yet, and what waits for them."""

    def __init__(
        self,
        history: ChangeHistory,
        apply_configuration: Callable[[Configuration], None],
        spawn: Callable[[Coroutine[Any, Any, None]], object],
    ) -> None:
        """`apply_configuration`: called with each configuration that comes into force. `spawn`: runs a coroutine
        as a task."""
        self.history, self.apply_configuration, self.spawn = history, apply_configuration, spawn
        self.queue: deque[CommittedChange | DependentStep] = deque()
        self.building: CommittedChange | None = None

    @property
    def idle(self) -> bool:
        """Whether all committed changes are applied."""
        return self.building is None and not self.queue

    def deliver(self, body: bytes) -> None:
        """Applies a committed change, once those before it are applied.

        Raises msgspec.DecodeError where the entry cannot be read.
        """
        self.queue.append(CommittedChange(unpack(body)))
        self._run()

    def after(self, step: Callable[[], None]) -> None:
        """Carries out a step once all changes that were delivered before are applied."""
        self.queue.append(DependentStep(step))
        self._run()

    def supersede(self) -> None:
        """Waits for no build any more: a snapshot that contains its change has replaced the history.

        Changes that the snapshot contains have no effect when their turn comes.
        """
        self.building = None
        self._run()

    def _run(self) -> None:
        while self.queue and self.building is None:
            item = self.queue.popleft()
            if isinstance(item, DependentStep):
                run_guarded("step after a change", item.run)
            elif build := self.history.long_build(item.change):
                self.building = item
                self.spawn(self._build_beside(item, build))
            else:
                self._apply(item.change)

    async def _build_beside(self, item: CommittedChange, build: Build) -> None:
        result: BuiltChange | Problem | None = None
        try:
            result = await run_in_thread(build.run)
        except Exception as error:  # noqa: BLE001 - no thread, for instance: it is built on the event loop then
            log_event(Event.FAILED, reason=f"build of a configuration: {error!r}")
        if self.building is not item:
            return  # superseded
        if result is not None:
            self.history.record_build(build.change, result)
        self.building = None
        self._apply(item.change)
        self._run()

    def _apply(self, change: Change) -> None:
        def apply() -> None:
            if self.history.deliver_change(change):
                self.apply_configuration(self.history.configuration)

        run_guarded("delivery of a change", apply)
