"""Packets as bytes: msgpack in a sealed frame, for datagrams and for connections.

  frame    version (1 byte), key's number (1), process (8), counter (8), seal (16), body

`process` is drawn at a process's start, `counter` grows with each frame that it sends. The seal is HMAC-SHA256
(RFC 2104) under the shared key over the cluster's name and all of the frame but the seal, cut to 16 bytes
(section 5). A receiver keeps a window of counters for each process (as RFC 4303, section 3.4.3): a frame comes
through once. One that has just started has no window: what was recorded before may come through to it once more,
and says nothing that incarnations do not put in its place.

The body is an array. What a newer program adds stands at an array's end, and an older one leaves it out; of a
message of a kind that it does not know it takes the gossip alone. Only where that is not enough does `version`
rise, and then the older one goes on being sent to those that do not know the newer.
"""

from __future__ import annotations

import hmac
import struct
from collections import Counter, OrderedDict
from collections.abc import Mapping
from hashlib import sha256
from typing import Annotated

import msgspec
from msgspec import Meta

from coralvale.members.model import (
    OLDEST,
    ROWS,
    WIRE,
    Ack,
    Ask,
    Busy,
    Gossip,
    Grant,
    Grants,
    Hand,
    Hands,
    Member,
    MembersError,
    Message,
    Nack,
    Packet,
    Ping,
    State,
    Sync,
    Update,
    Want,
    Wants,
)

HEAD = struct.Struct("!BB8sQ")
SEAL = 16  # bytes
DATAGRAM = 1400  # bytes of a datagram, at most
WHOLE = 1024 * 1024  # bytes of a frame on a connection, at most: 4,000 members at 240
LAST = 10  # kind of message that is known here
WINDOW = 1024  # counters behind the highest that may still come, out of order
PROCESSES = 4096  # windows kept; past it the one that has been silent longest is dropped

Text = Annotated[str, Meta(min_length=1, max_length=64)]
Host = Annotated[str, Meta(min_length=1, max_length=64)]
Port = Annotated[int, Meta(ge=1, le=65535)]
Number = Annotated[int, Meta(ge=0, le=(1 << 63) - 1)]


class _Member(msgspec.Struct, frozen=True, array_like=True):
    name: Text
    host: Host
    port: Port
    zone: Annotated[int, Meta(ge=0, le=65535)] = 0
    weight: Annotated[float, Meta(gt=0, le=1e6)] = 1.0
    wire: Annotated[int, Meta(ge=0, le=255)] = 1


class _Update(msgspec.Struct, frozen=True, array_like=True):
    state: Annotated[int, Meta(ge=0, le=3)]
    member: _Member
    incarnation: Number
    by: Annotated[str, Meta(max_length=64)] = ""


class _Ping(msgspec.Struct, frozen=True, array_like=True, tag=1):
    number: Number
    to: Text


class _Ack(msgspec.Struct, frozen=True, array_like=True, tag=2):
    number: Number


class _Nack(msgspec.Struct, frozen=True, array_like=True, tag=3):
    number: Number


class _Ask(msgspec.Struct, frozen=True, array_like=True, tag=4):
    number: Number
    to: Text
    host: Host
    port: Port


class _Sync(msgspec.Struct, frozen=True, array_like=True, tag=5):
    number: Number
    updates: Annotated[list[_Update], Meta(max_length=10_000)]
    answer: bool


class _Busy(msgspec.Struct, frozen=True, array_like=True, tag=6):
    number: Number
    others: Annotated[list[tuple[Host, Port]], Meta(max_length=16)]


class _Gossip(msgspec.Struct, frozen=True, array_like=True, tag=7):
    pass


Amount = Annotated[float, Meta(ge=0, le=1e12)]
Key = Annotated[int, Meta(ge=0)]


class _Want(msgspec.Struct, frozen=True, array_like=True):
    key: Key
    plan: Annotated[int, Meta(ge=0, le=65535)]
    units: Amount
    least: Amount = 1.0
    lease: Number = 0
    back: Amount = 0.0


class _Grant(msgspec.Struct, frozen=True, array_like=True):
    key: Key
    lease: Number
    units: Amount
    wait: Amount = 0.0
    moved: bool = False


class _Hand(msgspec.Struct, frozen=True, array_like=True):
    key: Key
    plan: Annotated[int, Meta(ge=0, le=65535)]
    fill: Amount


class _Wants(msgspec.Struct, frozen=True, array_like=True, tag=8):
    rows: Annotated[list[_Want], Meta(max_length=ROWS)]


class _Grants(msgspec.Struct, frozen=True, array_like=True, tag=9):
    rows: Annotated[list[_Grant], Meta(max_length=ROWS)]


class _Hands(msgspec.Struct, frozen=True, array_like=True, tag=10):
    rows: Annotated[list[_Hand], Meta(max_length=ROWS)]


_Message = _Ping | _Ack | _Nack | _Ask | _Sync | _Busy | _Gossip | _Wants | _Grants | _Hands


class _Body(msgspec.Struct, frozen=True, array_like=True):
    sender: Text
    message: _Message
    gossip: Annotated[list[_Update], Meta(max_length=64)] = []


class _Rest(msgspec.Struct, frozen=True, array_like=True):
    """A body whose message is of a kind that is not known here; its gossip is."""

    sender: Text
    message: msgspec.Raw
    gossip: Annotated[list[_Update], Meta(max_length=64)] = []


_ENCODER = msgspec.msgpack.Encoder()
_BODY = msgspec.msgpack.Decoder(_Body)
_REST = msgspec.msgpack.Decoder(_Rest)


def _out(update: Update) -> _Update:
    m = update.member
    member = _Member(m.name, m.address[0], m.address[1], m.zone, m.weight, m.wire)
    return _Update(int(update.state), member, update.incarnation, update.by)


def _in(update: _Update) -> Update:
    m = update.member
    member = Member(m.name, (m.host, m.port), m.zone, m.weight, m.wire)
    return Update(State(update.state), member, update.incarnation, update.by)


def body(packet: Packet) -> bytes:
    """A packet in msgpack. Raises MembersError for one that does not fit the bounds of the wire."""
    said = packet.message
    message: _Message
    if isinstance(said, Ping):
        message = _Ping(said.number, said.to)
    elif isinstance(said, Ack):
        message = _Ack(said.number)
    elif isinstance(said, Nack):
        message = _Nack(said.number)
    elif isinstance(said, Ask):
        message = _Ask(said.number, said.to, *said.address)
    elif isinstance(said, Sync):
        message = _Sync(said.number, [_out(u) for u in said.updates], said.answer)
    elif isinstance(said, Busy):
        message = _Busy(said.number, list(said.others))
    elif isinstance(said, Wants):
        message = _Wants([_Want(w.key, w.plan, w.units, w.least, w.lease, w.back) for w in said.rows])
    elif isinstance(said, Grants):
        message = _Grants([_Grant(g.key, g.lease, g.units, g.wait, g.moved) for g in said.rows])
    elif isinstance(said, Hands):
        message = _Hands([_Hand(h.key, h.plan, h.fill) for h in said.rows])
    else:
        message = _Gossip()
    return _ENCODER.encode(_Body(packet.sender, message, [_out(u) for u in packet.gossip]))


def read(data: bytes) -> Packet:
    """A packet from its body. Raises ValueError for what is not one; a message of an unknown kind is Gossip."""
    try:
        told = _BODY.decode(data)
    except msgspec.ValidationError as error:
        rest = _REST.decode(data)  # raises for what is not of this form at all
        kind = msgspec.msgpack.decode(rest.message)
        if not (isinstance(kind, list) and kind and isinstance(kind[0], int) and kind[0] > LAST):
            raise ValueError(str(error)) from None
        return Packet(rest.sender, Gossip(), tuple(_in(u) for u in rest.gossip))
    except msgspec.DecodeError as error:
        raise ValueError(str(error)) from None
    said = told.message
    message: Message
    if isinstance(said, _Ping):
        message = Ping(said.number, said.to)
    elif isinstance(said, _Ack):
        message = Ack(said.number)
    elif isinstance(said, _Nack):
        message = Nack(said.number)
    elif isinstance(said, _Ask):
        message = Ask(said.number, said.to, (said.host, said.port))
    elif isinstance(said, _Sync):
        message = Sync(said.number, tuple(_in(u) for u in said.updates), said.answer)
    elif isinstance(said, _Busy):
        message = Busy(said.number, tuple(said.others))
    elif isinstance(said, _Wants):
        message = Wants(tuple(Want(w.key, w.plan, w.units, w.least, w.lease, w.back) for w in said.rows))
    elif isinstance(said, _Grants):
        message = Grants(tuple(Grant(g.key, g.lease, g.units, g.wait, g.moved) for g in said.rows))
    elif isinstance(said, _Hands):
        message = Hands(tuple(Hand(h.key, h.plan, h.fill) for h in said.rows))
    else:
        message = Gossip()
    return Packet(told.sender, message, tuple(_in(u) for u in told.gossip))


class Window:
    """Counters of one process that have come: the highest, and which of those behind it."""

    __slots__ = ("bits", "highest")

    def __init__(self) -> None:
        self.highest, self.bits = -1, 0

    def take(self, counter: int) -> bool:
        """Whether it comes for the first time."""
        if counter > self.highest:
            ahead = counter - self.highest
            self.bits = ((self.bits << ahead) | 1) & ((1 << WINDOW) - 1) if ahead < WINDOW else 1
            self.highest = counter
            return True
        behind = self.highest - counter
        if behind >= WINDOW or self.bits >> behind & 1:
            return False
        self.bits |= 1 << behind
        return True


class Sealer:
    """Seals what goes and opens what comes. `keys` are by number; frames go under `first`, and open under any.

    So a key is changed without a restart in three steps: the new one is added everywhere, then made `first`
    everywhere, then the old one is taken out.
    """

    def __init__(self, cluster: str, keys: Mapping[int, bytes], first: int, process: bytes) -> None:
        if not keys:
            raise MembersError("keys: expected at least one")
        self.cluster, self.process, self.counter = cluster.encode(), process, 0
        self.windows: OrderedDict[bytes, Window] = OrderedDict()
        self.refused: Counter[str] = Counter()
        self.rekey(keys, first)

    def rekey(self, keys: Mapping[int, bytes], first: int) -> None:
        """Other keys from now on. Raises MembersError for ones that cannot be used; the old ones stay then."""
        for number, key in keys.items():
            if not 0 <= number <= 255:
                raise MembersError(f"keys: number {number}, expected 0 to 255")
            if len(key) < 16:
                raise MembersError(f"keys: key {number} has {len(key)} bytes, expected 16 or more")
        if first not in keys:
            raise MembersError(
                f"first: {first} is no key; expected one of {', '.join(map(str, sorted(keys)))}"
            )
        self.keys, self.first = dict(keys), first

    def _mark(self, key: bytes, head: bytes, data: bytes) -> bytes:
        return hmac.digest(key, self.cluster + b"\0" + head + data, sha256)[:SEAL]

    def seal(self, packet: Packet, most: int = DATAGRAM) -> bytes:
        """A frame. Raises MembersError for one over `most` bytes."""
        data = body(packet)
        if HEAD.size + SEAL + len(data) > most:
            raise MembersError(f"a frame of {HEAD.size + SEAL + len(data)} bytes, expected at most {most}")
        self.counter += 1
        head = HEAD.pack(WIRE, self.first, self.process, self.counter)
        return head + self._mark(self.keys[self.first], head, data) + data

    def open(self, frame: bytes, most: int = DATAGRAM) -> Packet | None:
        """The packet of a frame; None for one that is refused, with the reason in `refused`."""
        why = ""
        if not HEAD.size + SEAL < len(frame) <= most:
            why = "size"
        else:
            head, seal, data = (
                frame[: HEAD.size],
                frame[HEAD.size : HEAD.size + SEAL],
                frame[HEAD.size + SEAL :],
            )
            version, number, process, counter = HEAD.unpack(head)
            key = self.keys.get(number)
            if key is None or not hmac.compare_digest(seal, self._mark(key, head, data)):
                why = "key or cluster"
            elif not OLDEST <= version <= WIRE:
                why = "version"
            elif process == self.process or not self._window(process).take(counter):
                why = "seen before"
            else:
                try:
                    return read(data)
                except (ValueError, RecursionError):
                    why = "form"
        self.refused[why] += 1
        return None

    def _window(self, process: bytes) -> Window:
        if (window := self.windows.get(process)) is None:
            window = self.windows[process] = Window()
            if len(self.windows) > PROCESSES:
                self.windows.popitem(last=False)
        self.windows.move_to_end(process)
        return window
