"""Runs the journal in a thread next to a gateway's node, so that the event loop never waits for the disk.

The rules of durability are in `journal`.
"""

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
from coralvale.attempts.journal import DurabilityCallback, Journal
from coralvale.attempts.model import Answered, Ended, Intent, JournalError, Record
from coralvale.attempts.store import Folder
from coralvale.net.clock import Clock
from coralvale.net.exchange import Exchange
from coralvale.net.parsed_request import ParsedRequest
from coralvale.operator.model import Attempts

log = logging.getLogger(__name__)
# After a batch of more than SMALL_BATCH_COUNT records, the next sync is delayed to gather more records.
GROUP_COMMIT_DELAY_S = 0.002
SMALL_BATCH_COUNT = 4
RETRY_INTERVAL_S = 0.25  # between writes to a failing disk
MAX_QUEUED_RECORDS = 50_000  # not yet taken by the thread
MAX_LOGGED_INTENTS = 20  # of the attempts that were open at the start


class Recorder:
    """The `AttemptJournal` of a node. Raises JournalError or OSError if the journal cannot be opened."""

    def __init__(self, options: Attempts, settings: api.Settings, clock: Clock) -> None:
        self.options, self.settings, self.clock = options, settings, clock
        self.loop = asyncio.get_running_loop()
        unsafe = {n for n, cls in enumerate(settings.classes) if cls.repeat is not api.Repeat.SAFE}
        self.recorded_classes = frozenset(unsafe)
        self.folder = Folder(options.directory)
        try:
            self.journal = Journal(
                self.folder, clock.now(), options.segment_bytes, options.keep_days * 86400, options.max_bytes
            )
        except BaseException:
            self.folder.close()
            raise
        self._log_recovered()
        self.queue: deque[tuple[Record, DurabilityCallback | None]] = deque()
        self.waiting: dict[tuple[str, int], tuple[Callable[[bool], None], asyncio.TimerHandle]] = {}
        self.degraded = False  # an intent failed or timed out, and none has become durable since
        self.lost_records = self.unrecorded = 0
        self.wake = threading.Event()
        self.closing = False
        self.thread = threading.Thread(target=self._run, name="attempts", daemon=True)
        self.thread.start()

    def _log_recovered(self) -> None:
        """Logs problems of the journal and the attempts that may have run before this start."""
        recovered = self.journal.recovered
        for line in recovered.problems:
            log.warning("attempts: %s", line)
        for intent in recovered.unresolved[:MAX_LOGGED_INTENTS]:
            log.warning(
                "attempts: %s of station %s to %s may have run, don't retry",
                intent.request,
                intent.station,
                intent.node,
            )
        if len(recovered.unresolved) > MAX_LOGGED_INTENTS:
            log.warning(
                "attempts: %d more: coralvale attempts unresolved",
                len(recovered.unresolved) - MAX_LOGGED_INTENTS,
            )

    # On the event loop

    def records(self, cls: int) -> bool:
        """Whether attempts of this class are recorded."""
        return cls in self.recorded_classes

    def refuses(self, cls: int) -> bool:
        """Whether requests of this class are refused at once, since their attempts could not be recorded."""
        return cls in self.recorded_classes and self.degraded and self.options.unrecorded == "refuse"

    def record_intent(
        self,
        arrival: ParsedRequest,
        exchange: Exchange,
        attempt: int,
        node: str,
        on_recorded: Callable[[bool], None],
    ) -> None:
        """Records that an attempt is about to be sent.

        `on_recorded` is called once, later, with whether the attempt may be sent.
        """
        intent = Intent(
            arrival.id, attempt, self.clock.now(), f"{arrival.customer:016x}",
            self.settings.classes[arrival.cls].name, node, exchange.method.decode("latin-1"),
            exchange.target.decode("latin-1")[:1024], hashlib.blake2b(exchange.body, digest_size=16).hexdigest(),
        )  # fmt: skip
        key = arrival.id, attempt
        if len(self.queue) >= MAX_QUEUED_RECORDS:
            self.loop.call_soon(on_recorded, self._send_unrecorded(intent))
            return
        timer = self.loop.call_later(self.options.wait_ms / 1000, self._on_timeout, key, intent)
        self.waiting[key] = on_recorded, timer
        self._enqueue(intent, partial(self._on_flushed, key, intent))

    def _enqueue(self, record: Record, on_durable: DurabilityCallback | None = None) -> None:
        self.queue.append((record, on_durable))
        if len(self.queue) == 1:
            self.wake.set()

    def _send_unrecorded(self, intent: Intent) -> bool:
        """Whether an attempt that could not be recorded is sent nevertheless; counts and logs it."""
        if self.options.unrecorded != "send":
            return False
        self.unrecorded += 1
        log.warning(
            "attempts: %s to %s is sent unrecorded (%d so far)", intent.request, intent.node, self.unrecorded
        )
        return True

    def _on_timeout(self, key: tuple[str, int], intent: Intent) -> None:
        """The intent was not durable in time."""
        on_recorded, _ = self.waiting.pop(key)
        if not self.degraded:
            log.error(
                "attempts: the disk takes more than %d ms: intents are not recorded in time",
                self.options.wait_ms,
            )
        self.degraded = True
        on_recorded(self._send_unrecorded(intent))

    def _on_flushed(self, key: tuple[str, int], intent: Intent, ok: bool) -> None:
        """Called in the journal's thread: hands the result to the event loop."""
        self.loop.call_soon_threadsafe(self._complete, key, intent, ok)

    def _complete(self, key: tuple[str, int], intent: Intent, ok: bool) -> None:
        """Calls back for an intent that is durable or failed, unless it timed out before."""
        if ok and self.degraded:
            self.degraded = False
            log.warning("attempts: recorded in time again")
        elif not ok and not self.degraded:
            self.degraded = True
            log.error("attempts: the disk failed: %s", self.folder.path)
        if pending := self.waiting.pop(key, None):
            on_recorded, timer = pending
            timer.cancel()
            on_recorded(ok or self._send_unrecorded(intent))

    def record_outcome(self, request: str, attempt: int, outcome: api.Outcome) -> None:
        """Records the outcome of an attempt whose intent was recorded."""
        if len(self.queue) < MAX_QUEUED_RECORDS:
            self._enqueue(Ended(request, attempt, self.clock.now(), outcome))
        else:
            self.lost_records += 1  # the attempt stays open: it may have run

    def record_answer(self, request: str, status: int) -> None:
        """Records the final answer to a request."""
        if len(self.queue) < MAX_QUEUED_RECORDS:
            self._enqueue(Answered(request, self.clock.now(), status))
        else:
            self.lost_records += 1

    def close(self) -> None:
        """Makes queued records durable, for at most 2 s, and unlocks the folder."""
        self.closing = True
        self.wake.set()
        self.thread.join(2.0)
        self.folder.close()

    # In the journal's thread

    def _run(self) -> None:
        previous_batch: list[Record] = []
        while not (self.closing and not self.queue):
            self.wake.wait(RETRY_INTERVAL_S)
            self.wake.clear()
            if not self.queue and not self.journal.pending:
                continue
            if len(previous_batch) > SMALL_BATCH_COUNT and not self.closing:
                # Records that arrive during a sync form the next batch; under load the delay makes it larger.
                time.sleep(GROUP_COMMIT_DELAY_S)
            previous_batch = []
            while self.queue:
                record, on_durable = self.queue.popleft()
                previous_batch.append(record)
                if not self.journal.enqueue(record, on_durable):
                    self.lost_records += on_durable is None
                    if on_durable:
                        on_durable(False)
            try:
                succeeded = self.journal.flush(self.clock.now())
            except Exception:  # the thread must survive any failure
                log.exception("attempts: a batch failed")
                succeeded = False
            if not succeeded:
                if self.closing:
                    return
                time.sleep(RETRY_INTERVAL_S)
                if self.degraded and not self.queue:  # no new records: probe the disk
                    self._probe()

    def _probe(self) -> None:
        """Writes a record to a failed disk, so that requests are accepted again once it has recovered."""
        self.journal.enqueue(Answered("", self.clock.now(), 0), self._on_probe_flushed)
        self.wake.set()

    def _on_probe_flushed(self, ok: bool) -> None:
        if ok:
            self.loop.call_soon_threadsafe(self._mark_healthy)

    def _mark_healthy(self) -> None:
        if self.degraded:
            self.degraded = False
            log.warning("attempts: recorded in time again")


__all__ = ["JournalError", "Recorder"]
