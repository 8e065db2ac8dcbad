"""What a process owes at its end, to whom, and by when: the one place that decides it.

The platform sends SIGTERM, and SIGKILL `GraceS` later. All moments below are reckoned from these two, whatever
the deadline of a request, of a call or of a host is: what lies behind the end of the process can't be waited for.

| until        | who                              | is owed                                                      |
| ------------ | -------------------------------- | ------------------------------------------------------------ |
| `accept`     | new connections                  | to be accepted: the platform knows of the end by then        |
| `handle`     | requests read                    | to be passed on; later ones get 503: they have not run       |
| `take_calls` | calls of hosts and operators     | to be handled; later ones get 503                            |
| `answer`     | requests and calls in hand       | a whole answer: the host's, or else one that says what is    |
|              |                                  | known: 503 if it has not run, 504 if it may have             |
| `cut`        | answers that are written         | to reach their clients; an answer that has begun goes on, as |
|              |                                  | nothing can be said in its place                             |
|              | the other voters                 | to have what this one knows                                  |

A request that may be repeated is tried again at another host, if its host is silent, as long as an answer can
be expected by `answer`. Nothing is given up before `answer` for a host's silence alone, and `answer` lies in the
last sixth of `GraceS`: a host may be at work until then (NEWS-22, LOST).

A process that was held up handles the signal late. It may have come at any moment of that pause: what it
forbids is reckoned from the earliest one, and the last sixth from the latest.
"""

from __future__ import annotations

from attrs import frozen

ACCEPT_S = 2.9  # after SIGTERM: the platform asks each second, and takes a gateway out after two failures
HANDLE_S = 3.0  # after SIGTERM; hosts may not be done with what comes later
CALL_S = 1.0  # in which calls of hosts, operators and applications are answered, but for large changes
LAST_SIXTH = 5 / 6  # of GraceS
LAST_SIXTH_MARGIN_S = 0.1  # behind its beginning, for answers that cross the moment
CUT_MARGIN_S = 0.7  # before SIGKILL: then a process tells the others that it leaves, and exits
LEAST_CUT_MARGIN_S = 0.35  # the same where it was held up as the signal came
DELIVERY_S = 0.2  # from the last answers to the cut
LEAST_DELIVERY_S = 0.1
LEAST_GRACE_S = 1.7  # a shorter one leaves no time for an orderly end


@frozen
class ShutdownSchedule:
    """The moments of a process's end, s of its monotonic clock; see the table of this module."""

    accept: float
    handle: float
    take_calls: float
    answer: float
    cut: float


def shutdown_schedule(earliest: float, handled: float, grace: float) -> ShutdownSchedule:
    """The moments of the end of a process that handles SIGTERM at `handled`.

    `earliest`: the first moment at which the signal may have come; `grace`: s from there to SIGKILL.
    """
    grace = max(grace, LEAST_GRACE_S)
    killed = earliest + grace
    last_sixth = handled + LAST_SIXTH * grace + LAST_SIXTH_MARGIN_S
    cut = killed - CUT_MARGIN_S
    answer = max(cut - DELIVERY_S, min(last_sixth, killed - LEAST_CUT_MARGIN_S - LEAST_DELIVERY_S))
    handle = min(earliest + HANDLE_S, answer - LEAST_DELIVERY_S)
    return ShutdownSchedule(
        accept=min(earliest + ACCEPT_S, handle),
        handle=handle,
        take_calls=answer - CALL_S,
        answer=answer,
        cut=max(cut, answer + LEAST_DELIVERY_S),
    )
