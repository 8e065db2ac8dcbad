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
from coralvale.cluster.coordination.model import Call as CoordinationCall
from coralvale.cluster.host_health.watch import HealthRow, ZoneHealthRow
from coralvale.cluster.rate_limit.usage import TenantUsage
from coralvale.cluster.registry.register import Row
from coralvale.cluster.reports.model import Report

FRAME_HEADER = struct.Struct("!I")
MAX_FRAME_BYTES = 96 * 1024 * 1024  # bytes of a frame
MAX_USAGE_ROWS = 160  # tenants in one word: what fits a datagram beside the rest
MAX_HEALTH_ROWS = 24  # lives in one word
MAX_IN_FLIGHT_ROWS = 250  # copies in one word of what is out: what fits a datagram
MAX_HEALTH_SUM_ROWS = 64  # lives in one report of a zone
MAX_BEATS = 48  # in one part of a zone's report: what fits a datagram beside its gateways
MAX_ADDRESSES = 128  # gateways in one part of a zone's report


class ConsensusMessage(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Between replicas of the log of changes. Nothing answers it but another one. `to`: the disk that it is meant
    for, "" for whichever is at the address."""

    message: Message
    to: str = ""


class MembershipPacket(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """A packet of membership that is too long for a datagram."""

    packet: bytes


class UpdateRequest(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """For news of the configuration: answered at once if there is any, else when there is, or after a
    while."""

    number: int
    version: int


class UpdateReply(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """`lost`: the one that was asked is cut off from the core and has no news; another may know more. `sure`: it
    hears the core, so that what it says is what is in force."""

    number: int
    update: ConfigurationUpdate | None = None
    lost: bool = False
    sure: bool = True


class ConfigurationRequest(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """An operator's change, or (None) a reading of the newest configuration, passed on to the leader."""

    number: int
    change: Change | None = None


class Reply(msgspec.Struct, frozen=True, array_like=True, tag=6):
    number: int
    status: int
    body: bytes = b""
    reason: str = ""


class HostRows(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Lives of hosts."""

    number: int
    rows: list[Row]


class Ack(msgspec.Struct, frozen=True, array_like=True, tag=8):
    number: int


class HostRowsRequest(msgspec.Struct, frozen=True, array_like=True, tag=9):
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


class SharesReply(msgspec.Struct, frozen=True, array_like=True, tag=13):
    """`settled`: False where the one that was asked cannot answer. `table`: empty where there is no newer one.
    `age`: s, at least, for which the gateway has owned all that it owns by it. `allowed`: its process may begin
    with the quotas' allowance."""

    number: int
    settled: bool
    table: bytes = b""
    age: float = 0.0
    allowed: bool = False


class CoordinationRequest(msgspec.Struct, frozen=True, array_like=True, tag=14):
    """An application's call, passed on to the leader."""

    number: int
    call: CoordinationCall


PeerMessage = (
    ConsensusMessage
    | MembershipPacket
    | UpdateRequest
    | UpdateReply
    | ConfigurationRequest
    | Reply
    | HostRows
    | Ack
    | HostRowsRequest
    | Nominate
    | Nominee
    | ClaimShares
    | SharesReply
    | CoordinationRequest
)
PeerReply = UpdateReply | Reply | HostRows | Ack | Nominee | SharesReply


class GossipMessage(msgspec.Struct, frozen=True, array_like=True):
    """What each gateway tells all others every half second, in a datagram."""

    version: int  # of the configuration
    digest: int  # of the register of hosts
    view: int = 0
    leader: str = ""  # its address
    core: tuple[str, ...] = ()  # addresses of the members of the view; now and then, they seldom change
    usage: bytes = b""  # of tenants' quotas: `pack_use`
    whole: bool = True  # it tells of all tenants; else of those of whom there is news
    beats: list[tuple[str, int]] = []
    health: bytes = b""  # of lives of which something ill came: `pack_health`
    in_flight: bytes | None = (
        None  # in a large fleet without carriers, what is out at copies: `pack_out`; else it has own words
    )
    carries: bool = False  # it brings words to all in its zone
    region: str = ""  # that its settings name; in whole words
    life: int = 0  # of its process; told by earlier versions
    ended: bytes = b""  # what ended processes let through; told by earlier versions
    shares: int = 0  # version of the table of shares that it follows


encode = msgspec.msgpack.Encoder().encode
decode_message = msgspec.msgpack.Decoder(PeerMessage).decode
decode_rows = msgspec.msgpack.Decoder(HostRows).decode
decode_gossip = msgspec.msgpack.Decoder(GossipMessage).decode
decode_report = msgspec.msgpack.Decoder(Report).decode


IN_FLIGHT_ROW = struct.Struct("!IB")
USAGE_ROW = struct.Struct("!IHB")
HEALTH_ROW = struct.Struct("!IBB")
USAGE_SUM_ROW = struct.Struct("!IHH")
HEALTH_SUM_ROW = struct.Struct("!IHHHH")


def pack_in_flight(in_flight: list[tuple[int, int]]) -> bytes:
    """What a gateway has out at copies: five bytes each."""
    return b"".join(
        [IN_FLIGHT_ROW.pack(number, min(255, count)) for number, count in in_flight[:MAX_IN_FLIGHT_ROWS]]
    )


def pack_usage(usage: TenantUsage) -> bytes:
    """Tenants by what stands for their names: seven bytes each."""
    rows = [USAGE_ROW.pack(crc32(n.encode()), min(65535, w), min(255, p)) for n, (w, p) in usage.items()]
    return b"".join(rows[:MAX_USAGE_ROWS])


def unpack_usage(data: bytes, names: Mapping[int, str]) -> TenantUsage:
    """`names`: of the tenants that are known, by what stands for them. Raises struct.error for no such
    word."""
    return {names[mark]: (w, p) for mark, w, p in USAGE_ROW.iter_unpack(data) if mark in names}


def pack_health(rows: list[HealthRow]) -> bytes:
    """Lives by what stands for them, what was well and ill: six bytes each, the most ill first."""
    rows = sorted(rows, key=lambda row: -row[2])[:MAX_HEALTH_ROWS]
    return b"".join([HEALTH_ROW.pack(m, min(255, w), min(255, i)) for m, w, i in rows])


def unpack_health(data: bytes) -> list[HealthRow]:
    """Raises struct.error for what is no such word."""
    return list(HEALTH_ROW.iter_unpack(data))


def pack_addresses(ips: list[str]) -> bytes:
    return b"".join([inet_aton(ip) for ip in ips])


def unpack_addresses(data: bytes) -> list[str]:
    """Raises OSError for what is no list of addresses."""
    return [inet_ntoa(data[at : at + 4]) for at in range(0, len(data), 4)]


def pack_usage_sum(usage: TenantUsage) -> bytes:
    """A zone's tenants, those that use most first: eight bytes each."""
    rows = sorted(usage.items(), key=lambda row: -row[1][0])[:MAX_USAGE_ROWS]
    return b"".join(
        [USAGE_SUM_ROW.pack(crc32(n.encode()), min(65535, w), min(65535, p)) for n, (w, p) in rows]
    )


def unpack_usage_sum(data: bytes, names: Mapping[int, str]) -> TenantUsage:
    """As `unpack_use`."""
    return {names[mark]: (w, p) for mark, w, p in USAGE_SUM_ROW.iter_unpack(data) if mark in names}


def pack_health_sum(rows: list[ZoneHealthRow]) -> bytes:
    """Evidence of a zone on lives, the most ill first: twelve bytes each."""
    return b"".join(
        [
            HEALTH_SUM_ROW.pack(mark, *(min(65535, count) for count in evidence))
            for mark, *evidence in rows[:MAX_HEALTH_SUM_ROWS]
        ]
    )


def unpack_health_sum(data: bytes) -> list[ZoneHealthRow]:
    """Raises struct.error for what is no such report."""
    return list(HEALTH_SUM_ROW.iter_unpack(data))


def unpack_in_flight(data: bytes) -> list[tuple[int, int]]:
    """Raises struct.error for what is no such word."""
    return list(IN_FLIGHT_ROW.iter_unpack(data))


def frame(message: PeerMessage) -> bytes:
    body = encode(message)
    return FRAME_HEADER.pack(len(body)) + body
