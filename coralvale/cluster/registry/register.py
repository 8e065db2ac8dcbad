"""The register of hosts, of which every gateway keeps a full copy.

An entry stands for one host process, known by its `Id`; its address may belong to another service soon after
it ended. What is known of an entry only grows: `Calls` rises, and the state goes from up to draining to gone
and never back. So rows may arrive in any order, more than once, or from a gateway that was cut off. The row
of a host that is gone is kept for a while, so that a late heartbeat does not bring it back; also by a gateway
that never knew the host, since it may have started after the host's end. A crash is not
announced: an entry of which no gateway has had a heartbeat for some intervals gets no requests, and is
removed later.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterable, Sequence
from enum import IntEnum

import msgspec
from attrs import define

# Entries known at once. Beyond it the oldest that is gone is removed; if there is none, a new one is refused.
MAX_ENTRIES = 4096
SILENT_AFTER_BEATS = 3.2  # heartbeat intervals without one until an entry gets no requests
FORGET_AFTER_BEATS = 20.0  # heartbeat intervals without one until an entry is removed
GONE_RETENTION_S = 90.0  # for which an entry that is gone is kept
# Partitions of the register, each with its own digest, so that differences are found without comparing all.
PARTS = 32


def part(name: str) -> int:
    """The partition of the register that an entry is in; `name`: its ID."""
    return zlib.crc32(name.encode()) % PARTS


class State(IntEnum):
    """State of a host; only ever rises."""

    UP = 0
    DRAINING = 1
    GONE = 2


class Row(msgspec.Struct, frozen=True, array_like=True):
    """What gateways tell each other of a host; packed by position.

    `warm`: ms until it is no longer slow; `calls`: rises with each heartbeat; `age`: s since the last one.
    """

    id: str
    svc: str
    ip: str
    port: int
    az: str
    ver: str
    slots: int
    state: int
    warm: float
    calls: int
    age: float = 0.0


def gone_row(name: str) -> Row:
    """The row that announces the end of a host that is not known here; enough for gateways that know it."""
    return Row(name, "", "", 0, "", "", 0, int(State.GONE), 0.0, 0)


@define(eq=False)
class HostEntry:
    """One host in the register. Times are of the monotonic clock, s."""

    row: Row
    state: State
    heard_at: float  # when its last heartbeat came, here or at another gateway
    warm_at: float  # when it is no longer slow
    since: float  # when it entered its state

    @property
    def id(self) -> str:
        return self.row.id


class Register:
    """All known hosts, by ID and by service."""

    def __init__(self, beat: float) -> None:
        """`beat`: s between a host's heartbeats."""
        self.beat = beat
        self.entries: dict[str, HostEntry] = {}
        self.by_service: dict[str, dict[str, HostEntry]] = {}
        self.version = 0  # rises with each change of the entries that may serve
        self.digest = 0  # of the whole register
        self.parts = [0] * PARTS  # digests of IDs and states by partition
        self.fresh_beats: dict[str, int] = {}  # heartbeats received here and not passed on yet: calls by ID

    def _toggle_digest(self, entry: HostEntry) -> None:
        """Adds an entry to its partition's digest, or removes it again (XOR).

        Entries that are gone are left out, since gateways remove them at different times.
        """
        if entry.state is not State.GONE:
            checksum = zlib.crc32(f"{entry.id} {int(entry.state)}".encode())
            self.parts[part(entry.id)] ^= checksum
            self.digest ^= checksum

    def merge(self, now: float, row: Row, direct: bool = False) -> bool:
        """Merges a row; returns whether others have to know of it: a new entry, or a new state.

        `direct`: it came from the host itself rather than from another gateway.
        """
        state = State(min(max(row.state, 0), 2))
        entry = self.entries.get(row.id)
        heard = now - max(0.0, row.age)
        if entry is None:
            return self._add(now, row, state, heard, direct)
        if row.calls > entry.row.calls:
            entry.heard_at = max(entry.heard_at, heard)
            if direct:
                self.fresh_beats[row.id] = row.calls
                entry.warm_at = now + row.warm / 1000
            elif row.slots == entry.row.slots:
                row = msgspec.structs.replace(entry.row, calls=row.calls)
            # A life belongs to the service that it was first known with: it is indexed by that.
            entry.row = msgspec.structs.replace(row, state=int(entry.state), svc=entry.row.svc)
        if state > entry.state:
            self._toggle_digest(entry)
            entry.state, entry.since = state, now
            entry.row = msgspec.structs.replace(entry.row, state=int(state))
            self._toggle_digest(entry)
            self.version += 1
            return True
        return False

    def _add(self, now: float, row: Row, state: State, heard: float, direct: bool) -> bool:
        """Adds an entry for a host that is not known here; returns whether others have to know of it."""
        gone = state is State.GONE
        if gone and not row.svc:
            return False  # nothing but the name is known: a row of a gateway that never knew the host
        if now - heard > (GONE_RETENTION_S if gone else FORGET_AFTER_BEATS * self.beat):
            return False  # already past its time
        if len(self.entries) >= MAX_ENTRIES and not self._make_room():
            return False
        # That of a host that is gone counts from its last heartbeat on: gateways may pass it on to each other.
        since = heard if gone else now
        entry = self.entries[row.id] = HostEntry(row, state, heard, now + row.warm / 1000, since)
        self.by_service.setdefault(row.svc, {})[row.id] = entry
        if gone:
            return False
        self._toggle_digest(entry)
        self.version += 1
        if direct:
            self.fresh_beats[row.id] = row.calls
        return True

    def merge_beats(self, now: float, beats: Iterable[tuple[str, int]]) -> bool:
        """Merges heartbeats (ID, calls) of another gateway; returns whether any ID is unknown here."""
        unknown = False
        for name, calls in beats:
            if entry := self.entries.get(name):
                if calls > entry.row.calls:
                    entry.row = msgspec.structs.replace(entry.row, calls=calls)
                    entry.heard_at = now
            else:
                unknown = True
        return unknown

    def take_fresh_beats(self) -> list[tuple[str, int]]:
        """The heartbeats to pass on to others; each is returned once."""
        fresh, self.fresh_beats = self.fresh_beats, {}
        return list(fresh.items())

    def mark_gone(self, now: float, name: str) -> Row | None:
        """Marks a host as gone; returns the row to send to others, or None if it is not known."""
        if (entry := self.entries.get(name)) is None:
            return None
        row = msgspec.structs.replace(entry.row, state=int(State.GONE), calls=entry.row.calls)
        self.merge(now, row)
        return self.entries[name].row

    def rows(self, now: float, parts: Sequence[int] = ()) -> list[Row]:
        """The rows of all entries, or, given another gateway's digests, of the partitions that differ."""
        differ = {n for n, digest in enumerate(self.parts) if n >= len(parts) or parts[n] != digest}
        return [
            msgspec.structs.replace(
                entry.row, warm=max(0.0, entry.warm_at - now) * 1000, age=now - entry.heard_at
            )
            for entry in self.entries.values()
            if len(differ) == PARTS or part(entry.id) in differ
        ]

    def may_serve(self, name: str) -> bool:
        """Whether a host may get new requests."""
        entry = self.entries.get(name)
        return entry is not None and entry.state is State.UP

    def usable(self, now: float, service: str) -> list[HostEntry]:
        """The entries of a service that may get new requests; silent ones only if there are no others."""
        up = [entry for entry in self.by_service.get(service, {}).values() if entry.state is State.UP]
        heard = [entry for entry in up if now - entry.heard_at <= SILENT_AFTER_BEATS * self.beat]
        return heard or up

    def sweep(self, now: float) -> list[str]:
        """Removes entries that are gone or silent for too long; returns their IDs."""
        gone = []
        for name, entry in self.entries.items():
            if entry.state is State.GONE:
                if now - entry.since > GONE_RETENTION_S:
                    gone.append(name)
            elif now - entry.heard_at > FORGET_AFTER_BEATS * self.beat:
                gone.append(name)
        for name in gone:
            self._drop(name)
        return gone

    def _drop(self, name: str) -> None:
        entry = self.entries.pop(name)
        self._toggle_digest(entry)
        self.by_service[entry.row.svc].pop(name, None)
        self.version += 1

    def _make_room(self) -> bool:
        oldest = min(
            (entry for entry in self.entries.values() if entry.state is State.GONE),
            key=lambda x: x.since,
            default=None,
        )
        if oldest:
            self._drop(oldest.id)
        return oldest is not None
