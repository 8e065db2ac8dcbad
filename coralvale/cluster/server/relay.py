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

EVERY = 0.05  # s in which what comes is joined
MOST_BYTES = 1350  # of a datagram: what a packet bears beside its heads
MOST_LOADED = 2048  # words that wait at once; past it new ones are left out, as a full link loses them
FEWEST, MOST = 2, 8  # carriers of a zone that take turns
SHARE = 0.2  # of its link that all that a zone is brought may take, for one to carry
MOST_SHARE = 0.3  # of its link that its own part may take, for one with a replica of the control state
PART_BYTES = 2.5e6  # bytes a second that one is to bring: beyond it more of them take turns
WORD_BYTES = 280  # of a gateway's words in a period, about, all kinds: measured at 96 gateways
NEAR, FAR = 0.8, 1.6  # s without a word of a carrier in this zone, or in another, after which it is none
REPORT_WORDS = 10  # words that another zone's report weighs
HEAD = struct.Struct("!4sH")


def load(gateways: int, near: int, period: float) -> float:
    """Bytes a second that a zone is brought, by all of its carriers together."""
    return gateways * near * WORD_BYTES / period


def wanted(gateways: int, near: int, period: float) -> int:
    """Carriers of a zone that are to take turns."""
    return min(MOST, max(FEWEST, math.ceil(load(gateways, near, period) / PART_BYTES)))


def bears(gateways: int, near: int, link: float, period: float, replica: bool = False) -> bool:
    """Whether a gateway's link (bytes a second) bears a carrier's work. `replica`: it has one; such machines are
    few and their links wide, and where the work is large they share it."""
    whole = load(gateways, near, period)
    return whole <= SHARE * link or (replica and whole / wanted(gateways, near, period) <= MOST_SHARE * link)


def unpack(data: bytes) -> Iterator[tuple[str, bytes]]:
    """What was joined: whose it is, and itself. What is cut short ends it."""
    at = 0
    while at + HEAD.size < len(data):
        ip, size = HEAD.unpack_from(data, at)
        at += HEAD.size
        if not size or at + size > len(data):
            return
        yield inet_ntoa(ip), data[at : at + size]
        at += size


class RelayBatch:
    """What a carrier has to bring: the newest word of each kind of each gateway."""

    def __init__(self) -> None:
        self.near: dict[tuple[str, bytes], bytes] = {}
        self.far: dict[tuple[str, bytes], bytes] = {}

    def add(self, ip: str, whole: bytes, onward: bool) -> bool:
        """A gateway's word, its kind first; `onward`: other zones have yet to hear it. False: no room."""
        key = (ip, whole[:1])
        if len(self.near) >= MOST_LOADED and key not in self.near:
            return False
        self.near[key] = whole
        if onward:
            self.far[key] = whole
        return True

    def take(self) -> tuple[list[bytes], list[bytes]]:
        """Datagrams for this zone, and for each other one."""
        near, far = self.near, self.far
        self.near, self.far = {}, {}
        return joined(near), joined(far)


def joined(words: Mapping[tuple[str, bytes], bytes]) -> list[bytes]:
    made: list[bytes] = []
    parts: list[bytes] = []
    size = 0
    for (ip, _), whole in words.items():
        length = HEAD.size + len(whole)
        if parts and size + length > MOST_BYTES:
            made.append(b"".join(parts))
            parts, size = [], 0
        parts += (HEAD.pack(inet_aton(ip), len(whole)), whole)
        size += length
    if parts:
        made.append(b"".join(parts))
    return made


class Carriers:
    """Who carries in each zone, as their own words say."""

    def __init__(self) -> None:
        self.heard: dict[str, float] = {}  # by address, when one that carries was heard of
        self.turn = 0
        self.most = FEWEST  # of a zone that take turns

    def hear(self, now: float, ip: str, carries: bool) -> None:
        if carries:
            self.heard[ip] = now
        else:
            self.heard.pop(ip, None)

    def of(self, now: float, ips: Iterable[str], silent: float) -> list[str]:
        """Of a zone's gateways, those that carry there: the same at all that know the same."""
        heard = self.heard
        return sorted(ip for ip in ips if now - heard.get(ip, -math.inf) <= silent)[: self.most]

    def next(self, among: list[str]) -> str:
        self.turn += 1
        return among[self.turn % len(among)]

    def keep(self, ips: set[str]) -> None:
        """Forgets those that are not there any more."""
        self.heard = {ip: at for ip, at in self.heard.items() if ip in ips}
