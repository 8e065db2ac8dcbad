"""Types of membership: members, what is said of them, the messages between them, settings and events.

Times are seconds of a clock that never steps back. An incarnation is a member's own count of how often it has had
to say that it lives (SWIM, Das, Gupta, Motivala 2002, section 4.2); it only grows.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

Address = tuple[str, int]
WIRE = 1  # version of the wire that this program speaks
OLDEST = 1  # the oldest that it understands


class MembersError(ValueError):
    """What was asked for cannot be done; one line that names the place."""


class State(IntEnum):
    ALIVE = 0
    SUSPECT = 1  # did not answer; still counted as there
    DEAD = 2
    LEFT = 3  # went of its own will


GONE = (State.DEAD, State.LEFT)


@dataclass(frozen=True, slots=True)
class Member:
    """Who a member is, as it says itself. `weight` is its capacity beside the others'."""

    name: str
    address: Address
    zone: int = 0
    weight: float = 1.0
    wire: int = WIRE  # the newest version that it understands


@dataclass(frozen=True, slots=True)
class Update:
    """What is said of a member; `by` is who says it first, for suspicion and death."""

    state: State
    member: Member
    incarnation: int
    by: str = ""

    def size(self) -> int:
        """Bytes that it takes in a datagram, at most."""
        return 48 + len(self.member.name) + len(self.member.address[0]) + len(self.by)


# Messages. `number` pairs a question with its answer.


@dataclass(frozen=True, slots=True)
class Ping:
    number: int
    to: str  # who is meant: another process at an old address must not answer for it


@dataclass(frozen=True, slots=True)
class Ack:
    number: int


@dataclass(frozen=True, slots=True)
class Nack:
    """The one asked to probe has had no answer yet: it lives, and can be reached (Lifeguard, section III.A)."""

    number: int


@dataclass(frozen=True, slots=True)
class Ask:
    """Please probe this one for me (SWIM's ping-req)."""

    number: int
    to: str
    address: Address


@dataclass(frozen=True, slots=True)
class Sync:
    """All that the sender knows. Goes by a connection: it does not fit a datagram."""

    number: int
    updates: tuple[Update, ...]
    answer: bool  # this is the answer to one


@dataclass(frozen=True, slots=True)
class Busy:
    """No answer to a Sync now; others that may be asked."""

    number: int
    others: tuple[Address, ...]


@dataclass(frozen=True, slots=True)
class Gossip:
    """Nothing but what a packet carries along."""


# Units lent by owners (`owned.py`).


@dataclass(frozen=True, slots=True)
class Want:
    """What a gateway asks of an owner for one customer."""

    key: int
    plan: int  # its number in the settings that all have
    units: float  # wished for; 0: only something comes back
    least: float = 1.0  # that is of any use
    lease: int = 0  # the one that has ended
    back: float = 0.0  # units of it that were not spent


@dataclass(frozen=True, slots=True)
class Grant:
    """The owner's answer."""

    key: int
    lease: int
    units: float  # 0: no room
    wait: float = 0.0  # s until there may be room, where there is none
    moved: bool = False  # it is not the owner


@dataclass(frozen=True, slots=True)
class Hand:
    """A bucket that goes to its new owner."""

    key: int
    plan: int
    fill: float


ROWS = 20  # of one packet about units that are lent: what fits a datagram


@dataclass(frozen=True, slots=True)
class Wants:
    rows: tuple[Want, ...]


@dataclass(frozen=True, slots=True)
class Grants:
    rows: tuple[Grant, ...]


@dataclass(frozen=True, slots=True)
class Hands:
    rows: tuple[Hand, ...]


Message = Ping | Ack | Nack | Ask | Sync | Busy | Gossip | Wants | Grants | Hands


@dataclass(frozen=True, slots=True)
class Packet:
    """A message, who sends it, and what is said of others along with it."""

    sender: str
    message: Message
    gossip: tuple[Update, ...] = ()


@dataclass(frozen=True, slots=True)
class Send:
    """To be sent: by a datagram, or by a connection where it is `whole`."""

    to: Address
    packet: Packet
    whole: bool = False


# Events


@dataclass(frozen=True, slots=True)
class Changed:
    """What is known of a member is now `update`; `before` is its state until then, None for one that is new."""

    update: Update
    before: State | None


@dataclass(frozen=True, slots=True)
class Refuted:
    """Others said that this member does not live; it has said that it does."""

    said: State
    by: str


@dataclass(frozen=True, slots=True)
class Taken:
    """Another process at `address` says that it is this member."""

    address: Address


@dataclass(frozen=True, slots=True)
class Stalled:
    """This process did not run for so many seconds."""

    seconds: float


Event = Changed | Refuted | Taken | Stalled


@dataclass(frozen=True, slots=True)
class Settings:
    """How members watch one another. All members of a cluster have the same.

    Datagrams that one member sends in a second are at most

      (1 + indirect) / period + 1 / gossip_every x fanout, and an answer to each that it gets

    whatever happens: gossip waits for a tick, and each packet carries `gossip_bytes` of it at most.
    """

    period: float = 0.4  # s between probes
    timeout: float = 0.1  # s until others are asked to probe
    indirect: int = 3  # others that are asked
    gossip_every: float = 0.1  # s between packets of gossip alone, while there is any
    fanout: int = 2  # members that such a packet goes to
    spread: float = 4.0  # times log10 of the members that each update is sent
    suspicion: float = 3.0  # periods, times log10 of the members, until a suspect is dead if many suspect it
    patience: float = 3.0  # times as long if one alone does
    confirmations: int = 3  # others whose suspicion makes it as short as it gets
    health_most: int = (
        8  # times slower, at most, that one probes that fails to hear (Lifeguard, section III.A)
    )
    sync_every: float = 10.0  # s between exchanges of all that is known
    rejoin: float = 1.0  # s between tries, of all on a side together, to reach one that is gone
    syncs_per_s: float = 20.0  # that one answers; past it others are named
    forget: float = 300.0  # s for which the dead are remembered, and tried again
    gossip_bytes: int = 1000  # of updates in a packet
    most: int = 2000  # members known at once, the dead as well; further ones are counted and left out

    def __post_init__(self) -> None:
        for name in (
            "period",
            "timeout",
            "gossip_every",
            "spread",
            "suspicion",
            "sync_every",
            "rejoin",
            "syncs_per_s",
            "forget",
        ):
            if not getattr(self, name) > 0:
                raise MembersError(f"{name}: {getattr(self, name)!r}, expected more than 0")
        for name in ("indirect", "fanout", "confirmations", "health_most"):
            if getattr(self, name) < 0:
                raise MembersError(f"{name}: {getattr(self, name)!r}, expected 0 or more")
        if self.timeout * 2 >= self.period:
            raise MembersError(
                f"timeout: {self.timeout!r}, expected less than half of period ({self.period!r})"
            )
        if self.patience < 1:
            raise MembersError(f"patience: {self.patience!r}, expected 1 or more")
        if self.gossip_bytes < 400:
            raise MembersError(f"gossip_bytes: {self.gossip_bytes!r}, expected 400 or more")
        if self.most < 2:
            raise MembersError(f"most: {self.most!r}, expected 2 or more")
