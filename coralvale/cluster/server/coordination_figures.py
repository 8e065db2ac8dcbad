"""Metrics of coordination: sizes of the replica, answers to callers, and calls handled as the leader.

All labels are names of types in the code, never of locks, keys or owners, so the number of series is bounded.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter
from itertools import accumulate
from typing import Any

from coralvale.cluster.coordination.desk import CoordinationHandler
from coralvale.cluster.coordination.model import Call, Full, Outcome, Watch
from coralvale.cluster.coordination.state import CoordinationState

DELAYS_MS = (2, 5, 10, 20, 40, 80, 160, 320, 640, 1000)  # upper bounds of the histogram's buckets


class CoordinationMetrics:
    """Counts since the process started, and rates over the last second."""

    def __init__(self) -> None:
        self.answers: Counter[tuple[str, int]] = Counter()  # to callers of this gateway: (call, status)
        self.outcomes: Counter[tuple[str, str]] = Counter()  # handled here as the leader: (call, outcome)
        self.delays = [0] * (len(DELAYS_MS) + 1)  # calls by bucket; the last has no upper bound
        self.delay_sum = 0.0  # seconds
        self.takeovers = 0
        self.limit_hits: Counter[str] = Counter()  # refused calls since the last log line, by reason
        self.rates: dict[str, float] = {"turns": 0.0, "calls": 0.0}  # per second
        self._last_sample: tuple[float, int, int] | None = None  # time, turns and calls at the last sample

    def record_answer(self, call: Call, status: int) -> None:
        """Counts an answer of this gateway to its caller, whichever gateway handled the call."""
        self.answers[metric_name(call), status] += 1

    def record_outcome(self, call: Call, outcome: Outcome, seconds: float) -> None:
        """Counts a call that this gateway handled as the leader.

        The duration of a watch is not counted as a delay, because it waits as long as its caller asked.
        """
        self.outcomes[metric_name(call), metric_name(outcome)] += 1
        if isinstance(outcome, Full):
            self.limit_hits[outcome.reason] += 1
        if not isinstance(call, Watch):
            self.delays[bisect_left(DELAYS_MS, seconds * 1000)] += 1
            self.delay_sum += seconds

    def sample_rates(self, now: float, turns: int) -> None:
        """Updates the rates; called once a second. `turns`: those that the call handler has started so far."""
        calls = self.outcomes.total()
        if self._last_sample:
            at, turns_then, calls_then = self._last_sample
            seconds = max(1e-3, now - at)
            self.rates = {"turns": (turns - turns_then) / seconds, "calls": (calls - calls_then) / seconds}
        self._last_sample = (now, turns, calls)

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
        """Quantile of the delays in ms: the upper bound of the bucket that contains the quantile `share`.

        For the last bucket, which has none, the upper bound of the one before; 0 without calls.
        """
        wanted = share * sum(self.delays)
        if not wanted:
            return 0.0
        reached = next(n for n, count in enumerate(accumulate(self.delays)) if count >= wanted)
        return float(DELAYS_MS[min(reached, len(DELAYS_MS) - 1)])


def replica_sizes(state: CoordinationState, desk: CoordinationHandler | None) -> dict[str, int]:
    """Sizes of the replica's state and of its call handler's queues; the latter are 0 without a handler."""
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
    """The label of a call or an outcome in metrics."""
    return type(value).__name__.lower()
