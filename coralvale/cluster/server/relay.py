"""Words of many gateways joined into few datagrams, in a large fleet.

Each gateway of n that tells each other makes n x n datagrams a period, and costs each of them n wake-ups. In
place of that it tells a carrier of its zone; the carrier joins what came within `EVERY` and brings it to all
there, and to a carrier in each other zone, who brings it to all in that one. Carriers are those that say so:
they know the others, and their link bears it. There are two a zone, which take turns, so that one that has just
died costs each second word, and more where two would need too much of their links; where there is none, all
tell all as in a small fleet.

No I/O and no clock of its own here.
"""

from __future__ import annotations

import math
import struct
from collections.abc import Iterable, Iterator, Mapping
from socket import inet_aton, inet_ntoa

BATCH_INTERVAL_S = 0.05  # s in which what comes is joined
MAX_DATAGRAM_BYTES = 1350  # of a datagram: what a packet bears beside its heads
MAX_BATCHED = 2048  # words that wait at once; past it new ones are left out, as a full link loses them
MIN_CARRIERS, MAX_CARRIERS = 2, 8  # carriers of a zone that take turns
MAX_LINK_SHARE = 0.2  # of its link that all that a zone is brought may take, for one to carry
MAX_REPLICA_LINK_SHARE = (
    0.3  # of its link that its own part may take, for one with a replica of the control state
)
CARRIER_BYTES_PER_S = 2.5e6  # bytes a second that one is to bring: beyond it more of them take turns
GOSSIP_BYTES = 280  # of a gateway's words in a period, about, all kinds: measured at 96 gateways
NEAR_TIMEOUT_S, FAR_TIMEOUT_S = (
    0.8,
    1.6,
)  # s without a word of a carrier in this zone, or in another, after which it is none
REPORT_WEIGHT = 10  # words that another zone's report weighs
ENTRY_HEADER = struct.Struct("!4sH")


def zone_load(gateways: int, near: int, period: float) -> float:
    """Bytes a second that a zone is brought, by all of its carriers together."""
    return gateways * near * GOSSIP_BYTES / period


def carrier_count(gateways: int, near: int, period: float) -> int:
    """Carriers of a zone that are to take turns."""
    return min(
        MAX_CARRIERS, max(MIN_CARRIERS, math.ceil(zone_load(gateways, near, period) / CARRIER_BYTES_PER_S))
    )


def can_carry(gateways: int, near: int, link: float, period: float, replica: bool = False) -> bool:
    """Whether a gateway's link (bytes a second) bears a carrier's work. `replica`: it has one; such machines are
    few and their links wide, and where the work is large they share it."""
    whole = zone_load(gateways, near, period)
    return whole <= MAX_LINK_SHARE * link or (
        replica and whole / carrier_count(gateways, near, period) <= MAX_REPLICA_LINK_SHARE * link
    )


def unpack_batch(data: bytes) -> Iterator[tuple[str, bytes]]:
    """What was joined: whose it is, and itself. What is cut short ends it."""
    at = 0
    while at + ENTRY_HEADER.size < len(data):
        ip, size = ENTRY_HEADER.unpack_from(data, at)
        at += ENTRY_HEADER.size
        if not size or at + size > len(data):
            return
        yield inet_ntoa(ip), data[at : at + size]
        at += size


class RelayBatch:
    """What a carrier has to bring: the newest word of each kind of each gateway."""

    def __init__(self) -> None:
        self.near: dict[tuple[str, bytes], bytes] = {}
        self.far: dict[tuple[str, bytes], bytes] = {}

    def add(self, ip: str, whole: bytes, to_other_zones: bool) -> bool:
        """A gateway's word, its kind first; `onward`: other zones have yet to hear it. False: no room."""
        key = (ip, whole[:1])
        if len(self.near) >= MAX_BATCHED and key not in self.near:
            return False
        self.near[key] = whole
        if to_other_zones:
            self.far[key] = whole
        return True

    def take(self) -> tuple[list[bytes], list[bytes]]:
        """Datagrams for this zone, and for each other one."""
        near, far = self.near, self.far
        self.near, self.far = {}, {}
        return pack_batch(near), pack_batch(far)


def pack_batch(words: Mapping[tuple[str, bytes], bytes]) -> list[bytes]:
    made: list[bytes] = []
    parts: list[bytes] = []
    size = 0
    for (ip, _), whole in words.items():
        length = ENTRY_HEADER.size + len(whole)
        if parts and size + length > MAX_DATAGRAM_BYTES:
            made.append(b"".join(parts))
            parts, size = [], 0
        parts += (ENTRY_HEADER.pack(inet_aton(ip), len(whole)), whole)
        size += length
    if parts:
        made.append(b"".join(parts))
    return made


class Carriers:
    """Who carries in each zone, as their own words say."""

    def __init__(self) -> None:
        self.heard_at: dict[str, float] = {}  # by address, when one that carries was heard of
        self.turn = 0
        self.max_active = MIN_CARRIERS  # of a zone that take turns

    def record(self, now: float, ip: str, carries: bool) -> None:
        if carries:
            self.heard_at[ip] = now
        else:
            self.heard_at.pop(ip, None)

    def active(self, now: float, ips: Iterable[str], silent: float) -> list[str]:
        """Of a zone's gateways, those that carry there: the same at all that know the same."""
        heard_at = self.heard_at
        return sorted(ip for ip in ips if now - heard_at.get(ip, -math.inf) <= silent)[: self.max_active]

    def pick(self, among: list[str]) -> str:
        self.turn += 1
        return among[self.turn % len(among)]

    def retain(self, ips: set[str]) -> None:
        """Forgets those that are not there any more."""
        self.heard_at = {ip: at for ip, at in self.heard_at.items() if ip in ips}
