"""How batches get to the billing service once and only once. No I/O, no clock of its own.

A batch is created under a name that is its own for good, `PUT /batches/LEDGER/SERIAL` with `If-None-Match:
*` (RFC 9110, section 13.1.2), and its ETag is the digest of its bytes. So whoever sends it, and however
often, the receiver has it once:

  answer                          what it means                            what follows
  ------------------------------  ---------------------------------------  --------------------------------------
  201, 200, 204                   it has been created                      acknowledged; the next one
  412 with our ETag               it was there: an answer was lost         acknowledged; the next one
  412 with another, or none       somebody else's bytes stand there        stopped: nothing is sent until a start,
                                                                           and a line says so
  another 4xx but 408, 425, 429   it does not want it as it is             said once, again after `most_pause`
  408, 425, 429, 5xx, no answer   nobody knows                             the same again, after a pause that
                                                                           doubles up to `most_pause`

Batches go one at a time, oldest first. A batch of which nobody knows is sent again unchanged, also by the
next process, and also by whoever exports the ledger of a gateway that is gone for good.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from coralvale.ledger.model import Batch, body, digest

AGAIN = (408, 425, 429)


@dataclass(frozen=True, slots=True)
class Put:
    """A batch to be created; `data` are its bytes, `tag` their digest."""

    serial: int
    path: str
    data: bytes
    tag: str


class Exporter:
    """One ledger's export. Seconds."""

    def __init__(self, ledger: str, seed: int, first_pause: float = 0.5, most_pause: float = 60.0) -> None:
        self.ledger, self.random = ledger, random.Random(seed)
        self.first_pause, self.most_pause = first_pause, most_pause
        self.out: Put | None = None
        self.again_at = 0.0
        self.tries = 0
        self.stopped = ""  # why nothing is sent any more
        self.said = ""

    def due(self, now: float, batches: dict[int, Batch]) -> Put | None:
        """The batch that is to be sent now, if any: the oldest, while none is out."""
        if self.out or self.stopped or now < self.again_at or not batches:
            return None
        batch = batches[min(batches)]
        data = body(self.ledger, batch)
        self.out = Put(batch.serial, f"/batches/{self.ledger}/{batch.serial}", data, digest(data))
        return self.out

    def answered(self, now: float, status: int, tag: str) -> bool:
        """The answer to what is out; whether the receiver has the batch."""
        out, self.out = self.out, None
        assert out
        there = tag.strip().removeprefix("W/").strip('"')
        if status in (200, 201, 204) or (status == 412 and there == out.tag):
            self.tries, self.again_at, self.said = 0, now, ""
            return True
        if status == 412:
            self.stopped = f"batch {out.serial} is there with other contents ({there or 'no ETag'})"
        elif 400 <= status < 500 and status not in AGAIN:
            self.again_at = now + self.most_pause
        else:
            self._later(now)
        return False

    def failed(self, now: float) -> None:
        """There was no answer to what is out: it may be there, or not."""
        self.out = None
        self._later(now)

    def _later(self, now: float) -> None:
        pause = min(self.most_pause, self.first_pause * 2.0 ** min(self.tries, 30))
        self.again_at = now + pause * (0.5 + self.random.random() / 2)
        self.tries += 1

    def news(self, why: str) -> bool:
        """Whether this is worth a line: the same again is not."""
        told, self.said = self.said, why
        return told != why
