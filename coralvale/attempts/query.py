"""What the journals of one or more gateways tell of a request: its verdict, and the chain that it belongs to.

  verdict       when
  ------------  ------------------------------------------------------------------------------------------------
  saved         a host answered an attempt with 200
  may have run  an attempt has an intent and no end, or ended by time-out, reset or cancelling
  failed        a host answered that it failed, and no attempt may have run otherwise
  not sent      all attempts ended before a host took them: refused, not connected, not written

A listener that tries again does so under a new id, perhaps through another gateway. Requests of one station
with the same class, method, target and digest of the body, each within `GAP` seconds of the last, are shown
as a chain: *likely* one bookmark if each came within `NEAR` seconds, else *possibly*; the digest is of the
body, so two listeners who save the same thing in the same second look alike. A chain's verdict is its best:
saved if any was, else may have run if any may, else failed, else not sent.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from coralvale.attempts.model import NOT_RUN, Answered, End, Ended, Intent, Record, Verdict

GAP, NEAR = 300.0, 15.0  # s
ORDER = (Verdict.SAVED, Verdict.MAY_HAVE_RUN, Verdict.FAILED, Verdict.NOT_SENT)


@dataclass
class Bookmark:
    """All that is known of one request."""

    request: str
    gateway: str
    intents: dict[int, Intent] = field(default_factory=dict)
    ends: dict[int, Ended] = field(default_factory=dict)
    answered: Answered | None = None

    @property
    def first(self) -> Intent:
        return self.intents[min(self.intents)]

    @property
    def at(self) -> float:
        return self.first.at

    @property
    def verdict(self) -> Verdict:
        ends = [self.ends[n].end if n in self.ends else None for n in self.intents]
        if End.OK in ends:
            return Verdict.SAVED
        if any(end is not End.ERROR and end not in NOT_RUN for end in ends):
            return Verdict.MAY_HAVE_RUN
        return Verdict.FAILED if End.ERROR in ends else Verdict.NOT_SENT


@dataclass
class Chain:
    """Requests that are taken for tries of one bookmark, oldest first."""

    requests: list[Bookmark]
    certainty: str = "alone"

    @property
    def verdict(self) -> Verdict:
        return min((b.verdict for b in self.requests), key=ORDER.index)


@dataclass(frozen=True)
class Filter:
    """What is asked for; empty is all."""

    request: str = ""
    station: str = ""
    node: str = ""
    cls: str = ""
    since: float = -math.inf
    until: float = math.inf

    def takes(self, bookmark: Bookmark) -> bool:
        first = bookmark.first
        return (
            self.request in ("", bookmark.request)
            and self.station in ("", first.station)
            and self.cls in ("", first.cls)
            and (not self.node or any(i.node == self.node for i in bookmark.intents.values()))
            and self.since <= first.at <= self.until
        )


def request_histories(journals: dict[str, Iterable[Record]]) -> list[Bookmark]:
    """The requests of several gateways' records, oldest first."""
    found: dict[tuple[str, str], Bookmark] = {}
    for gateway, records in journals.items():
        for record in records:
            if isinstance(record, (Intent, Ended, Answered)):
                key = gateway, record.request
                bookmark = found.setdefault(key, Bookmark(record.request, gateway))
                if isinstance(record, Intent):
                    bookmark.intents[record.attempt] = record
                elif isinstance(record, Ended):
                    bookmark.ends[record.attempt] = record
                else:
                    bookmark.answered = record
    return sorted((b for b in found.values() if b.intents), key=lambda b: b.at)


def unresolved(found: list[Bookmark]) -> list[Bookmark]:
    """Those that may have run, and of which nobody knows."""
    return [b for b in found if b.verdict is Verdict.MAY_HAVE_RUN]


def chains(found: list[Bookmark]) -> list[Chain]:
    """The requests, joined into chains; in the order of their first."""
    made: list[Chain] = []
    last: dict[tuple[str, ...], Chain] = {}
    for bookmark in found:
        first = bookmark.first
        key = first.station, first.cls, first.method, first.target, first.digest
        chain = last.get(key) if first.digest else None
        gap = bookmark.at - chain.requests[-1].at if chain else math.inf
        if chain is None or gap > GAP:
            last[key] = chain = Chain([bookmark])
            made.append(chain)
            continue
        chain.requests.append(bookmark)
        likely = gap <= NEAR and chain.certainty != "possibly one bookmark"
        chain.certainty = "likely one bookmark" if likely else "possibly one bookmark"
    return made
