"""What the journals of one or more gateways say about a request: its verdict and its chain of retries.

  verdict       when
  ------------  ------------------------------------------------------------------------------------------------
  saved         a host answered an attempt with 200
  may have run  an attempt has an intent and no end, or ended by timeout, reset or cancellation
  failed        a host answered with an error, and no other attempt may have run
  not sent      all attempts ended before a host accepted them: refused, not connected, not written

A listener who retries does so under a new request id, perhaps through another gateway. Requests of one
station with the same class, method, target and digest of the body, each within `MAX_RETRY_GAP_S` of the
one before, are shown as a chain: *likely* one bookmark if each came within `LIKELY_RETRY_GAP_S`, else
*possibly*. The digest covers only the body, so two listeners who save the same thing in the same second
cannot be told apart. The verdict of a chain is its best: saved if any request was, else may have run,
else failed, else not sent.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from coralvale.attempts.model import NOT_RUN, Answered, End, Ended, Intent, Record, Verdict

MAX_RETRY_GAP_S, LIKELY_RETRY_GAP_S = 300.0, 15.0
VERDICT_ORDER = (Verdict.SAVED, Verdict.MAY_HAVE_RUN, Verdict.FAILED, Verdict.NOT_SENT)


@dataclass
class RequestHistory:
    """All records of one request."""

    request: str
    gateway: str
    intents: dict[int, Intent] = field(default_factory=dict)
    ends: dict[int, Ended] = field(default_factory=dict)
    answered: Answered | None = None

    @property
    def first(self) -> Intent:
        """The intent of its first attempt."""
        return self.intents[min(self.intents)]

    @property
    def at(self) -> float:
        """Time of its first attempt, seconds of Unix time."""
        return self.first.at

    @property
    def verdict(self) -> Verdict:
        """See the table in the module's docstring."""
        ends = [self.ends[n].end if n in self.ends else None for n in self.intents]
        if End.OK in ends:
            return Verdict.SAVED
        if any(end is not End.ERROR and end not in NOT_RUN for end in ends):
            return Verdict.MAY_HAVE_RUN
        return Verdict.FAILED if End.ERROR in ends else Verdict.NOT_SENT


@dataclass
class Chain:
    """Requests that look like retries of one bookmark, oldest first."""

    requests: list[RequestHistory]
    certainty: str = "alone"

    @property
    def verdict(self) -> Verdict:
        """The best verdict of its requests, in VERDICT_ORDER."""
        return min((r.verdict for r in self.requests), key=VERDICT_ORDER.index)


@dataclass(frozen=True)
class Filter:
    """Selects requests; an empty field matches all."""

    request: str = ""
    station: str = ""
    node: str = ""
    cls: str = ""
    since: float = -math.inf
    until: float = math.inf

    def matches(self, history: RequestHistory) -> bool:
        """Whether all fields match the request."""
        first = history.first
        return (
            self.request in ("", history.request)
            and self.station in ("", first.station)
            and self.cls in ("", first.cls)
            and (not self.node or any(i.node == self.node for i in history.intents.values()))
            and self.since <= first.at <= self.until
        )


def request_histories(journals: dict[str, Iterable[Record]]) -> list[RequestHistory]:
    """Groups the records of several gateways by request, oldest request first."""
    found: dict[tuple[str, str], RequestHistory] = {}
    for gateway, records in journals.items():
        for record in records:
            if isinstance(record, (Intent, Ended, Answered)):
                key = gateway, record.request
                history = found.setdefault(key, RequestHistory(record.request, gateway))
                if isinstance(record, Intent):
                    history.intents[record.attempt] = record
                elif isinstance(record, Ended):
                    history.ends[record.attempt] = record
                else:
                    history.answered = record
    return sorted((h for h in found.values() if h.intents), key=lambda h: h.at)


def unresolved(found: list[RequestHistory]) -> list[RequestHistory]:
    """The requests that may have run."""
    return [h for h in found if h.verdict is Verdict.MAY_HAVE_RUN]


def chains(found: list[RequestHistory]) -> list[Chain]:
    """Joins requests into chains, in the order of their first requests."""
    joined: list[Chain] = []
    last: dict[tuple[str, ...], Chain] = {}
    for history in found:
        first = history.first
        key = first.station, first.cls, first.method, first.target, first.digest
        chain = last.get(key) if first.digest else None
        gap = history.at - chain.requests[-1].at if chain else math.inf
        if chain is None or gap > MAX_RETRY_GAP_S:
            last[key] = chain = Chain([history])
            joined.append(chain)
            continue
        chain.requests.append(history)
        likely = gap <= LIKELY_RETRY_GAP_S and chain.certainty != "possibly one bookmark"
        chain.certainty = "likely one bookmark" if likely else "possibly one bookmark"
    return joined
