"""The history of a soak run: one JSON line per event, written as it happens.

Times are in seconds of the machine's monotonic clock.
"""

from __future__ import annotations

import time
from collections.abc import Iterator
from pathlib import Path

import msgspec

CONNECTIONS_PER_CLIENT = 1_000_000  # `Sent.connection` is the client's number times this, plus its own count


class Record(msgspec.Struct, frozen=True, omit_defaults=True, tag=True):
    """An event. `at`: seconds of the machine's monotonic clock."""

    at: float


class Began(Record, frozen=True):
    """The start of a run, with the bounds in its gateways' settings."""

    seed: int
    gateways: int
    quotas: dict[str, tuple[float, float]] = {}  # by tenant: requests a second, burst
    contact: float = 3.0  # s
    drain: float = 2.5  # s
    grace: float = 6.0  # s
    apply: float = 2.5  # s
    revert: float = 0.25  # s
    loss: float = 0.2  # s
    quota_window: float = 5.0  # s
    quota_excess: float = 0.1
    quota_slack: float = 20.0
    retain: float = 20.0  # s


class Process(Record, frozen=True):
    """An event of a gateway's process.

    `what`: start, ready, term, kill, stop, cont, hup, disk-full, disk-well, wipe, exit or overdue;
    `life`: how often the gateway was started so far; `code`: the exit code.
    """

    gateway: int
    life: int
    what: str
    core: bool = False
    code: int = 0


class Act(Record, frozen=True):
    """The nemesis has begun an act (injected a fault)."""

    kind: str
    target: str
    series: int = 0


class Sent(Record, frozen=True):
    """A client has begun to write a request."""

    id: str
    gateway: int
    life: int
    connection: int
    path: str
    repeatable: bool
    tenant: str
    limit: float  # s within which it must be answered
    proper: bool = True  # allowed by every version of the configuration


class Written(Record, frozen=True):
    """The last byte of a request has been handed to the socket."""

    id: str


class Answered(Record, frozen=True):
    """A complete answer. `echo`: the request id in its header; `own`: its body belongs to this request."""

    id: str
    status: int
    echo: str = ""
    own: bool = True


class Closed(Record, frozen=True):
    """The connection was closed without a complete answer. `begun`: a part of one had arrived."""

    id: str
    begun: bool = False


class Left(Record, frozen=True):
    """The client closed the connection before it got an answer."""

    id: str


class Silent(Record, frozen=True):
    """The client got no answer until long after the request's limit and gave up."""

    id: str


class Ran(Record, frozen=True):
    """A host has begun to run a request. `whole`: the body is as the client sent it, or is not read yet."""

    id: str
    host: str
    tenant: str = ""
    whole: bool = True


class BodyRead(Record, frozen=True):
    """A host that had run a request at its head has read the body. `whole`: it is as the client sent it."""

    id: str
    host: str
    whole: bool


class Done(Record, frozen=True):
    """A host has written the answer."""

    id: str
    host: str


class Broke(Record, frozen=True):
    """A host ran a request but could not deliver the answer: its connection had been closed or reset."""

    id: str
    host: str


class AnswerLost(Record, frozen=True):
    """A host has run a request and sends no answer: it is not at work any more."""

    id: str
    host: str


class HostState(Record, frozen=True):
    """A host's state. `what`: up, draining, acknowledged (`gateway` confirmed its leave), dark (it answers
    nothing any more), gone or crash."""

    host: str
    service: str
    what: str
    gateway: int = -1


class Link(Record, frozen=True):
    """State of the relay in front of a host. `what`: reset, silent or well."""

    host: str
    what: str


class Change(Record, frozen=True):
    """The operator has begun to send a configuration change. `kind`: good, bad (invalid) or rival (one of two
    concurrent changes)."""

    number: int
    version: int
    base: int
    kind: str
    digest: str
    adds: tuple[str, ...] = ()  # path prefixes
    removes: tuple[str, ...] = ()


class ChangeAnswer(Record, frozen=True):
    """The definite answer to a change; status 0: the operator gave up without one."""

    number: int
    status: int


class ReadBack(Record, frozen=True):
    """A read of the configuration. `sent_at`: when the call was sent, s; `at`: when it was answered."""

    sent_at: float
    version: int
    digest: str
    gateway: int = -1


class Called(Record, frozen=True):
    """A coordination call was sent. `call`: acquire, renew, release, number, put, get or watch."""

    number: int
    call: str
    name: str
    owner: str = ""
    fence: int = 0
    hold: float = 0.0  # s
    value: str = ""
    expected: int | None = None
    after: int = 0


class CallAnswer(Record, frozen=True):
    """The answer to a coordination call. `status`: 0 without a definite answer; `events`: key, value and
    revision of each put that a watch reported."""

    number: int
    status: int
    gateway: int = -1
    fence: int = 0
    value: str = ""
    count: int = 0  # a number or a revision
    events: tuple[tuple[str, str, int], ...] = ()


class Sample(Record, frozen=True):
    """Resources of a running process. `waited`: seconds that it has waited for a CPU so far."""

    gateway: int
    life: int
    descriptors: int
    memory: int  # KiB
    waited: float
    tasks: int = 0  # of its event loop; 0: not reported


class Stall(Record, frozen=True):
    """The soak's own event loop was late by so many seconds."""

    seconds: float


Event = (
    Began
    | Process
    | Act
    | Sent
    | Written
    | Answered
    | Closed
    | Left
    | Silent
    | Ran
    | BodyRead
    | Done
    | Broke
    | AnswerLost
    | HostState
    | Link
    | Change
    | ChangeAnswer
    | ReadBack
    | Called
    | CallAnswer
    | Sample
    | Stall
)

_decode = msgspec.json.Decoder(Event).decode


class HistoryError(ValueError):
    """A history cannot be read. The text names the file and the line."""


class Writer:
    """Appends events to a file, unbuffered: each line is handed to the kernel at once."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.file = path.open("ab", buffering=0)
        self.encoder = msgspec.json.Encoder()
        self.count = 0

    def write(self, event: Event) -> None:
        self.file.write(self.encoder.encode(event) + b"\n")
        self.count += 1

    def close(self) -> None:
        self.file.close()


def now() -> float:
    """Seconds of the machine's monotonic clock."""
    return time.monotonic()


def read(path: Path) -> list[Event]:
    """All events of a history file. Raises HistoryError."""
    return list(_read(path))


def _read(path: Path) -> Iterator[Event]:
    with path.open("rb") as file:
        for number, line in enumerate(file, 1):
            try:
                yield _decode(line)
            except msgspec.DecodeError as error:
                raise HistoryError(f"{path}:{number}: {error}") from None
