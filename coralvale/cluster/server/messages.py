"""Messages between gateways: msgspec structs, encoded as msgpack arrays, length-prefixed on connections.

Newer versions add fields at the end, with defaults; older ones ignore them. A message of an unknown kind is
ignored as well. In requests and replies, `number` is the request's number.
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
MAX_FRAME_BYTES = 96 * 1024 * 1024
MAX_USAGE_ROWS = 160  # tenants in a gossip message; fits a datagram with the other fields
MAX_HEALTH_ROWS = 24  # hosts in a gossip message
MAX_IN_FLIGHT_ROWS = 250  # hosts in an in-flight message; fits a datagram
MAX_HEALTH_SUM_ROWS = 64  # hosts in a zone's report
MAX_BEATS = 48  # in one part of a zone's report; fits a datagram with the zone's gateways
MAX_ADDRESSES = 128  # gateways in one part of a zone's report


class ConsensusMessage(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """A message between replicas; it gets no reply of its own. `to`: id of the disk that it is meant for, ""
    for any disk at the address."""

    message: Message
    to: str = ""


class MembershipPacket(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """A membership packet that is too long for a datagram."""

    packet: bytes


class UpdateRequest(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Asks for changes of the configuration since `version` (long poll): answered at once if there are any,
    else when one comes, or after a timeout."""

    number: int
    version: int


class UpdateReply(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Reply to `UpdateRequest`.

    `isolated`: the sender has lost contact with the core and has no update; another gateway may have one.
    `in_contact`: the sender is in contact with the core, so its configuration is the one in force.
    """

    number: int
    update: ConfigurationUpdate | None = None
    isolated: bool = False
    in_contact: bool = True


class ConfigurationRequest(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """An operator's change, or (None) a read of the newest configuration, forwarded to the leader."""

    number: int
    change: Change | None = None


class Reply(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Reply to a forwarded request, as for HTTP."""

    number: int
    status: int
    body: bytes = b""
    reason: str = ""


class HostRows(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Rows of the register of hosts: new ones, or the reply to `HostRowsRequest`."""

    number: int
    rows: list[Row]


class Ack(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """Confirms `HostRows`."""

    number: int


class HostRowsRequest(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """Asks for the rows of the register's parts whose digests differ from `parts`; for all rows if it is
    empty."""

    number: int
    parts: tuple[int, ...] = ()


class Nominate(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """Asks the nominator who founds the core (see `coralvale.cluster.bootstrap`)."""

    number: int
    member: Member


class Nominee(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """Reply to `Nominate`: the id of the founder's disk, "" while there is none."""

    number: int
    id: str


class ClaimShares(msgspec.Struct, frozen=True, array_like=True, tag=12):
    """A gateway's claim to its quota shares, for the leader.

    `version`: of the share table that it follows; `left`: it shuts down and uses no share any more;
    `address`: of the gateway, if another one forwards its claim.
    """

    number: int
    version: int
    left: bool = False
    address: str = ""


class SharesReply(msgspec.Struct, frozen=True, array_like=True, tag=13):
    """Reply to `ClaimShares`.

    `settled`: False if the receiver cannot answer. `table`: snapshot; empty if there is no newer one. `age`:
    seconds, at least, for which the gateway has owned all that it owns by that table. `allowed`: its process
    may start with its allowance.
    """

    number: int
    settled: bool
    table: bytes = b""
    age: float = 0.0
    allowed: bool = False


class CoordinationRequest(msgspec.Struct, frozen=True, array_like=True, tag=14):
    """An application's coordination call, forwarded to the leader."""

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
    """State that each gateway sends to all others every half second, in a datagram."""

    version: int  # of the configuration
    digest: int  # of the register of hosts
    view: int = 0
    leader: str = ""  # its address
    core: tuple[str, ...] = ()  # addresses of the view's members; not in each message, as they seldom change
    usage: bytes = b""  # of tenants' quotas, from `pack_usage`
    whole: bool = True  # `usage` has all tenants, else only those that changed
    beats: list[tuple[str, int]] = []  # new heartbeats: host id, its count of calls
    health: bytes = b""  # of hosts with errors, from `pack_health`
    # Attempts in flight, from `pack_in_flight`, in a large fleet without carriers; else sent in own messages.
    in_flight: bytes | None = None
    carries: bool = False  # the sender is a carrier: it relays messages to all in its zone
    region: str = ""  # from its settings; only if `whole`
    life: int = 0  # unused; set by earlier versions
    ended: bytes = b""  # unused; set by earlier versions
    shares: int = 0  # version of the share table that it follows


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
    """Packs a gateway's attempts in flight, by host: five bytes each."""
    return b"".join(
        [IN_FLIGHT_ROW.pack(number, min(255, count)) for number, count in in_flight[:MAX_IN_FLIGHT_ROWS]]
    )


def pack_usage(usage: TenantUsage) -> bytes:
    """Packs the usage of tenants, by the CRC of their names: seven bytes each."""
    rows = [USAGE_ROW.pack(crc32(n.encode()), min(65535, w), min(255, p)) for n, (w, p) in usage.items()]
    return b"".join(rows[:MAX_USAGE_ROWS])


def unpack_usage(data: bytes, names: Mapping[int, str]) -> TenantUsage:
    """Reverses `pack_usage`. `names`: of the known tenants, by CRC; others are left out. Raises struct.error
    for invalid data."""
    return {names[mark]: (w, p) for mark, w, p in USAGE_ROW.iter_unpack(data) if mark in names}


def pack_health(rows: list[HealthRow]) -> bytes:
    """Packs counts of successes and errors, by the hash of the host's id: six bytes each, most errors
    first."""
    rows = sorted(rows, key=lambda row: -row[2])[:MAX_HEALTH_ROWS]
    return b"".join([HEALTH_ROW.pack(m, min(255, w), min(255, i)) for m, w, i in rows])


def unpack_health(data: bytes) -> list[HealthRow]:
    """Raises struct.error for invalid data."""
    return list(HEALTH_ROW.iter_unpack(data))


def pack_addresses(ips: list[str]) -> bytes:
    """Packs IPv4 addresses: four bytes each."""
    return b"".join([inet_aton(ip) for ip in ips])


def unpack_addresses(data: bytes) -> list[str]:
    """Raises OSError for invalid data."""
    return [inet_ntoa(data[at : at + 4]) for at in range(0, len(data), 4)]


def pack_usage_sum(usage: TenantUsage) -> bytes:
    """Packs the summed usage of a zone's tenants: eight bytes each, most usage first."""
    rows = sorted(usage.items(), key=lambda row: -row[1][0])[:MAX_USAGE_ROWS]
    return b"".join(
        [USAGE_SUM_ROW.pack(crc32(n.encode()), min(65535, w), min(65535, p)) for n, (w, p) in rows]
    )


def unpack_usage_sum(data: bytes, names: Mapping[int, str]) -> TenantUsage:
    """Reverses `pack_usage_sum`, like `unpack_usage`."""
    return {names[mark]: (w, p) for mark, w, p in USAGE_SUM_ROW.iter_unpack(data) if mark in names}


def pack_health_sum(rows: list[ZoneHealthRow]) -> bytes:
    """Packs a zone's health evidence about hosts, ordered by most errors: twelve bytes each."""
    return b"".join(
        [
            HEALTH_SUM_ROW.pack(mark, *(min(65535, count) for count in evidence))
            for mark, *evidence in rows[:MAX_HEALTH_SUM_ROWS]
        ]
    )


def unpack_health_sum(data: bytes) -> list[ZoneHealthRow]:
    """Raises struct.error for invalid data."""
    return list(HEALTH_SUM_ROW.iter_unpack(data))


def unpack_in_flight(data: bytes) -> list[tuple[int, int]]:
    """Raises struct.error for invalid data."""
    return list(IN_FLIGHT_ROW.iter_unpack(data))


def frame(message: PeerMessage) -> bytes:
    """Encodes a message with its length in front, for a connection."""
    body = encode(message)
    return FRAME_HEADER.pack(len(body)) + body
