"""Rules for configuration changes: only valid ones are accepted, none is lost, and routes come into force."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator

from attrs import define

from coralvale.cluster.soak import history as h
from coralvale.cluster.soak.timeline import MARGIN_S, Request, Timeline, Violation

NO_ROUTE_STATUSES = {401, 403, 404}  # of a gateway that does not have a route's configuration


@define
class ChangeOutcome:
    """A change and its definite answer. `status`: 0 without one; `answered_at`: s, infinite without one."""

    change: h.Change
    status: int = 0
    answered_at: float = float("inf")

    @property
    def accepted(self) -> bool:
        """Whether it was answered with 200."""
        return self.status == 200


def _changes(timeline: Timeline) -> list[ChangeOutcome]:
    found = {change.number: ChangeOutcome(change) for change in timeline.events_of(h.Change)}
    for answer in timeline.events_of(h.ChangeAnswer):
        found[answer.number].status, found[answer.number].answered_at = answer.status, answer.at
    return list(found.values())


def accepted_changes(timeline: Timeline) -> Iterator[Violation]:
    """CONFIG: no invalid change is accepted, and at most one change per base version."""
    by_base: dict[int, set[str]] = defaultdict(set)
    for outcome in _changes(timeline):
        change = outcome.change
        if not outcome.accepted:
            continue
        if change.kind == "bad":
            yield Violation("CONFIG", outcome.answered_at, f"invalid version {change.version} was accepted")
        by_base[change.base].add(change.digest)
        if len(by_base[change.base]) == 2:
            yield Violation(
                "CONFIG", outcome.answered_at, f"two changes on version {change.base} were accepted"
            )


def configuration_reads(timeline: Timeline) -> Iterator[Violation]:
    """LOST, CONFIG: a read returns no version older than one accepted before it, and no refused content.

    A run without a successful read at its end breaks LOST as well.
    """
    changes = _changes(timeline)
    refused = {k.change.digest for k in changes if k.change.kind == "bad" or 400 <= k.status < 500}
    possible = {k.change.digest for k in changes} - refused
    reads = timeline.events_of(h.ReadBack)
    for read in reads:
        newest = max(
            (k.change.version for k in changes if k.accepted and k.answered_at < read.sent_at), default=0
        )
        if read.version < newest:
            yield Violation("LOST", read.at, f"version {read.version} was read after {newest} was accepted")
        elif read.version and read.digest not in possible:
            yield Violation(
                "CONFIG", read.at, f"version {read.version} was read with content that was never accepted"
            )
    for act in timeline.events_of(h.Act):
        if act.kind == "last-read" and not any(read.sent_at >= act.at for read in reads):
            yield Violation(
                "LOST", timeline.last_at, "no gateway returned the configuration at the end of the run"
            )


def routes_in_force(timeline: Timeline) -> Iterator[Violation]:
    """CONFIG: an accepted route is served at most `ApplyMs` later; one that a gateway served stays served."""
    routes = _routes(timeline)
    seen: dict[tuple[int, int, str], float] = {}
    asked = [r for r in timeline.requests.values() if not r.sent.proper and isinstance(r.end, h.Answered)]
    for request in sorted(asked, key=lambda r: r.sent.at):
        assert isinstance(request.end, h.Answered)
        prefix = request.sent.path.rpartition("/")[0] + "/"
        key = (request.sent.gateway, request.sent.life, prefix)
        added, removed = routes.get(prefix, (float("inf"), float("inf")))
        if request.end.status == 200 and request.ran:
            seen.setdefault(key, min(ran.at for ran in request.ran))
        elif request.end.status in NO_ROUTE_STATUSES and request.end.at < removed:
            yield from _check_missing_route(timeline, request, request.end, added, seen.get(key))


def _check_missing_route(
    timeline: Timeline, request: Request, end: h.Answered, added: float, seen: float | None
) -> Iterator[Violation]:
    sent, life = request.sent, timeline.life_of(request)
    if seen is not None:
        since = sent.at - seen - timeline.lost_time(life, seen, sent.at)
        if since > timeline.run.revert + MARGIN_S:
            yield Violation(
                "CONFIG", end.at, f"gateway {sent.gateway} reverted: it no longer serves {sent.path}", sent.id
            )
    since = sent.at - added - timeline.lost_time(life, added, end.at)
    if since > timeline.run.apply and timeline.undisturbed(sent.gateway, sent.at, end.at):
        text = f"gateway {sent.gateway} does not serve {sent.path} {sent.at - added:.2f} s after its change"
        yield Violation("CONFIG", end.at, text, sent.id)


def _routes(timeline: Timeline) -> dict[str, tuple[float, float]]:
    """By path prefix: when the change that adds it was accepted, and when one that removes it was first sent.

    Both are infinite if that did not happen.
    """
    found: dict[str, tuple[float, float]] = {}
    for outcome in _changes(timeline):
        for prefix in outcome.change.adds:
            added, removed = found.get(prefix, (float("inf"), float("inf")))
            if outcome.accepted:
                added = min(added, outcome.answered_at)
            found[prefix] = (added, removed)
        for prefix in outcome.change.removes:
            added, removed = found.get(prefix, (float("inf"), float("inf")))
            found[prefix] = (added, min(removed, outcome.change.at))
    return found
