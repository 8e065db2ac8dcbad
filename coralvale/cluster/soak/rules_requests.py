"""Rules for requests: answers, runs at hosts, closed connections, draining hosts, quotas."""

from __future__ import annotations

from bisect import bisect_right
from collections import defaultdict
from collections.abc import Iterator

from coralvale.cluster.soak import history as h
from coralvale.cluster.soak.timeline import MARGIN_S, Life, Request, Timeline, Violation

NOT_EXECUTED_STATUSES = {408, 421, 429, 503}  # the request has not run and never will
OWN_FAILURES = {502, 504}  # of a gateway: the soak's hosts send none
LAST_EXCUSED_S = 3.0  # after SIGTERM, until which a request sent may outlast its process (NEWS-22, LOST)
ABORT_MARGIN_S = 0.05  # before an answer, in which the host's last step may cross the gateway's abort
TIMEOUT_MARGIN_S = 0.3  # before a request's limit; from then on its connection may be closed as timed out


def answers_match_runs(timeline: Timeline) -> Iterator[Violation]:
    """LOST, REFUSED: a request answered with success has run; one answered as not executed has not.

    A repeatable request may have run all the same.
    """
    for id_, request in timeline.requests.items():
        end = request.end
        if not isinstance(end, h.Answered):
            continue
        if end.status == 200 and not request.ran:
            yield Violation("LOST", end.at, "answered with success, but no host ran it", id_)
        if end.status in NOT_EXECUTED_STATUSES and request.ran and not request.sent.repeatable:
            yield Violation(
                "REFUSED", end.at, f"answered {end.status}, but {request.ran[0].host} ran it", id_
            )


def request_runs(timeline: Timeline) -> Iterator[Violation]:
    """TWICE, UNASKED: a non-repeatable request runs once at most; hosts run only what clients sent, as is."""
    for id_, request in timeline.requests.items():
        if len(request.ran) > 1 and not request.sent.repeatable:
            hosts = ", ".join(ran.host for ran in request.ran)
            yield Violation("TWICE", request.ran[1].at, f"ran at {hosts}", id_)
        for ran in request.ran:
            if not ran.whole:
                yield Violation("UNASKED", ran.at, f"{ran.host} received another body", id_)
            if ran.tenant != request.sent.tenant:
                yield Violation("UNASKED", ran.at, f"ran as tenant {ran.tenant!r}", id_)
    for read in timeline.events_of(h.BodyRead):
        if not read.whole:
            yield Violation(
                "UNASKED", read.at, f"{read.host} received another body after its answer", read.id
            )
    for ran in timeline.unknown_runs:
        yield Violation("UNASKED", ran.at, f"{ran.host} ran a request that no client sent", ran.id)


def own_answers(timeline: Timeline) -> Iterator[Violation]:
    """MIXED: each answer belongs to its request."""
    for id_, request in timeline.requests.items():
        end = request.end
        if not isinstance(end, h.Answered):
            continue
        if end.echo and end.echo != id_:
            yield Violation("MIXED", end.at, f"got the answer to {end.echo}", id_)
        elif not end.own:
            yield Violation("MIXED", end.at, "got a body that does not belong to it", id_)


def request_ends(timeline: Timeline) -> Iterator[Violation]:
    """ENDED: an admitted request gets a complete answer within its limit, also around SIGTERM."""
    for id_, request in timeline.requests.items():
        if isinstance(request.end, h.Left) or request.end is None:
            continue
        if why := _end_fault(timeline, request):
            yield Violation("ENDED", request.end.at, why, id_)


def _end_fault(timeline: Timeline, request: Request) -> str:
    """What is wrong with how a request ended; empty if nothing is."""
    end, life = request.end, timeline.life_of(request)
    assert end is not None
    since = request.sent.at
    took, lost = end.at - since, timeline.lost_time(life, since, end.at)
    if isinstance(end, h.Closed):
        return _close_fault(timeline, request, end, life)
    if isinstance(end, h.Silent) and _was_killed(life, end.at):
        return ""
    if took - lost > request.sent.limit + MARGIN_S:
        what = "without an answer" if isinstance(end, h.Silent) else "until it was answered"
        return f"{took:.2f} s {what} ({lost:.2f} s lost); the limit is {request.sent.limit} s"
    return ""


def _was_killed(life: Life | None, at: float) -> bool:
    """Whether a process had been killed by then. A client may notice later than the kill."""
    return life is None or (life.killed_at is not None and life.killed_at <= at)


def _close_fault(timeline: Timeline, request: Request, end: h.Closed, life: Life | None) -> str:
    """Why its gateway should not have closed a request's connection; empty if it was allowed to.

    It may if it was killed, near the request's limit, where an answer that had begun, this one or one before it
    on the connection, could not be completed, and, if it had not forwarded the request, shortly after its last
    byte. A host's silence is no reason.
    """
    if _was_killed(life, end.at):
        return ""
    took = end.at - request.sent.at
    if took >= request.sent.limit - TIMEOUT_MARGIN_S:
        return ""
    if any(_could_not_complete(timeline, earlier, life) for earlier in timeline.closed_with(request)):
        return ""
    after_sigterm = " after SIGTERM" if life and life.terminated_at and life.terminated_at <= end.at else ""
    if request.ran or end.begun:
        return f"closed{after_sigterm} after it had been forwarded, {took:.2f} s after it was sent"
    if request.written_at is None:
        return ""
    late = end.at - request.written_at
    lost = timeline.lost_time(life, request.written_at, end.at)
    if late > timeline.run.loss + lost + MARGIN_S:
        return f"closed{after_sigterm} without an answer {late:.2f} s after its last byte ({lost:.2f} s lost)"
    return ""


def _could_not_complete(timeline: Timeline, request: Request, life: Life | None) -> bool:
    """Whether an answer had begun, and its host broke off, its limit was reached, or its process ended in its
    midst: its host at work in the last sixth of the grace, on a request of at most LAST_EXCUSED_S after SIGTERM.
    """
    end = request.end
    if not isinstance(end, h.Closed) or not end.begun:
        return False
    if end.at - request.sent.at >= request.sent.limit - TIMEOUT_MARGIN_S:
        return True
    if _host_broke_off(timeline, request, end.at):
        return True
    terminated = life.terminated_at if life else None
    if terminated is None or request.sent.at > terminated + LAST_EXCUSED_S:
        return False
    return end.at >= terminated + timeline.run.grace * 5 / 6 and bool(request.hosts_at_work(end.at))


def _host_broke_off(timeline: Timeline, request: Request, until: float) -> bool:
    """Whether a host that ran it crashed or left, or its relay reset connections.

    `Broke` events prove nothing: a gateway that closes a client's connection also closes the host's.
    """
    return any(
        any(ran.at - MARGIN_S <= at <= until + MARGIN_S for at in timeline.host_breaks.get(ran.host, []))
        for ran in request.ran
    )


def answers_in_place_of_hosts(timeline: Timeline) -> Iterator[Violation]:
    """LOST: after SIGTERM a gateway answers no request with a failure of its own that its host works on.

    Not counted: the host or its link was in trouble, the limit was reached, or the host was still at work in the
    last sixth of the grace on a request that was sent at most LAST_EXCUSED_S after SIGTERM.
    """
    for id_, request in timeline.requests.items():
        end, life = request.end, timeline.life_of(request)
        if not isinstance(end, h.Answered) or end.status not in OWN_FAILURES:
            continue
        if life is None or life.terminated_at is None or end.at < life.terminated_at:
            continue
        if end.at - request.sent.at >= request.sent.limit - TIMEOUT_MARGIN_S:
            continue
        hosts = request.hosts_at_work(end.at - ABORT_MARGIN_S)
        if not hosts or any(not timeline.link_undisturbed(host, request.sent.at, end.at) for host in hosts):
            continue
        in_last_sixth = end.at >= life.terminated_at + timeline.run.grace * 5 / 6
        if in_last_sixth and request.sent.at <= life.terminated_at + LAST_EXCUSED_S:
            continue
        yield Violation("LOST", end.at, f"answered {end.status} in place of {hosts[0]}, at work on it", id_)


def drained_hosts(timeline: Timeline) -> Iterator[Violation]:
    """DRAIN: a host gets no request later than `DrainMs` after its leave was acknowledged.

    Only requests of undisturbed gateways over undisturbed links count.
    """
    left: dict[str, h.HostState] = {}
    for state in timeline.events_of(h.HostState):
        if state.what == "acknowledged" and timeline.undisturbed(state.gateway, state.at, state.at):
            left.setdefault(state.host, state)
    for id_, request in timeline.requests.items():
        for ran in request.ran:
            state_ = left.get(ran.host)
            if state_ is None:
                continue
            late = ran.at - state_.at
            life, gateway = timeline.life_of(request), request.sent.gateway
            bound = timeline.run.drain + timeline.lost_time(life, state_.at, ran.at)
            if (
                late > bound
                and timeline.undisturbed(gateway, request.sent.at, ran.at)
                and timeline.link_undisturbed(ran.host, request.sent.at, ran.at)
            ):
                yield Violation(
                    "DRAIN", ran.at, f"{ran.host} got it {late:.2f} s after its leave was acknowledged", id_
                )


def quotas(timeline: Timeline) -> Iterator[Violation]:
    """QUOTA: in no window are more requests of a tenant sent and run than rate, burst and tolerance allow."""
    run = timeline.run
    by_tenant: dict[str, list[tuple[float, float]]] = defaultdict(list)
    for request in timeline.requests.values():
        if request.ran:
            by_tenant[request.sent.tenant].append((request.sent.at, request.ran[0].at))
    for tenant, (rate, burst) in run.quotas.items():
        if not rate:
            continue
        allowed = (rate * run.quota_window + burst) * (1 + run.quota_excess) + run.quota_slack
        at, count = _busiest_window(sorted(by_tenant[tenant]), run.quota_window)
        if count > allowed:
            text = f"{count} requests of {tenant} in {run.quota_window:g} s, {allowed:.0f} at most"
            yield Violation("QUOTA", at, text, tenant)


def _busiest_window(spans: list[tuple[float, float]], window: float) -> tuple[float, int]:
    """Start and count of the window in which the most requests are both sent and run."""
    starts = [sent for sent, _ in spans]
    best = (0.0, 0)
    for first, begin in enumerate(starts):
        last = bisect_right(starts, begin + window)
        count = sum(ran <= begin + window for _, ran in spans[first:last])
        best = max(best, (begin, count), key=lambda found: found[1])
    return best
