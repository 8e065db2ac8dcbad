"""Keeps the journal beside a gateway's node: the event loop never waits for the disk. `journal` has the rules."""

from __future__ import annotations

import asyncio
import hashlib
import logging
import threading
import time
from collections import deque
from collections.abc import Callable
from functools import partial

from coralvale import interface as api
from coralvale.attempts.journal import Journal, Told
from coralvale.attempts.model import Answered, Ended, Intent, JournalError, Record
from coralvale.attempts.store import Folder
from coralvale.net.clock import Clock
from coralvale.net.server import Arrival, Exchange
from coralvale.operator.model import Attempts

log = logging.getLogger(__name__)
GATHER = 0.002  # s in which records are gathered for one sync, where the one before held more than FEW
FEW = 4
AGAIN = 0.25  # s between tries of a disk that fails
QUEUE = 50_000  # records on their way to the thread
NAMED = 20  # of what was open at the start, in the log


class Recorder:
    """The `AttemptJournal` of a node. Raises JournalError, or OSError, if the journal cannot be opened."""

    def __init__(self, table: Attempts, settings: api.Settings, clock: Clock) -> None:
        self.table, self.settings, self.clock = table, settings, clock
        self.loop = asyncio.get_running_loop()
        unsafe = {n for n, cls in enumerate(settings.classes) if cls.repeat is not api.Repeat.SAFE}
        self.classes = frozenset(unsafe)
        self.folder = Folder(table.directory)
        try:
            self.journal = Journal(
                self.folder, clock.now(), table.segment_bytes, table.keep_days * 86400, table.max_bytes
            )
        except BaseException:
            self.folder.close()
            raise
        self._tell_recovered()
        self.queue: deque[tuple[Record, Told | None]] = deque()
        self.waiting: dict[tuple[str, int], tuple[Callable[[bool], None], asyncio.TimerHandle]] = {}
        self.late = False  # an intent has waited for too long, and none has been durable since
        self.lost = self.unrecorded = 0
        self.wake = threading.Event()
        self.ending = False
        self.thread = threading.Thread(target=self._run, name="attempts", daemon=True)
        self.thread.start()

    def _tell_recovered(self) -> None:
        told = self.journal.recovered
        for line in told.problems:
            log.warning("attempts: %s", line)
        for intent in told.unresolved[:NAMED]:
            log.warning(
                "attempts: %s of station %s to %s may have run, don't retry",
                intent.request,
                intent.station,
                intent.node,
            )
        if len(told.unresolved) > NAMED:
            log.warning("attempts: %d more: coralvale attempts unresolved", len(told.unresolved) - NAMED)

    # On the loop

    def records(self, cls: int) -> bool:
        """Whether attempts of a class are recorded."""
        return cls in self.classes

    def refuses(self, cls: int) -> bool:
        """Whether a request of a class is to be refused at once, since it could not be recorded."""
        return cls in self.classes and self.late and self.table.unrecorded == "refuse"

    def record_intent(
        self, arrival: Arrival, exchange: Exchange, attempt: int, node: str, told: Callable[[bool], None]
    ) -> None:
        """Records that an attempt is about to be sent; `told` is called once, later, with whether it may be."""
        intent = Intent(
            arrival.id, attempt, self.clock.now(), f"{arrival.customer:016x}",
            self.settings.classes[arrival.cls].name, node, exchange.method.decode("latin-1"),
            exchange.target.decode("latin-1")[:1024], hashlib.blake2b(exchange.body, digest_size=16).hexdigest(),
        )  # fmt: skip
        key = arrival.id, attempt
        if len(self.queue) >= QUEUE:
            self.loop.call_soon(told, self._without(intent))
            return
        timer = self.loop.call_later(self.table.wait_ms / 1000, self._too_late, key, intent)
        self.waiting[key] = told, timer
        self._put(intent, partial(self._durable, key, intent))

    def _put(self, record: Record, told: Told | None = None) -> None:
        self.queue.append((record, told))
        if len(self.queue) == 1:
            self.wake.set()

    def _without(self, intent: Intent) -> bool:
        """An attempt that is not recorded: whether it is sent all the same."""
        if self.table.unrecorded != "send":
            return False
        self.unrecorded += 1
        log.warning(
            "attempts: %s to %s is sent unrecorded (%d so far)", intent.request, intent.node, self.unrecorded
        )
        return True

    def _too_late(self, key: tuple[str, int], intent: Intent) -> None:
        told, _ = self.waiting.pop(key)
        if not self.late:
            log.error(
                "attempts: the disk takes more than %d ms: nothing is recorded in time", self.table.wait_ms
            )
        self.late = True
        told(self._without(intent))

    def _durable(self, key: tuple[str, int], intent: Intent, ok: bool) -> None:
        """Called in the journal's thread."""
        self.loop.call_soon_threadsafe(self._told, key, intent, ok)

    def _told(self, key: tuple[str, int], intent: Intent, ok: bool) -> None:
        if ok and self.late:
            self.late = False
            log.warning("attempts: recorded in time again")
        elif not ok and not self.late:
            self.late = True
            log.error("attempts: the disk fails: %s", self.folder.path)
        if known := self.waiting.pop(key, None):
            told, timer = known
            timer.cancel()
            told(ok or self._without(intent))

    def record_outcome(self, request: str, attempt: int, outcome: api.Outcome) -> None:
        if len(self.queue) < QUEUE:
            self._put(Ended(request, attempt, self.clock.now(), outcome))
        else:
            self.lost += 1  # it stays as one that may have run

    def record_answer(self, request: str, status: int) -> None:
        if len(self.queue) < QUEUE:
            self._put(Answered(request, self.clock.now(), status))
        else:
            self.lost += 1

    def close(self) -> None:
        """Makes durable what is on its way, for 2 s at most, and lets go of the folder."""
        self.ending = True
        self.wake.set()
        self.thread.join(2.0)
        self.folder.close()

    # In the thread

    def _run(self) -> None:
        last: list[Record] = []  # the records of the batch before
        while not (self.ending and not self.queue):
            self.wake.wait(AGAIN)
            self.wake.clear()
            if not self.queue and not self.journal.waiting:
                continue
            if len(last) > FEW and not self.ending:
                # A sync by itself gathers what comes during it; under load it shall be more.
                time.sleep(GATHER)
            last = []
            while self.queue:
                record, told = self.queue.popleft()
                last.append(record)
                if not self.journal.enqueue(record, told):
                    self.lost += told is None
                    if told:
                        told(False)
            try:
                well = self.journal.flush(self.clock.now())
            except Exception:  # whatever fails, those that wait are told
                log.exception("attempts: a batch failed")
                well = False
            if not well:
                if self.ending:
                    return
                time.sleep(AGAIN)
                if self.late and not self.queue:  # nobody asks any more: the disk is tried all the same
                    self._probe()

    def _probe(self) -> None:
        """Tries a disk that failed, so that requests are taken again once it is well."""
        self.journal.enqueue(Answered("", self.clock.now(), 0), self._probed)
        self.wake.set()

    def _probed(self, ok: bool) -> None:
        if ok:
            self.loop.call_soon_threadsafe(self._well)

    def _well(self) -> None:
        if self.late:
            self.late = False
            log.warning("attempts: recorded in time again")


__all__ = ["JournalError", "Recorder"]
