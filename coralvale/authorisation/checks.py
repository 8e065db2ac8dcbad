"""Which authoriser is asked, whether it is asked now, and what holds when it says nothing. No I/O.

The breaker of one authoriser, which no other's faults touch:

  state    entered when                        while in it                          left when
  -------  ----------------------------------  -----------------------------------  ---------------------------
  closed   at the start; a check is answered   every check is asked                 `FAILS` failures in a row
  open     `FAILS` failures in a row, or the   none is asked                        the pause is over: `trying`
           one check of `trying` failed
  trying   the pause is over                   the next one is asked, others not    it is answered, or fails

A failure is a check without an answer in time, a reset, a refused connection. A denial is an answer. A check that
its client gave up says nothing either way, unless it was the one of `trying`: then another is tried. The pause
is `PAUSE` seconds times a lot between 0.5 and 1.5, doubled at each further failure up to `LONGEST`: gateways that
lost an authoriser together must not all come back to it at once.

A request that is not asked for (breaker open, `most_out` checks out) is treated as one without an answer.
"""

from __future__ import annotations

import random
from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum
from typing import Generic, TypeVar

from coralvale.interface import Verdict

FAILS = 5
PAUSE, LONGEST = 0.5, 30.0  # s
R = TypeVar("R")
Key = tuple[int, int, bytes]  # station, class, listener


class State(Enum):
    CLOSED = "closed"
    OPEN = "open"
    TRYING = "trying"


@dataclass(frozen=True, slots=True)
class Rule:
    """Whom an authoriser is asked about. Empty sets match all; plans and classes are the settings' numbers."""

    name: str
    plans: frozenset[int] = frozenset()
    stations: frozenset[int] = frozenset()
    classes: frozenset[int] = frozenset()
    allows: frozenset[int] = frozenset()  # classes that go on without an answer
    most_out: int = 100
    cache_entries: int = 0
    cache_s: float = 10.0

    def matches(self, plan: int, station: int, cls: int) -> bool:
        return (
            (not self.plans or plan in self.plans)
            and (not self.stations or station in self.stations)
            and (not self.classes or cls in self.classes)
        )


@dataclass(frozen=True, slots=True)
class Kept(Generic[R]):
    """An answer in the cache."""

    ruling: R
    until: float


class Checks(Generic[R]):
    """One authoriser. R is the type of its answers, which this passes on unread."""

    def __init__(self, rule: Rule, seed: int) -> None:
        self.rule, self.random = rule, random.Random(seed)
        self.state, self.failures, self.pause, self.try_at = State.CLOSED, 0, PAUSE, 0.0
        self.out = 0
        self.trial = ""  # the request that is asked about in `trying`
        self.cache = OrderedDict[Key, Kept[R]]()
        self.lines: list[str] = []

    def cached(self, now: float, key: Key | None) -> R | None:
        """An answer that was given before to the same station, class and listener, if it still holds."""
        if key is None or (kept := self.cache.get(key)) is None:
            return None
        if now >= kept.until:
            del self.cache[key]
            return None
        self.cache.move_to_end(key)
        return kept.ruling

    def begin(self, now: float, request: str) -> str:
        """Takes a check up: empty if it is to be asked, else why it is not."""
        if self.out >= self.rule.most_out:
            return f"{self.out} checks are out"
        if self.state is State.OPEN and now >= self.try_at:
            self.state = State.TRYING
        if self.state is State.OPEN or (self.state is State.TRYING and self.trial):
            return "it has not answered lately"
        if self.state is State.TRYING:
            self.trial = request
        self.out += 1
        return ""

    def answered(self, now: float, request: str, key: Key | None, ruling: R) -> None:
        """An answer, whatever it says."""
        self._ended(request)
        self.failures, self.pause = 0, PAUSE
        if self.state is not State.CLOSED:
            self.state = State.CLOSED
            self.lines.append(f"authoriser {self.rule.name} answers again")
        if key is not None and self.rule.cache_entries:
            self.cache[key] = Kept(ruling, now + self.rule.cache_s)
            self.cache.move_to_end(key)
            while len(self.cache) > self.rule.cache_entries:
                self.cache.popitem(last=False)

    def failed(self, now: float, request: str, why: str) -> None:
        """No answer: out of time, reset, refused."""
        trial = self.trial == request != ""
        self._ended(request)
        self.failures += 1
        if trial or (self.state is State.CLOSED and self.failures >= FAILS):
            if self.state is State.CLOSED:
                self.lines.append(f"authoriser {self.rule.name} is not asked for a while: {why}")
            self.state = State.OPEN
            self.try_at = now + self.pause * (0.5 + self.random.random())
            self.pause = min(LONGEST, 2 * self.pause)

    def left(self, request: str) -> None:
        """Its client has gone or its time is up: the answer would be of no use."""
        self._ended(request)

    def _ended(self, request: str) -> None:
        self.out -= 1
        if self.trial == request:
            self.trial = ""

    def without(self, cls: int) -> Verdict:
        """What holds for a request of a class when there is no answer."""
        return Verdict.ALLOWED if cls in self.rule.allows else Verdict.NO_ANSWER
