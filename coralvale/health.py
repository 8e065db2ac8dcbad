"""What a gateway knows of one server's load and health, from its own attempts alone."""

from __future__ import annotations

import math

from coralvale import interface as api

NEWS = 10.0  # s in which half of what is known of a server's delay is forgotten
SILENCE = 4.0  # usual delays' worth of missing answers: by chance this happens to one attempt in fifty
BREAKS = 3  # connections that break in a row, with no answer between, before it is the server's doing
LOST = 16.0  # usual delays after which an attempt that others have overtaken is lost, not slow


class Host:
    """What this gateway knows of one server; all of it is computed from `now` when it is used."""

    def __init__(self, info: api.Server, now: float) -> None:
        self.info, self.scale = info, max(info.scale, 0.01)
        self.out: dict[tuple[str, int], float] = {}  # attempts out, oldest first
        self.slow, self.heard_at = 1.0, now  # its delay over the fleet's for the same class
        self.failures, self.retry_at = 0.0, 0.0
        self.breaks = 0  # connections that broke since its last answer
        self.reported, self.reported_at = 0.0, -math.inf

    def warmth(self, settings: api.Settings, now: float) -> float:
        """Share of its full capacity that a server surely has: never slower than evenly over the ramp."""
        if not self.info.started_at or not settings.warm_after:
            return 1.0
        age = max(0.0, now - self.info.started_at) / settings.warm_after
        return min(1.0, settings.cold_share + (1 - settings.cold_share) * age)

    def waiting(self, now: float, usual: float) -> list[float]:
        """When the attempts out were sent, but for lost ones: long overdue, and later ones were answered."""
        lost = now - LOST * usual
        return [at for at in self.out.values() if at >= lost or at >= self.heard_at]

    def silence(self, now: float, usual: float) -> float:
        """Seconds for which it has left attempts without any answer."""
        waiting = self.waiting(now, usual)
        return now - max(self.heard_at, waiting[0]) if waiting else 0.0

    def slowness(self, now: float) -> float:
        return 1 + (self.slow - 1) * 0.5 ** ((now - self.heard_at) / NEWS)

    def ill(self, now: float, usual: float) -> bool:
        """Stalled, crashed, hung, ageing and refusing servers look alike: no answers in time, or bad ones."""
        late = self.silence(now, usual) * min(len(self.out), SILENCE) > SILENCE * usual * max(1.0, self.slow)
        return late or now < self.retry_at or (self.failures >= 1 and bool(self.out))  # back: tried singly

    def failed(self, now: float, pause: float) -> None:
        self.retry_at = max(self.retry_at, now + pause * 2**self.failures)
        self.failures = min(self.failures + 1, 4)

    def broke(self, now: float, pause: float) -> None:
        """A lost connection is no lost server: idle limits, resets on the way and single faults break some.

        A server that dies breaks all that is out at once, or takes no new connection: that is `failed`. This
        does harm where one resets all that it is sent but is sent little: it has cost three attempts by then.
        """
        self.breaks += 1
        if self.breaks >= BREAKS:
            self.failed(now, pause)

    def answered(self, now: float) -> None:
        self.heard_at, self.breaks = now, 0
