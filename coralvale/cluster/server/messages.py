"""What gateways say to each other: msgspec structs as msgpack, framed by their length on connections.

A struct is an array on the wire; a newer program adds fields at the end, with defaults, and an older one
passes them over. A message of a kind that is not known is passed over as well.
"""

from __future__ import annotations

import struct
from collections.abc import Mapping
from socket import inet_aton, inet_ntoa
from zlib import crc32

import msgspec

from coralvale.cluster.configuration.history import Change, ConfigurationUpdate
from coralvale.cluster.consensus.messages import Member, Message
from coralvale.cluster.coordination.model import Call as CoordinationRequest
from coralvale.cluster.host_health.watch import HealthRow as Row_
from coralvale.cluster.host_health.watch import ZoneHealthRow
from coralvale.cluster.rate_limit.usage import TenantUsage
from coralvale.cluster.registry.register import Row
from coralvale.cluster.reports.model import Report

FRAME = struct.Struct("!I")
MOST = 96 * 1024 * 1024  # bytes of a frame
MOST_USE = 160  # tenants in one word: what fits a datagram beside the rest
MOST_HEALTH_ROWS = 24  # lives in one word
MOST_OUT = 250  # copies in one word of what is out: what fits a datagram
MOST_HEALTH_SUMS = 64  # lives in one report of a zone
MOST_BEATS = 48  # in one part of a zone's report: what fits a datagram beside its gateways
MOST_ADDRESSES = 128  # gateways in one part of a zone's report


class ConsensusMessage(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Between replicas of the log of changes. Nothing answers it but another one. `to`: the disk that it is meant
    for, "" for whichever is at the address."""

    message: Message
    to: str = ""


class Gossip(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """A packet of membership that is too long for a datagram."""

    packet: bytes


class Ask(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """For news of the configuration: answered at once if there is any, else when there is, or after a
    while."""

    number: int
    version: int


class Told(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """`lost`: the one that was asked is cut off from the core and has no news; another may know more. `sure`: it
    hears the core, so that what it says is what is in force."""

    number: int
    news: ConfigurationUpdate | None = None
    lost: bool = False
    sure: bool = True


class Call(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """An operator's change, or (None) a reading of the newest configuration, passed on to the leader."""

    number: int
    change: Change | None = None


class Reply(msgspec.Struct, frozen=True, array_like=True, tag=6):
    number: int
    status: int
    body: bytes = b""
    reason: str = ""


class Rows(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Lives of hosts."""

    number: int
    rows: list[Row]


class Noted(msgspec.Struct, frozen=True, array_like=True, tag=8):
    number: int


class Pull(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """For lives of hosts; answered by `Rows`: of the parts whose digests are others than these, all without
    them."""

    number: int
    parts: tuple[int, ...] = ()


class Nominate(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """Who is to found the core? Asked of one gateway, that names the first that asks."""

    number: int
    member: Member


class Nominee(msgspec.Struct, frozen=True, array_like=True, tag=11):
    number: int
    id: str


class ClaimShares(msgspec.Struct, frozen=True, array_like=True, tag=12):
    """To the leader: which table of shares a gateway follows. `left`: it ends, and uses no share any more.
    `address`: the gateway's, where another passes its claim on."""

    number: int
    version: int
    left: bool = False
    address: str = ""


class Shares(msgspec.Struct, frozen=True, array_like=True, tag=13):
    """`settled`: False where the one that was asked cannot answer. `table`: empty where there is no newer one.
    `age`: s, at least, for which the gateway has owned all that it owns by it. `allowed`: its process may begin
    with the quotas' allowance."""

    number: int
    settled: bool
    table: bytes = b""
    age: float = 0.0
    allowed: bool = False


class Coordinate(msgspec.Struct, frozen=True, array_like=True, tag=14):
    """An application's call, passed on to the leader."""

    number: int
    call: CoordinationRequest


Parcel = (
    ConsensusMessage
    | Gossip
    | Ask
    | Told
    | Call
    | Reply
    | Rows
    | Noted
    | Pull
    | Nominate
    | Nominee
    | ClaimShares
    | Shares
    | Coordinate
)
Answer = Told | Reply | Rows | Noted | Nominee | Shares


class Word(msgspec.Struct, frozen=True, array_like=True):
    """What each gateway tells all others every half second, in a datagram."""

    version: int  # of the configuration
    digest: int  # of the register of hosts
    view: int = 0
    leader: str = ""  # its address
    core: tuple[str, ...] = ()  # addresses of the members of the view; now and then, they seldom change
    use: bytes = b""  # of tenants' quotas: `pack_use`
    whole: bool = True  # it tells of all tenants; else of those of whom there is news
    beats: list[tuple[str, int]] = []
    health: bytes = b""  # of lives of which something ill came: `pack_health`
    out: bytes | None = (
        None  # in a large fleet without carriers, what is out at copies: `pack_out`; else it has own words
    )
    carries: bool = False  # it brings words to all in its zone
    region: str = ""  # that its settings name; in whole words
    life: int = 0  # of its process; told by earlier versions
    ended: bytes = b""  # what ended processes let through; told by earlier versions
    shares: int = 0  # version of the table of shares that it follows


encode = msgspec.msgpack.Encoder().encode
decode_parcel = msgspec.msgpack.Decoder(Parcel).decode
decode_rows = msgspec.msgpack.Decoder(Rows).decode
decode_word = msgspec.msgpack.Decoder(Word).decode
decode_report = msgspec.msgpack.Decoder(Report).decode


OUT = struct.Struct("!IB")
USE = struct.Struct("!IHB")
HEALTH = struct.Struct("!IBB")
USE_SUM = struct.Struct("!IHH")
HEALTH_SUM = struct.Struct("!IHHHH")


def pack_out(out: list[tuple[int, int]]) -> bytes:
    """What a gateway has out at copies: five bytes each."""
    return b"".join([OUT.pack(number, min(255, count)) for number, count in out[:MOST_OUT]])


def pack_use(use: TenantUsage) -> bytes:
    """Tenants by what stands for their names: seven bytes each."""
    rows = [USE.pack(crc32(n.encode()), min(65535, w), min(255, p)) for n, (w, p) in use.items()]
    return b"".join(rows[:MOST_USE])


def unpack_use(data: bytes, names: Mapping[int, str]) -> TenantUsage:
    """`names`: of the tenants that are known, by what stands for them. Raises struct.error for no such
    word."""
    return {names[mark]: (w, p) for mark, w, p in USE.iter_unpack(data) if mark in names}


def pack_health(rows: list[Row_]) -> bytes:
    """Lives by what stands for them, what was well and ill: six bytes each, the most ill first."""
    rows = sorted(rows, key=lambda row: -row[2])[:MOST_HEALTH_ROWS]
    return b"".join([HEALTH.pack(m, min(255, w), min(255, i)) for m, w, i in rows])


def unpack_health(data: bytes) -> list[Row_]:
    """Raises struct.error for what is no such word."""
    return list(HEALTH.iter_unpack(data))


def pack_addresses(ips: list[str]) -> bytes:
    return b"".join([inet_aton(ip) for ip in ips])


def unpack_addresses(data: bytes) -> list[str]:
    """Raises OSError for what is no list of addresses."""
    return [inet_ntoa(data[at : at + 4]) for at in range(0, len(data), 4)]


def pack_use_sum(use: TenantUsage) -> bytes:
    """A zone's tenants, those that use most first: eight bytes each."""
    rows = sorted(use.items(), key=lambda row: -row[1][0])[:MOST_USE]
    return b"".join([USE_SUM.pack(crc32(n.encode()), min(65535, w), min(65535, p)) for n, (w, p) in rows])


def unpack_use_sum(data: bytes, names: Mapping[int, str]) -> TenantUsage:
    """As `unpack_use`."""
    return {names[mark]: (w, p) for mark, w, p in USE_SUM.iter_unpack(data) if mark in names}


def pack_health_sum(rows: list[ZoneHealthRow]) -> bytes:
    """Evidence of a zone on lives, the most ill first: twelve bytes each."""
    return b"".join(
        [
            HEALTH_SUM.pack(mark, *(min(65535, count) for count in evidence))
            for mark, *evidence in rows[:MOST_HEALTH_SUMS]
        ]
    )


def unpack_health_sum(data: bytes) -> list[ZoneHealthRow]:
    """Raises struct.error for what is no such report."""
    return list(HEALTH_SUM.iter_unpack(data))


def unpack_out(data: bytes) -> list[tuple[int, int]]:
    """Raises struct.error for what is no such word."""
    return list(OUT.iter_unpack(data))


def framed(parcel: Parcel) -> bytes:
    body = encode(parcel)
    return FRAME.pack(len(body)) + body
