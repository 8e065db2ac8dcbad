"""What a gateway tells of coordination: what its replica holds, answers to its callers, calls that it settled.

All names come from the program's own types, so the number of series is bounded; no lock, key or owner is there.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter
from itertools import accumulate
from typing import Any

from coralvale.cluster.coordination.desk import CoordinationHandler
from coralvale.cluster.coordination.model import Call, Full, Outcome, Watch
from coralvale.cluster.coordination.state import CoordinationState

DELAYS_MS = (2, 5, 10, 20, 40, 80, 160, 320, 640, 1000)  # upper ends of the histogram's buckets


class CoordinationMetrics:
    """Counts since the process began, and rates of the last second."""

    def __init__(self) -> None:
        self.answers: Counter[tuple[str, int]] = Counter()  # to callers of this gateway, by call and status
        self.outcomes: Counter[tuple[str, str]] = Counter()  # settled here as the leader, by call and outcome
        self.delays = [0] * (len(DELAYS_MS) + 1)  # calls by bucket, the last one without an upper end
        self.delay_sum = 0.0  # s
        self.takeovers = 0
        self.full: Counter[str] = Counter()  # calls past a bound since the last look, by its reason
        self.rates: dict[str, float] = {"turns": 0.0, "calls": 0.0}  # a second
        self._looked: tuple[float, int, int] | None = None  # when, turns and calls by then

    def record_answer(self, call: Call, status: int) -> None:
        """An answer of this gateway to its caller, whoever settled the call."""
        self.answers[metric_name(call), status] += 1

    def record_outcome(self, call: Call, outcome: Outcome, seconds: float) -> None:
        """A call that this gateway settled as the leader. A watch waits as long as its caller asked it to, so
        its time is no delay."""
        self.outcomes[metric_name(call), metric_name(outcome)] += 1
        if isinstance(outcome, Full):
            self.full[outcome.reason] += 1
        if not isinstance(call, Watch):
            self.delays[bisect_left(DELAYS_MS, seconds * 1000)] += 1
            self.delay_sum += seconds

    def sample_rates(self, now: float, turns: int) -> None:
        """Once a second. `turns`: that the desk has begun."""
        calls = self.outcomes.total()
        if self._looked:
            at, turns_then, calls_then = self._looked
            seconds = max(1e-3, now - at)
            self.rates = {"turns": (turns - turns_then) / seconds, "calls": (calls - calls_then) / seconds}
        self._looked = (now, turns, calls)

    def status(self, state: CoordinationState, desk: CoordinationHandler | None) -> dict[str, Any]:
        """For `myrtlehatch status`."""
        calls: dict[str, dict[str, int]] = {}
        for (call, outcome), count in sorted(self.outcomes.items()):
            calls.setdefault(call, {})[outcome] = count
        return {
            **replica_sizes(state, desk),
            "turns_per_s": self.rates["turns"],
            "calls_per_s": self.rates["calls"],
            "takeovers": self.takeovers,
            "settled": calls,
            "answers": {f"{call} {status}": count for (call, status), count in sorted(self.answers.items())},
            "delay_ms": {"p50": self.delay_ms(0.5), "p99": self.delay_ms(0.99)},
        }

    def delay_ms(self, share: float) -> float:
        """The upper end of the bucket in which this share of the calls is reached, of the last but one in the
        last; 0 without calls."""
        wanted = share * sum(self.delays)
        if not wanted:
            return 0.0
        reached = next(n for n, count in enumerate(accumulate(self.delays)) if count >= wanted)
        return float(DELAYS_MS[min(reached, len(DELAYS_MS) - 1)])


def replica_sizes(state: CoordinationState, desk: CoordinationHandler | None) -> dict[str, int]:
    """Sizes of what a replica holds and of what waits at its desk; none of it without a replica."""
    return {
        "locks": len(state.locks),
        "numbers": len(state.numbers),
        "keys": len(state.values),
        "groups": len(state.groups),
        "puts": len(state.puts),
        "bytes": state.stored_bytes,
        "fence": state.last_fence,
        "watches": desk.watches.count if desk else 0,
        "waiting": len(desk.waiting) if desk else 0,
        "turns": desk.turns if desk else 0,
    }


def metric_name(value: Any) -> str:  # noqa: ANN401
    """The name of a call or an outcome in figures."""
    return type(value).__name__.lower()
