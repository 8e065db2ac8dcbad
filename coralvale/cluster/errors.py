"""All kinds of problems, and the HTTP status of each.

The cluster's code raises no exceptions for invalid input from others: it returns a `Problem` with its reason,
and the servers look up the answer. By PROTOCOL the statuses 429, 503, 408 and 421 promise that the request has
not run. `ANSWERS` marks them so only for kinds that are reported before anything was sent, or after every
attempt is known not to have run.
"""

from __future__ import annotations

from enum import Enum, unique

from attrs import frozen


@unique
class Kind(Enum):
    """What went wrong. The values are sent as reasons and logged."""

    NO_ROUTE = "no route matches"
    UNAUTHENTICATED = "no key that is known"
    OVER_QUOTA = "the tenant's quota is used up"
    NO_HOST = "no host of the service is known to be there"
    OTHER_REGION = "it is bound to another region"
    BINDING_LEASE_EXPIRED = "this gateway has lost touch with what binds it to its region"
    OVERLOADED = "no host would answer in time"
    NO_CONFIGURATION = "this gateway knows no configuration yet"
    NOT_RUN = "no try reached a host that would run it"
    MAYBE_RUN = "a try may have run, and the answer was lost"
    DEADLINE_EXCEEDED = "the time that there was for it is over"
    NOT_SENT_IN_TIME = "the time that there was for it is over, and it was not sent"
    BAD_REQUEST = "what was sent cannot be read"
    BAD_CALL = "there is no such call"
    INVALID = "the configuration is invalid"
    CHECK_FAILED = "the check of the configuration failed"
    OTHER_VERSION = "another version is current"
    NO_MAJORITY = "no majority could be reached"
    DISK = "the disk takes no more"
    UNAVAILABLE = "no leader with a majority took the call"
    UNKNOWN_OUTCOME = "the call may have taken effect, or may yet"
    LIMIT_REACHED = "a bound on what is kept would be passed"
    HELD = "another holds the lock, or may hold it"
    NOT_HELD = "the lock is not held under this fence"
    OTHER_REVISION = "the key is at another revision"
    NO_SUCH_KEY = "there is no such key"
    COMPACTED = "the events after this revision are not kept any more"


@unique
class Promise(Enum):
    """What an answer promises about its request."""

    NOTHING = "nothing"
    NOT_RUN = "it has not run and never will"


@frozen
class Answer:
    """HTTP status of a kind of problem, and what it promises."""

    status: int
    promise: Promise = Promise.NOTHING


ANSWERS: dict[Kind, Answer] = {
    Kind.NO_ROUTE: Answer(404),
    Kind.UNAUTHENTICATED: Answer(401),
    Kind.OVER_QUOTA: Answer(429, Promise.NOT_RUN),
    Kind.NO_HOST: Answer(503, Promise.NOT_RUN),
    Kind.OTHER_REGION: Answer(421, Promise.NOT_RUN),
    Kind.BINDING_LEASE_EXPIRED: Answer(503, Promise.NOT_RUN),
    Kind.OVERLOADED: Answer(503, Promise.NOT_RUN),
    Kind.NO_CONFIGURATION: Answer(503, Promise.NOT_RUN),
    Kind.NOT_RUN: Answer(503, Promise.NOT_RUN),
    Kind.MAYBE_RUN: Answer(502),
    Kind.DEADLINE_EXCEEDED: Answer(504),
    Kind.NOT_SENT_IN_TIME: Answer(503, Promise.NOT_RUN),
    Kind.BAD_REQUEST: Answer(400),
    Kind.BAD_CALL: Answer(404),
    Kind.INVALID: Answer(400),
    Kind.CHECK_FAILED: Answer(500),
    Kind.OTHER_VERSION: Answer(412),
    Kind.NO_MAJORITY: Answer(503),
    Kind.DISK: Answer(503),
    Kind.UNAVAILABLE: Answer(503, Promise.NOT_RUN),
    Kind.UNKNOWN_OUTCOME: Answer(504),
    Kind.LIMIT_REACHED: Answer(429, Promise.NOT_RUN),
    Kind.HELD: Answer(409),
    Kind.NOT_HELD: Answer(409),
    Kind.OTHER_REVISION: Answer(412),
    Kind.NO_SUCH_KEY: Answer(404),
    Kind.COMPACTED: Answer(410),
}


@frozen
class Problem:
    """Why something was not done. `retry_after`: for the Retry-After header, in seconds; 0: none."""

    kind: Kind
    reason: str = ""
    retry_after: float = 0.0

    @property
    def status(self) -> int:
        return ANSWERS[self.kind].status

    @property
    def promises_not_run(self) -> bool:
        """Whether the answer promises that the request has not run."""
        return ANSWERS[self.kind].promise is Promise.NOT_RUN
