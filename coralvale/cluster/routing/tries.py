"""What the end of a try says of its request: the one table by which a request is repeated, and promised for.

    state        what the host has                         may have run  again if mutating  promise if last
    NOT_WRITTEN  nothing, or a request without its end     no            yes                it has not run
    TURNED_AWAY  all, and its word that it did not run it  no            yes                it has not run
    WRITTEN      all, or nobody knows; no whole answer     yes           no                 none
    ANSWERED     all, and it has answered                  yes           no                 none

A request that may run once is sent again, or refused with a promise, only while each of its tries has ended in
one of the first two. Requests that may be repeated are sent again in all but the last, within the route's tries
and the service's budget. Sources: PROTOCOL, hosts (421 and `X-Myrtlehatch-Not-Executed` are a host's word);
`coralvale.net.transport` for when an outcome is reported.
"""

from __future__ import annotations

from enum import Enum, unique

from attrs import frozen

from coralvale.interface import Outcome


@unique
class TryState(Enum):
    NOT_WRITTEN = "not written"
    TURNED_AWAY = "turned away"
    WRITTEN = "written"
    ANSWERED = "answered"


@frozen
class TryEnd:
    """`arrived`: a host got it, so that it counts as a try of the route and against the budget."""

    state: TryState
    arrived: bool
    may_have_run: bool

    def may_repeat(self, repeatable: bool) -> bool:
        """Whether a request may be sent again as far as this try is concerned."""
        return self.state is not TryState.ANSWERED and (repeatable or not self.may_have_run)


_NOT_WRITTEN = TryEnd(TryState.NOT_WRITTEN, arrived=False, may_have_run=False)
_TURNED_AWAY = TryEnd(TryState.TURNED_AWAY, arrived=True, may_have_run=False)
_WRITTEN = TryEnd(TryState.WRITTEN, arrived=True, may_have_run=True)
_ANSWERED = TryEnd(TryState.ANSWERED, arrived=True, may_have_run=True)

ENDS: dict[Outcome, TryEnd] = {
    Outcome.CONNECT_FAILED: _NOT_WRITTEN,
    Outcome.NOT_SENT: _NOT_WRITTEN,
    Outcome.FULL: _TURNED_AWAY,
    Outcome.RESET: _WRITTEN,
    Outcome.ERROR: _WRITTEN,
    Outcome.TIMEOUT: _WRITTEN,
    Outcome.CANCELLED: _WRITTEN,
    Outcome.OK: _ANSWERED,
}
