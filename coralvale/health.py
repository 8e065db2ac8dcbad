"""Load and health of servers, as one gateway sees them from its own attempts alone."""

from __future__ import annotations

import math
import random

from coralvale import interface as api

HALF_LIFE_S = 10.0  # time in which half of what is known of a server's delay is forgotten
SILENT_DELAYS = 4.0  # usual delays without an answer: one attempt in fifty takes so long by chance
BREAKS_PER_FAILURE = 3  # connections broken in a row, with no answer between, that count as a server failure
COLD_SPREAD = 1.4  # of its even share, that a cold server may get where most are cold: the rule allows twice
SUBSET_MOVE_S = 5.0  # interval between changes of the subset: each costs a handshake, at every gateway
LOST_DELAYS = 16.0  # usual delays after which an attempt overtaken by later answers is lost, not slow


class Host:
    """What this gateway knows of one server. `usual` is the usual delay over all classes, in seconds."""

    def __init__(self, info: api.Server, now: float) -> None:
        self.info, self.scale = info, max(info.scale, 0.01)
        self.in_flight: dict[tuple[str, int], float] = {}  # when attempts were sent, oldest first
        self.delay_ratio, self.answered_at = 1.0, now  # delay over the usual one of the class
        self.failures, self.retry_at = 0.0, 0.0
        self.breaks = 0  # connections that broke since its last answer
        self.reported, self.reported_at = 0.0, -math.inf
        self.back_at = 0.0  # when an operator gave it back

    def started_at(self) -> float:
        """When it last started, as far as is known: in maintenance it may have restarted unnoticed."""
        return max(self.info.started_at, self.back_at)

    def warmup(self, settings: api.Settings, now: float) -> float:
        """Share of its full capacity that a starting server surely has: at least linear over the ramp."""
        if not self.started_at() or not settings.warm_after:
            return 1.0
        age = max(0.0, now - self.started_at()) / settings.warm_after
        return min(1.0, settings.cold_share + (1 - settings.cold_share) * age)

    def pending(self, now: float, usual: float) -> list[float]:
        """Send times of the attempts in flight, except lost ones: overdue and overtaken by later answers."""
        lost = now - LOST_DELAYS * usual
        return [sent for sent in self.in_flight.values() if sent >= lost or sent >= self.answered_at]

    def silence(self, now: float, usual: float) -> float:
        """Seconds for which it has left pending attempts without any answer."""
        pending = self.pending(now, usual)
        return now - max(self.answered_at, pending[0]) if pending else 0.0

    def relative_delay(self, now: float) -> float:
        """Its delay over the usual one, decaying to 1 without new answers."""
        return 1 + (self.delay_ratio - 1) * 0.5 ** ((now - self.answered_at) / HALF_LIFE_S)

    def unhealthy(self, now: float, usual: float) -> bool:
        """Whether to avoid it. Stalled, crashed, hung, ageing and refusing servers look alike from here."""
        late = self.silence(now, usual) * min(
            len(self.in_flight), SILENT_DELAYS
        ) > SILENT_DELAYS * usual * max(1.0, self.delay_ratio)
        # After a pause it is tried with one request at a time.
        return late or now < self.retry_at or (self.failures >= 1 and bool(self.in_flight))

    def record_failure(self, now: float, pause: float) -> None:
        """Passes it over for `pause` seconds, doubled on each failure in a row up to four."""
        self.retry_at = max(self.retry_at, now + pause * 2**self.failures)
        self.failures = min(self.failures + 1, 4)

    def record_break(self, now: float, pause: float) -> None:
        """Counts a connection that broke; a failure only from the `BREAKS_PER_FAILURE`th in a row.

        Idle limits, resets on the way and single faults break connections to healthy servers. A server that
        dies breaks all connections at once or accepts no new one (`record_failure`). This rule does harm
        where a server resets all that it is sent but is sent little: by then it has cost three attempts.
        """
        self.breaks += 1
        if self.breaks >= BREAKS_PER_FAILURE:
            self.record_failure(now, pause)

    def record_report(self, now: float, report: dict[str, float]) -> None:
        """Records the load that it reports itself."""
        if held := [v for name, v in report.items() if name in ("inflight", "queue") and math.isfinite(v)]:
            self.reported, self.reported_at = max(held), now

    def record_answer(self, now: float) -> None:
        """Records an answer of any kind: it is alive."""
        self.answered_at, self.breaks = now, 0


class Fleet:
    """The listed servers, and those that operators took out, which no list brings back."""

    def __init__(self) -> None:
        self.hosts: dict[str, Host] = {}
        self.in_maintenance: dict[str, float] = {}  # by id: since when

    def merge(self, now: float, event: api.ServerList) -> None:
        """Takes a server list or its changes; a server that has restarted begins anew."""
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
        """Takes a server out, or gives it back with its failures forgotten."""
        if event.out:
            self.in_maintenance.setdefault(event.server, now)
        elif (since := self.in_maintenance.pop(event.server, None)) is not None and (
            host := self.hosts.get(event.server)
        ):
            if host.info.started_at < since:  # else the list has announced its restart
                host.back_at = now
            host.failures, host.retry_at, host.breaks = 0.0, 0.0, 0

    def usable(self) -> list[Host]:
        """Servers that may get new work."""
        states = (api.ServerState.HEALTHY,)
        return [
            h for h in self.hosts.values() if h.info.state in states and h.info.id not in self.in_maintenance
        ]

    def avoided(self, now: float) -> int:
        """Number of listed servers that get nothing new: taken out, draining, or passed over for failures."""
        return len(self.hosts) - sum(now >= host.retry_at for host in self.usable())


class ServerSubset:
    """The few servers that a gateway sends to, so that its few attempts tell something of each."""

    def __init__(self, rng: random.Random) -> None:
        self.rng, self.move_at = rng, 0.0
        self.hosts: list[Host] = []

    def renew(self, before: list[Host], warm: list[Host], size: int) -> None:
        """Follows another list: as evenly drawn as a new subset, with as few changes as possible.

        A release changes the list many times, and each server that is new in the subset costs a handshake.
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
        """Replaces the worst server by a random one: at once if it is unhealthy, else at an interval."""
        if len(self.hosts) < len(warm):
            worst = max(self.hosts, key=lambda h: (h.unhealthy(now, usual), h.relative_delay(now)))
            if now >= self.move_at or worst.unhealthy(now, usual):
                self.move_at = now + SUBSET_MOVE_S
                self.hosts.remove(worst)
                self.hosts += self._draw(warm, 1)

    def _draw(self, warm: list[Host], size: int) -> list[Host]:
        return self.rng.choices(warm, weights=[h.scale for h in warm], k=size)


def pick_cold(
    warm: list[Host], cold: list[Host], draw: float, settings: api.Settings, now: float
) -> Host | None:
    """The cold server that `draw`, random from 0 to 1, falls on; None if it falls on the warm ones."""
    shares = [host.scale * host.warmup(settings, now) for host in cold]
    full, every = sum(h.scale for h in warm), sum(h.scale for h in warm + cold)
    draw *= max(every / COLD_SPREAD, full + sum(shares))
    for host, share in zip(cold, shares, strict=True):
        if (draw := draw - share) < 0:
            return host
    return None
