"""Delivery of batches to the billing service, exactly once. No I/O, no clock of its own.

A batch is created under a permanent name of its own, `PUT /batches/LEDGER/SERIAL` with `If-None-Match: *`
(RFC 9110, section 13.1.2), and its ETag is the digest of its bytes. So the receiver stores it once,
however often and by whichever process it is sent:

  answer                          meaning                                  action
  ------------------------------  ---------------------------------------  --------------------------------------
  201, 200, 204                   it has been created                      acknowledged; the next one
  412 with own ETag               it existed: an answer was lost           acknowledged; the next one
  412 with another, or none       the name has other contents              export stops until a restart, and an
                                                                           error is logged
  another 4xx but 408, 425, 429   rejected as it is                        logged once, retried after
                                                                           `max_backoff_s`
  408, 425, 429, 5xx, no answer   unknown                                  retried unchanged, with a backoff that
                                                                           doubles up to `max_backoff_s`

Batches are sent one at a time, oldest first. A batch in an unknown state is sent again unchanged, also by
the next process, and by whoever exports the ledger of a gateway that is gone for good.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from coralvale.ledger.model import Batch, batch_body, digest

RETRYABLE_STATUSES = (408, 425, 429)


@dataclass(frozen=True, slots=True)
class Put:
    """A request to create a batch; `data` are its bytes, `tag` their digest."""

    serial: int
    path: str
    data: bytes
    tag: str


class Exporter:
    """Exports one ledger. Times are in seconds, on any monotonic or wall clock of the caller."""

    def __init__(
        self, ledger: str, seed: int, initial_backoff_s: float = 0.5, max_backoff_s: float = 60.0
    ) -> None:
        self.ledger, self.random = ledger, random.Random(seed)
        self.initial_backoff_s, self.max_backoff_s = initial_backoff_s, max_backoff_s
        self.in_flight: Put | None = None
        self.retry_at = 0.0
        self.failures = 0
        self.stopped = ""  # reason why the export stopped; empty while it runs
        self.last_problem = ""

    def due(self, now: float, batches: dict[int, Batch]) -> Put | None:
        """The oldest batch, if it is to be sent now; None while another is in flight."""
        if self.in_flight or self.stopped or now < self.retry_at or not batches:
            return None
        batch = batches[min(batches)]
        data = batch_body(self.ledger, batch)
        self.in_flight = Put(batch.serial, f"/batches/{self.ledger}/{batch.serial}", data, digest(data))
        return self.in_flight

    def answered(self, now: float, status: int, tag: str) -> bool:
        """Handles the answer to the batch in flight; returns whether the receiver has the batch."""
        in_flight, self.in_flight = self.in_flight, None
        assert in_flight
        existing_tag = tag.strip().removeprefix("W/").strip('"')
        if status in (200, 201, 204) or (status == 412 and existing_tag == in_flight.tag):
            self.failures, self.retry_at, self.last_problem = 0, now, ""
            return True
        if status == 412:
            self.stopped = (
                f"batch {in_flight.serial} is there with other contents ({existing_tag or 'no ETag'})"
            )
        elif 400 <= status < 500 and status not in RETRYABLE_STATUSES:
            self.retry_at = now + self.max_backoff_s
        else:
            self._back_off(now)
        return False

    def failed(self, now: float) -> None:
        """No answer to the batch in flight: the receiver may or may not have it."""
        self.in_flight = None
        self._back_off(now)

    def _back_off(self, now: float) -> None:
        """Sets the time of the next attempt: exponential backoff with jitter."""
        pause = min(self.max_backoff_s, self.initial_backoff_s * 2.0 ** min(self.failures, 30))
        self.retry_at = now + pause * (0.5 + self.random.random() / 2)
        self.failures += 1

    def is_new_problem(self, reason: str) -> bool:
        """Whether the problem differs from the last one, so that it is logged."""
        previous, self.last_problem = self.last_problem, reason
        return previous != reason
