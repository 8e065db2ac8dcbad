"""Types of the decision module: its settings, the events that it takes and the actions that it returns.

Times are seconds on the caller's clock, delays are seconds. Nothing in this file decides anything; `Settings`
only refuses invalid values, by an error that names the setting.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol


class SettingsError(ValueError):
    """A setting is missing or invalid; the message names it."""


class Repeat(Enum):
    """Whether a request of a class may run more than once."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Group(Enum):
    """Which servers deduplicate a keyed request among themselves: all, those of a zone, or of a cell."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class ServerState(Enum):
    """State of a server on the list; only healthy ones get new requests."""

    HEALTHY = "healthy"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """What a server list event holds: changes, the full list, the list as last seen, or a failed call."""

    CHANGES = "changes"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"


class Outcome(Enum):
    """How an attempt ended, as the gateway saw it. After FULL, CONNECT_FAILED and NOT_SENT it has not run."""

    OK = "ok"  # the server answered
    ERROR = "error"  # an error, or no whole answer; the request may have run
    FULL = "full"  # the server answered that it did not run the request
    TIMEOUT = "timeout"  # no answer until the attempt's deadline; the request may have run
    CONNECT_FAILED = "connect_failed"  # no connection, so nothing was sent
    RESET = "reset"  # the connection broke; the request may have run
    CANCELLED = "cancelled"  # by the gateway; the request may have run
    NOT_SENT = "not_sent"  # nothing was sent, or too little of the request for it to run


class Verdict(Enum):
    """An authoriser's verdict on a request, or that none came in time."""

    ALLOWED = "allowed"
    DENIED = "denied"
    NO_ANSWER = "no_answer"


class ReportVia(Enum):
    """How servers report their load: with their answers, when probed, or not at all."""

    ANSWERS = "answers"
    PROBE = "probe"
    NONE = "none"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """Requests of one kind, with the time that an answer may take."""

    name: str
    aim: float  # s in which an answer is to come
    give_up: float  # s after which the client gives up
    worth: float  # of a unit answered within the aim, relative to other classes; no decision uses it
    repeat: Repeat
    group: Group = Group.ALL
    key_window: float = 0.0  # s for which servers deduplicate a key
    streamed: bool = False
    late_worth: float = 0.0  # of an answer after the aim; if above 0, retries go on until the request expires


@dataclass(frozen=True, slots=True)
class Plan:
    """Limits of a customer on this plan, over all gateways. A rate or limit of 0 means none.

    Rates are units per second, bursts are units.
    """

    name: str
    rate: float
    burst: float
    open_limit: float = 0.0  # attempts in flight
    price: float = 1.0  # worth of a unit within the quota, as a factor on its class's worth
    excess_worth: float = 0.0  # gained by a unit beyond the quota, in multiples of its worth
    excess_cost: float = 0.0  # lost by a unit beyond the quota, in multiples of its worth
    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0
    ceiling_slack: float = 0.0  # units by which the ceiling may be exceeded; no decision uses it


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings of one gateway, checked when they are made."""

    gateways: int  # number of them
    zone: int  # of this gateway
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    drain_grace: float  # s after a drain notice in which new requests may still go to the server
    cold_share: float  # of its capacity that a server has at its start
    warm_after: float  # s after its start at which a server has its full capacity
    # A cold server may be sent this many times what it can do within `fall_window`; no decision uses them.
    fall_multiple: float
    fall_window: float  # s
    max_attempts: int  # of one request, the first included
    answer_slack: float = 0.0  # s; no decision uses it
    second_copies: bool = False  # no decision uses it
    may_cancel: bool = False  # an attempt that nobody waits for may be cancelled
    may_probe: bool = False  # no decision uses it
    may_count: bool = False  # requests may be counted on the shared counter
    counter_timeout: float = 0.0  # s
    meter_period: float = 0.0  # s; no decision uses it
    settles_after: bool = False  # the true units of a request are known, and charged, after its attempt
    ask_for_list: bool = False  # changes of the server list are delivered only after `FollowList`
    ask_within: float = 0.0  # s; no decision uses it
    report_via: ReportVia = ReportVia.NONE  # no decision uses it
    report_fields: tuple[str, ...] = ()  # names of the values in `report` of an event
    advice: bool = True  # whether refusals say when to retry
    max_advice: float = 0.0  # s; longest time until a retry that a refusal gives
    most_units: float = math.inf  # of one request
    me: int = 0  # this gateway's number, from 0

    def __post_init__(self) -> None:
        _require("gateways", self.gateways, 1)
        _require("max_attempts", self.max_attempts, 1)
        _require("cold_share", self.cold_share, 0.0, 1.0)
        for name in ("drain_grace", "warm_after", "fall_multiple", "fall_window", "answer_slack"):
            _require(name, getattr(self, name), 0.0)
        for name in ("counter_timeout", "meter_period", "ask_within", "max_advice"):
            _require(name, getattr(self, name), 0.0)
        if not self.classes:
            raise SettingsError("classes: at least one is needed")
        if not self.plans:
            raise SettingsError("plans: at least one is needed")
        for i, c in enumerate(self.classes):
            if c.aim <= 0 or c.aim > c.give_up:
                raise SettingsError(f"classes[{i}].aim: {c.aim} is not within 0 and give_up {c.give_up}")
            for name in ("aim", "give_up", "worth", "key_window", "late_worth"):
                _require(f"classes[{i}].{name}", getattr(c, name), 0.0)
        for i, p in enumerate(self.plans):
            for name in ("rate", "burst", "open_limit", "price", "excess_worth", "excess_cost"):
                _require(f"plans[{i}].{name}", getattr(p, name), 0.0)
            for name in ("ceiling_rate", "ceiling_burst", "ceiling_slack"):
                _require(f"plans[{i}].{name}", getattr(p, name), 0.0)
            if p.rate > 0 and p.burst <= 0:
                raise SettingsError(f"plans[{i}].burst: a rate needs a burst above 0")
            if p.ceiling_rate > 0 and p.ceiling_burst <= 0:
                raise SettingsError(f"plans[{i}].ceiling_burst: a ceiling needs a burst above 0")

    def check(self, request: Request, terms: Terms | None = None) -> None:
        """Raises ValueError, with the name of what is unknown, for a request of an unknown class or plan."""
        plans = len(terms.names if terms else self.plans)
        for kind, value, known in (("class", request.cls, len(self.classes)), ("plan", request.plan, plans)):
            if not 0 <= value < known:
                raise ValueError(f"request {request.id}: unknown {kind} {value}")


def _require(name: str, value: float, low: float, high: float = math.inf) -> None:
    if not (math.isfinite(value) and low <= value <= high):
        raise SettingsError(f"{name}: {value} is not between {low} and {high}")


# Events


@dataclass(frozen=True, slots=True)
class Server:
    """An entry of the server list."""

    id: str
    state: ServerState
    scale: float = 1.0
    zone: int = 0
    cell: int = 0
    kind: int = 0
    started_at: float = 0.0


@dataclass(frozen=True, slots=True)
class ServerList:
    """News of the server list, as `kind` says."""

    kind: ListKind
    servers: tuple[Server, ...] = ()


@dataclass(frozen=True, slots=True)
class Maintained:
    """An operator takes a server out or gives it back. While out it gets nothing new, whatever a list says.

    A server given back counts as restarted at that moment, unless a list says when it did.
    """

    server: str
    out: bool


@dataclass(frozen=True, slots=True)
class Request:
    """A client's request. Deadlines are absolute times."""

    id: str
    cls: int
    plan: int
    customer: int
    entry_gateways: int  # size of the set of gateways that the customer uses
    expires_at: float
    units: float = 1.0
    first: int = 0  # number of the first gateway of the customer's set
    check: bool = False  # an authoriser has to allow it before it is sent
    retried: bool = False  # its client says that it is a retry


@dataclass(frozen=True, slots=True)
class StreamStarted:
    """The start of a streamed answer has arrived; `usage` as in `AttemptDone`."""

    request: str
    attempt: int
    delay: float
    usage: float | None = None


@dataclass(frozen=True, slots=True)
class AttemptDone:
    """An attempt has ended. `delay` is in seconds; `finished` means that the request needs no more answer.

    `usage` is the customer's metered use as a fraction of its rate, or None; `units` the true units.
    `broke`: an established connection broke; RESET and CONNECT_FAILED alone don't tell that from a server
    that accepts none. `alone` is false where another attempt's end reports the same broken connection.
    """

    request: str
    attempt: int
    outcome: Outcome
    delay: float
    finished: bool
    usage: float | None = None
    units: float | None = None
    report: tuple[float, ...] = ()
    broke: bool = False
    alone: bool = True


@dataclass(frozen=True, slots=True)
class Abandoned:
    """The client of a request has left."""

    request: str


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer that `SetTimer` set is due."""

    token: int


@dataclass(frozen=True, slots=True)
class ProbeDone:
    """The result of a `Probe`."""

    server: str
    outcome: Outcome
    delay: float
    report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class CounterReply:
    """The one reply to a `Count`: the total after it, or `ok` false if there is none."""

    name: int | str
    ok: bool
    total: float
    maybe_added: bool = False  # without a total: whether the amount may have been added


@dataclass(frozen=True, slots=True)
class Checked:
    """The one answer to a `Check`."""

    request: str
    verdict: Verdict


@dataclass(frozen=True, slots=True)
class Handed:
    """Another proxy makes the newest attempt: it is in flight for its customer, not at the picked server."""

    request: str


Event = (
    ServerList
    | Request
    | StreamStarted
    | AttemptDone
    | Abandoned
    | TimerFired
    | ProbeDone
    | CounterReply
    | Checked
    | Handed
    | Maintained
)


# Actions


@dataclass(frozen=True, slots=True)
class Send:
    """Send a request to a server; `until` is when the attempt times out."""

    request: str
    server: str
    until: float


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel an attempt."""

    request: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Refuse a request. `advice`: seconds until a retry; `reason`: for logs, never for the client."""

    request: str
    advice: float = 0.0
    reason: str = field(default="", compare=False)


@dataclass(frozen=True, slots=True)
class Fail:
    """Answer with an error: the request may have run, and must not be retried."""

    request: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Send `TimerFired` with `token` in `delay` seconds."""

    token: int
    delay: float


@dataclass(frozen=True, slots=True)
class Probe:
    """Ask a server for its load."""

    server: str


@dataclass(frozen=True, slots=True)
class Count:
    """Add `amount` to a number on the counter, which keeps it for `lifetime` seconds from its first call.

    `patient`: nobody waits for the reply, so that it may take longer than `Settings.counter_timeout`.
    """

    name: int
    amount: float
    lifetime: float
    patient: bool = False


@dataclass(frozen=True, slots=True)
class Check:
    """Ask the authoriser of a request, whose units are reserved until its verdict."""

    request: str


@dataclass(frozen=True, slots=True)
class Deny:
    """Answer with what the authoriser said."""

    request: str


@dataclass(frozen=True, slots=True)
class FollowList:
    """Ask the list service to deliver changes from now on."""


@dataclass(frozen=True, slots=True)
class FetchList:
    """Ask the list service for the whole list once."""


@dataclass(frozen=True, slots=True)
class Log:
    """Write a line to the log."""

    text: str


Action = (
    Send | Cancel | Refuse | Fail | SetTimer | Probe | Count | Check | Deny | FollowList | FetchList | Log
)


# Ceilings and quotas that are shared with other gateways


class Allowance(Protocol):
    """A subsystem that shares a customer's ceiling (or quota) among its gateways."""

    def wait(self, now: float, request: Request, plan: Plan, quota: bool) -> float | None:
        """Seconds until there is room for the request, 0 if there is now; None: the gateway is to decide."""

    def charge(self, request: Request, plan: Plan) -> None:
        """Charges a request that is sent, after `wait` returned 0 at the same moment."""

    def refund(self, request: Request, plan: Plan) -> None:
        """Refunds a request that was charged and not sent."""

    def due(self, now: float) -> list[Action]:
        """Calls to the counter and log lines that are due now."""

    def reply(self, now: float, event: CounterReply) -> list[Action]:
        """Takes the reply to one of its calls; returns further calls that it leads to."""


# Plans that change at run time


class Terms(Protocol):
    """A subsystem that knows which plan is in force for a customer."""

    names: list[str]  # of plans, by the number that requests give; those of the settings come first

    def plan(self, now: float, customer: int, named: int) -> Plan:
        """The plan in force for a customer whose request names a plan; equal plans are the same object."""
