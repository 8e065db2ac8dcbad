"""Statistics of the process for its operators, counted from its start."""

from __future__ import annotations

from collections.abc import Sequence

OUTCOMES = ("served", "refused", "failed")


class RequestStats:
    """Requests by class and outcome, requests in flight, and attempts written completely to hosts.

    A request is in flight from its last byte until the last byte of its answer. The status of the answer
    makes it served (200), refused (429, 503) or failed (any other). A request whose client has left counts as
    failed.
    """

    def __init__(self, classes: Sequence[str]) -> None:
        self.classes = tuple(classes)
        self.counts = [[0, 0, 0] for _ in self.classes]
        self.in_flight = self.attempts = self.reloads_ok = self.reloads_failed = 0

    def started(self) -> None:
        self.in_flight += 1

    def finished(self, cls: int, status: int) -> None:
        self.in_flight -= 1
        self.counts[cls][0 if status == 200 else 1 if status in (429, 503) else 2] += 1

    def rejected(self, cls: int, status: int) -> None:
        """Counts a request that was answered without having been in flight."""
        self.started()
        self.finished(cls, status)

    def lines(self, known: int, excluded: int) -> str:
        """The `key=value` lines that `GET /stats` returns."""
        rows = [
            f"requests.{name}.{outcome}={count}"
            for name, counts in zip(self.classes, self.counts, strict=True)
            for outcome, count in zip(OUTCOMES, counts, strict=True)
        ]
        rows += [f"{name}={getattr(self, name)}" for name in ("attempts", "in_flight")]
        rows += [f"hosts_known={known}", f"hosts_excluded={excluded}"]
        rows += [f"{name}={getattr(self, name)}" for name in ("reloads_ok", "reloads_failed")]
        return "\n".join(rows) + "\n"
