"""The register of hosts, by life: every gateway has all of it.

A host's `Id` is its life; its address may belong to another service soon after. What is known of a life only
grows: `Calls` rises, and its state goes from up to draining to gone and never back, so rows may come in any
order, twice, or from a gateway that was cut off. A row of one that is gone is kept for a while, so that a
late beat does not bring it back. A crash says nothing: a life that has not been heard of by any gateway for
some beats is passed over, and forgotten later.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterable, Sequence
from enum import IntEnum

import msgspec
from attrs import define

MAX_ENTRIES = (
    4096  # lives known at once; past it the oldest that are gone make room, then new ones are turned away
)
SILENT_AFTER_BEATS = 3.2  # beats missed until a life is passed over
FORGET_AFTER_BEATS = 20.0  # beats missed until it is forgotten
GONE_RETENTION_S = 90.0  # s for which one that is gone is remembered
PARTS = 32  # of the register, each with a digest of its own: what differs is found without all of it


def part(name: str) -> int:
    """The part of the register that a life is in."""
    return zlib.crc32(name.encode()) % PARTS


class State(IntEnum):
    UP = 0
    DRAINING = 1
    GONE = 2


class Row(msgspec.Struct, frozen=True, array_like=True):
    """What gateways tell each other of a life. `warm`: ms until it is no longer slow; `age`: s since a beat
    of it."""

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
    """What is told of a life that ends and is not known here: enough for those that know it."""
    return Row(name, "", "", 0, "", "", 0, int(State.GONE), 0.0, 0)


@define(eq=False)
class HostEntry:
    row: Row
    state: State
    heard_at: float  # s, when its newest beat was heard of
    warm_at: float  # s, when it is no longer slow
    since: float  # s, when its state became what it is

    @property
    def id(self) -> str:
        return self.row.id


class Register:
    def __init__(self, beat: float) -> None:
        """`beat`: s between a host's beats."""
        self.beat = beat
        self.entries: dict[str, HostEntry] = {}
        self.by_service: dict[str, dict[str, HostEntry]] = {}
        self.version = 0  # rises with each change of what `usable` may give
        self.digest = 0  # of the whole register
        self.parts = [0] * PARTS  # digests of lives and states, the same at all that know the same
        self.fresh_beats: dict[str, int] = {}  # beats heard here since they were last told: id, calls

    def _toggle_digest(self, life: HostEntry) -> None:
        """Puts a life into its part's digest, or takes it out again. Those that are gone count for nothing:
        gateways forget them at different times."""
        if life.state is not State.GONE:
            checksum = zlib.crc32(f"{life.id} {int(life.state)}".encode())
            self.parts[part(life.id)] ^= checksum
            self.digest ^= checksum

    def merge(self, now: float, row: Row, direct: bool = False) -> bool:
        """Whether it tells something that others have to know: a new life, or a state."""
        state = State(min(max(row.state, 0), 2))
        life = self.entries.get(row.id)
        heard = now - max(0.0, row.age)
        if life is None:
            if state is State.GONE or now - heard > FORGET_AFTER_BEATS * self.beat:
                return False  # unknown here, and no longer of use
            if len(self.entries) >= MAX_ENTRIES and not self._make_room():
                return False
            life = HostEntry(row, state, heard, now + row.warm / 1000, now)
            self.entries[row.id] = life
            self.by_service.setdefault(row.svc, {})[row.id] = life
            self._toggle_digest(life)
            self.version += 1
            if direct:
                self.fresh_beats[row.id] = row.calls
            return True
        if row.calls > life.row.calls:
            life.heard_at = max(life.heard_at, heard)
            if direct:
                self.fresh_beats[row.id] = row.calls
                life.warm_at = now + row.warm / 1000
            elif row.slots == life.row.slots:
                row = msgspec.structs.replace(life.row, calls=row.calls)
            life.row = msgspec.structs.replace(row, state=int(life.state))
        if state > life.state:
            self._toggle_digest(life)
            life.state, life.since = state, now
            life.row = msgspec.structs.replace(life.row, state=int(state))
            self._toggle_digest(life)
            self.version += 1
            return True
        return False

    def merge_beats(self, now: float, beats: Iterable[tuple[str, int]]) -> bool:
        """Beats that another gateway has heard; whether one is of a life that is not known here."""
        unknown = False
        for name, calls in beats:
            if life := self.entries.get(name):
                if calls > life.row.calls:
                    life.row = msgspec.structs.replace(life.row, calls=calls)
                    life.heard_at = now
            else:
                unknown = True
        return unknown

    def take_fresh_beats(self) -> list[tuple[str, int]]:
        """Beats to be told to others, once."""
        fresh, self.fresh_beats = self.fresh_beats, {}
        return list(fresh.items())

    def mark_gone(self, now: float, name: str) -> Row | None:
        """A life says that it ends; the row to be told to others, None if it is not known."""
        if (life := self.entries.get(name)) is None:
            return None
        row = msgspec.structs.replace(life.row, state=int(State.GONE), calls=life.row.calls)
        self.merge(now, row)
        return self.entries[name].row

    def rows(self, now: float, parts: Sequence[int] = ()) -> list[Row]:
        """All lives; or, beside another's digests of its parts, those of the parts that differ."""
        differ = {n for n, digest in enumerate(self.parts) if n >= len(parts) or parts[n] != digest}
        return [
            msgspec.structs.replace(
                life.row, warm=max(0.0, life.warm_at - now) * 1000, age=now - life.heard_at
            )
            for life in self.entries.values()
            if len(differ) == PARTS or part(life.id) in differ
        ]

    def may_serve(self, name: str) -> bool:
        """Whether something new may be sent to a life."""
        life = self.entries.get(name)
        return life is not None and life.state is State.UP

    def usable(self, now: float, service: str) -> list[HostEntry]:
        """Those that may get something new; the silent ones only where there is no other."""
        up = [life for life in self.by_service.get(service, {}).values() if life.state is State.UP]
        heard = [life for life in up if now - life.heard_at <= SILENT_AFTER_BEATS * self.beat]
        return heard or up

    def sweep(self, now: float) -> list[str]:
        """Forgets; returns the names."""
        gone = []
        for name, life in self.entries.items():
            if life.state is State.GONE:
                if now - life.since > GONE_RETENTION_S:
                    gone.append(name)
            elif now - life.heard_at > FORGET_AFTER_BEATS * self.beat:
                gone.append(name)
        for name in gone:
            self._drop(name)
        return gone

    def _drop(self, name: str) -> None:
        life = self.entries.pop(name)
        self._toggle_digest(life)
        self.by_service[life.row.svc].pop(name, None)
        self.version += 1

    def _make_room(self) -> bool:
        oldest = min(
            (life for life in self.entries.values() if life.state is State.GONE),
            key=lambda x: x.since,
            default=None,
        )
        if oldest:
            self._drop(oldest.id)
        return oldest is not None
