"""Relaying of gossip in a large fleet: carriers batch the messages of many gateways into few datagrams.

If each of n gateways sends to each other, there are n x n datagrams in a period, and each gateway wakes up n
times. Instead it sends to a carrier of its zone. The carrier batches what arrives within `BATCH_INTERVAL_S`
and sends it to all in the zone, and to a carrier of each other zone, which sends it to all there. A gateway
announces itself as a carrier if it knows the others and has the bandwidth. Each zone uses two in turn, so a
carrier that has just died costs every second message, or more than two if two would need too much of their
bandwidth. Without a carrier all send to all, as in a small fleet.

No I/O and no clock.
"""

from __future__ import annotations

import math
import struct
from collections.abc import Iterable, Iterator, Mapping
from socket import inet_aton, inet_ntoa

BATCH_INTERVAL_S = 0.05  # for which messages are collected
MAX_DATAGRAM_BYTES = 1350  # that fit a packet beside the headers
MAX_BATCHED = 2048  # messages in a batch; further ones are dropped, as on a congested link
MIN_CARRIERS, MAX_CARRIERS = 2, 8  # of a zone, used in turn
MAX_LINK_SHARE = 0.2  # of a carrier's bandwidth that the zone's whole relay traffic may use
# Of the bandwidth of a carrier with a replica of the control state that its own part of the traffic may use.
MAX_REPLICA_LINK_SHARE = 0.3
CARRIER_BYTES_PER_S = 2.5e6  # that one carrier relays; above it more carriers are used
GOSSIP_BYTES = 280  # approximately, of all messages of a gateway in a period, with 96 gateways
# Without a message of a carrier in this zone, or in another, after which it no longer counts as one.
NEAR_TIMEOUT_S, FAR_TIMEOUT_S = 0.8, 1.6
REPORT_WEIGHT = 10  # gossip messages that a report of another zone is as large as
ENTRY_HEADER = struct.Struct("!4sH")


def zone_load(gateways: int, near: int, period: float) -> float:
    """Relay traffic of all carriers of a zone together, bytes per second. `near`: other gateways in the
    zone."""
    return gateways * near * GOSSIP_BYTES / period


def carrier_count(gateways: int, near: int, period: float) -> int:
    """Number of carriers that a zone should use."""
    return min(
        MAX_CARRIERS, max(MIN_CARRIERS, math.ceil(zone_load(gateways, near, period) / CARRIER_BYTES_PER_S))
    )


def can_carry(gateways: int, near: int, bytes_per_s: float, period: float, has_replica: bool = False) -> bool:
    """Whether a gateway has the bandwidth for a carrier.

    `has_replica`: of the control state; such machines are few and have much bandwidth, so they share the
    traffic of a large zone.
    """
    total = zone_load(gateways, near, period)
    return total <= MAX_LINK_SHARE * bytes_per_s or (
        has_replica and total / carrier_count(gateways, near, period) <= MAX_REPLICA_LINK_SHARE * bytes_per_s
    )


def unpack_batch(data: bytes) -> Iterator[tuple[str, bytes]]:
    """Yields address of the sender and message of a batch; stops at a truncated one."""
    at = 0
    while at + ENTRY_HEADER.size < len(data):
        ip, size = ENTRY_HEADER.unpack_from(data, at)
        at += ENTRY_HEADER.size
        if not size or at + size > len(data):
            return
        yield inet_ntoa(ip), data[at : at + size]
        at += size


class RelayBatch:
    """The messages that a carrier will relay next: the newest of each kind of each gateway."""

    def __init__(self) -> None:
        self.near: dict[tuple[str, bytes], bytes] = {}
        self.far: dict[tuple[str, bytes], bytes] = {}

    def add(self, ip: str, message: bytes, to_other_zones: bool) -> bool:
        """Adds a gateway's message, which starts with its kind. `to_other_zones`: also for them. False if
        full."""
        key = (ip, message[:1])
        if len(self.near) >= MAX_BATCHED and key not in self.near:
            return False
        self.near[key] = message
        if to_other_zones:
            self.far[key] = message
        return True

    def take(self) -> tuple[list[bytes], list[bytes]]:
        """Empties the batch; returns the datagrams for this zone, and those for each other zone."""
        near, far = self.near, self.far
        self.near, self.far = {}, {}
        return pack_batch(near), pack_batch(far)


def pack_batch(messages: Mapping[tuple[str, bytes], bytes]) -> list[bytes]:
    """Packs messages, by sender's address and kind, into as few datagrams as fit them in order."""
    batches: list[bytes] = []
    parts: list[bytes] = []
    size = 0
    for (ip, _), message in messages.items():
        length = ENTRY_HEADER.size + len(message)
        if parts and size + length > MAX_DATAGRAM_BYTES:
            batches.append(b"".join(parts))
            parts, size = [], 0
        parts += (ENTRY_HEADER.pack(inet_aton(ip), len(message)), message)
        size += length
    if parts:
        batches.append(b"".join(parts))
    return batches


class Carriers:
    """The carriers of all zones, as they announce themselves."""

    def __init__(self) -> None:
        self.heard_at: dict[str, float] = {}  # by address, time of a carrier's last message
        self.turn = 0
        self.max_active = MIN_CARRIERS  # carriers of a zone that are used in turn

    def record(self, now: float, ip: str, carries: bool) -> None:
        """Records whether a gateway has announced itself as a carrier."""
        if carries:
            self.heard_at[ip] = now
        else:
            self.heard_at.pop(ip, None)

    def active(self, now: float, ips: Iterable[str], timeout: float) -> list[str]:
        """The carriers to use among a zone's gateways; equal at all gateways that have received the same."""
        heard_at = self.heard_at
        return sorted(ip for ip in ips if now - heard_at.get(ip, -math.inf) <= timeout)[: self.max_active]

    def pick(self, active: list[str]) -> str:
        """Picks one of these carriers, in turn."""
        self.turn += 1
        return active[self.turn % len(active)]

    def retain(self, ips: set[str]) -> None:
        """Drops carriers that are not among these gateways."""
        self.heard_at = {ip: at for ip, at in self.heard_at.items() if ip in ips}
