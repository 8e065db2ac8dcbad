"""What a gateway knows of one server's load and health, from its own attempts alone."""

from __future__ import annotations

import math
import random

from coralvale import interface as api

NEWS = 10.0  # s in which half of what is known of a server's delay is forgotten
SILENCE = 4.0  # usual delays' worth of missing answers: by chance this happens to one attempt in fifty
BREAKS = 3  # connections that break in a row, with no answer between, before it is the server's doing
SPREAD = 1.4  # times its even share that a cold server may get where most are cold: the rule allows twice
MOVE = 5.0  # s between changes of a near server: each costs a handshake, and a whole fleet changes as many
LOST = 16.0  # usual delays after which an attempt that others have overtaken is lost, not slow


class Host:
    """What this gateway knows of one server; all of it is computed from `now` when it is used."""

    def __init__(self, info: api.Server, now: float) -> None:
        self.info, self.scale = info, max(info.scale, 0.01)
        self.in_flight: dict[tuple[str, int], float] = {}  # attempts out, oldest first
        self.delay_ratio, self.answered_at = 1.0, now  # its delay over the fleet's for the same class
        self.failures, self.retry_at = 0.0, 0.0
        self.breaks = 0  # connections that broke since its last answer
        self.reported, self.reported_at = 0.0, -math.inf
        self.back_at = 0.0  # when it was given back by hand

    def started_at(self) -> float:
        """When it last started, as far as is known: one given back by hand may have restarted unseen."""
        return max(self.info.started_at, self.back_at)

    def warmup(self, settings: api.Settings, now: float) -> float:
        """Share of its full capacity that a server surely has: never slower than evenly over the ramp."""
        if not self.started_at() or not settings.warm_after:
            return 1.0
        age = max(0.0, now - self.started_at()) / settings.warm_after
        return min(1.0, settings.cold_share + (1 - settings.cold_share) * age)

    def waiting(self, now: float, usual: float) -> list[float]:
        """When the attempts out were sent, but for lost ones: long overdue, and later ones were answered."""
        lost = now - LOST * usual
        return [at for at in self.in_flight.values() if at >= lost or at >= self.answered_at]

    def silence(self, now: float, usual: float) -> float:
        """Seconds for which it has left attempts without any answer."""
        waiting = self.waiting(now, usual)
        return now - max(self.answered_at, waiting[0]) if waiting else 0.0

    def relative_delay(self, now: float) -> float:
        return 1 + (self.delay_ratio - 1) * 0.5 ** ((now - self.answered_at) / NEWS)

    def unhealthy(self, now: float, usual: float) -> bool:
        """Stalled, crashed, hung, ageing and refusing servers look alike: no answers in time, or bad ones."""
        late = self.silence(now, usual) * min(len(self.in_flight), SILENCE) > SILENCE * usual * max(
            1.0, self.delay_ratio
        )
        return (
            late or now < self.retry_at or (self.failures >= 1 and bool(self.in_flight))
        )  # back: tried singly

    def record_failure(self, now: float, pause: float) -> None:
        self.retry_at = max(self.retry_at, now + pause * 2**self.failures)
        self.failures = min(self.failures + 1, 4)

    def record_break(self, now: float, pause: float) -> None:
        """Counts a connection that broke; a failure only from the `BREAKS`th in a row.

        Idle limits, resets on the way and single faults break connections to healthy servers. A server that
        dies breaks all connections at once or accepts no new one (`record_failure`). This rule does harm
        where a server resets all that it is sent but is sent little: by then it has cost three attempts.
        """
        self.breaks += 1
        if self.breaks >= BREAKS:
            self.record_failure(now, pause)

    def record_report(self, now: float, report: dict[str, float]) -> None:
        """Takes what it says of its own load."""
        if held := [v for name, v in report.items() if name in ("inflight", "queue") and math.isfinite(v)]:
            self.reported, self.reported_at = max(held), now

    def record_answer(self, now: float) -> None:
        self.answered_at, self.breaks = now, 0


class Fleet:
    """The servers of the list, and those that operators took out by hand, which no list brings back."""

    def __init__(self) -> None:
        self.hosts: dict[str, Host] = {}
        self.out: dict[str, float] = {}  # since when

    def merge(self, now: float, event: api.ServerList) -> None:
        hosts = self.hosts if event.kind is api.ListKind.CHANGES else {}
        for info in event.servers:
            host = self.hosts.get(info.id)
            if info.state is api.ServerState.GONE:
                hosts.pop(info.id, None)
                continue
            if host is None or host.info.started_at != info.started_at:
                host = Host(info, now)
            host.info, host.scale, hosts[info.id] = info, max(info.scale, 0.01), host
        self.hosts = hosts

    def maintain(self, now: float, event: api.Maintained) -> None:
        if event.out:
            self.out.setdefault(event.server, now)
        elif (since := self.out.pop(event.server, None)) is not None and (
            host := self.hosts.get(event.server)
        ):
            if host.info.started_at < since:  # else the list has told of its restart
                host.back_at = now
            host.failures, host.retry_at, host.breaks = 0.0, 0.0, 0

    def usable(self) -> list[Host]:
        """Servers that may get new work."""
        states = (api.ServerState.HEALTHY,)
        return [h for h in self.hosts.values() if h.info.state in states and h.info.id not in self.out]

    def avoided(self, now: float) -> int:
        """Listed servers that get nothing new now: taken out, draining, or passed over for what they did."""
        return len(self.hosts) - sum(now >= host.retry_at for host in self.usable())


class ServerSubset:
    """The few servers that a gateway keeps to, so that its few attempts tell something of each."""

    def __init__(self, rng: random.Random) -> None:
        self.rng, self.move_at = rng, 0.0
        self.hosts: list[Host] = []

    def renew(self, before: list[Host], warm: list[Host], size: int) -> None:
        """Takes another list: as even a choice as one drawn anew, of which as few as possible have changed.

        In a release the list changes many times, and each server that is near anew costs a handshake.
        """
        if size >= len(warm):
            self.hosts = list(warm)
            return
        here, known, every = set(warm), set(before), sum(h.scale for h in warm)
        new = [h for h in warm if h not in known and self.rng.random() < size * h.scale / every][:size]
        old = [h for h in self.hosts if h in here and h not in new]
        self.hosts = self.rng.sample(old, min(len(old), size - len(new))) + new
        self.hosts += self._draw(warm, size - len(self.hosts))

    def step(self, now: float, warm: list[Host], usual: float) -> None:
        """Leaves the worst server for any other: at once where it is ill, else now and then."""
        if len(self.hosts) < len(warm):
            worst = max(self.hosts, key=lambda h: (h.unhealthy(now, usual), h.relative_delay(now)))
            if now >= self.move_at or worst.unhealthy(now, usual):
                self.move_at = now + MOVE
                self.hosts.remove(worst)
                self.hosts += self._draw(warm, 1)

    def _draw(self, warm: list[Host], size: int) -> list[Host]:
        return self.rng.choices(warm, weights=[h.scale for h in warm], k=size)


def by_lot(warm: list[Host], cold: list[Host], lot: float, settings: api.Settings, now: float) -> Host | None:
    """The cold server that a lot from 0 to 1 falls on, or None if it falls on the warm ones."""
    shares = [host.scale * host.warmup(settings, now) for host in cold]
    full, every = sum(h.scale for h in warm), sum(h.scale for h in warm + cold)
    lot *= max(every / SPREAD, full + sum(shares))
    for host, share in zip(cold, shares, strict=True):
        if (lot := lot - share) < 0:
            return host
    return None
