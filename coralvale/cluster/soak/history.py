"""What happened in a soak: one JSON line an event, written as it happens, in seconds of one steady clock."""

from __future__ import annotations

import time
from collections.abc import Iterator
from pathlib import Path

import msgspec


class Record(msgspec.Struct, frozen=True, omit_defaults=True, tag=True):
    """An event; `at` in seconds of the machine's steady clock."""

    at: float


class Began(Record, frozen=True):
    """The run and the bounds that its gateways were given."""

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
    """What happened to a gateway's process.

    `what`: start, ready, term, kill, stop, cont, hup, disk-full, disk-well, wipe, exit or overdue; `code` is
    the exit code.
    """

    gateway: int
    life: int
    what: str
    core: bool = False
    code: int = 0


class Act(Record, frozen=True):
    """The nemesis begins an act."""

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
    limit: float  # s for which it may be held
    proper: bool = True  # every configuration allows it


class Written(Record, frozen=True):
    """The last byte of a request has been handed to the socket."""

    id: str


class Answered(Record, frozen=True):
    """A whole answer. `echo`: the request id that it names; `own`: its body was made for this request."""

    id: str
    status: int
    echo: str = ""
    own: bool = True


class Closed(Record, frozen=True):
    """The connection ended without a whole answer; `begun`: a part of one had come."""

    id: str
    begun: bool = False


class Left(Record, frozen=True):
    """The client closed the connection before an answer."""

    id: str


class Silent(Record, frozen=True):
    """The client got nothing in long over its time and gave up."""

    id: str


class Ran(Record, frozen=True):
    """A host has begun to run a request. `whole`: method, path and body are as the client sent them."""

    id: str
    host: str
    tenant: str = ""
    whole: bool = True


class Done(Record, frozen=True):
    """A host has written the answer."""

    id: str
    host: str


class Broke(Record, frozen=True):
    """A host ran a request whose answer had nobody to go to: its connection had been closed or reset."""

    id: str
    host: str


class HostState(Record, frozen=True):
    """`what`: up, draining, acknowledged (its leave, by `gateway`), gone or crash."""

    host: str
    service: str
    what: str
    gateway: int = -1


class Link(Record, frozen=True):
    """The relay before a host: reset, silent or well."""

    host: str
    what: str


class Change(Record, frozen=True):
    """An operator begins to send a change. `kind`: good, bad or rival."""

    number: int
    version: int
    base: int
    kind: str
    digest: str
    adds: tuple[str, ...] = ()  # prefixes of paths
    removes: tuple[str, ...] = ()


class ChangeAnswer(Record, frozen=True):
    """The clear answer to a change, or status 0 when the operator gave up without one."""

    number: int
    status: int


class ReadBack(Record, frozen=True):
    """The configuration as read; `sent_at`: when the call was sent."""

    sent_at: float
    version: int
    digest: str
    gateway: int = -1


class Called(Record, frozen=True):
    """A coordination call. `call`: acquire, renew, release, number, put, get or watch."""

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
    """Status 0: no clear answer. `events`: key, value and revision of a watch's puts."""

    number: int
    status: int
    gateway: int = -1
    fence: int = 0
    value: str = ""
    count: int = 0  # a number or a revision
    events: tuple[tuple[str, str, int], ...] = ()


class Sample(Record, frozen=True):
    """A living process as the kernel counts it; `waited`: seconds it has waited for a processor so far."""

    gateway: int
    life: int
    descriptors: int
    memory: int  # KiB
    waited: float
    tasks: int = 0  # of its event loop; 0: it did not say


class Stall(Record, frozen=True):
    """The player's own event loop was late by so many seconds."""

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
    | Done
    | Broke
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
    """A history cannot be read; names the file and the line."""


class Writer:
    """Appends events to a file; each line is handed to the kernel at once."""

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
    return time.monotonic()


def read(path: Path) -> list[Event]:
    """Raises HistoryError."""
    return list(_read(path))


def _read(path: Path) -> Iterator[Event]:
    with path.open("rb") as file:
        for number, line in enumerate(file, 1):
            try:
                yield _decode(line)
            except msgspec.DecodeError as error:
                raise HistoryError(f"{path}:{number}: {error}") from None
