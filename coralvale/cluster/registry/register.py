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

MOST = 4096  # lives known at once; past it the oldest that are gone make room, then new ones are turned away
SILENT = 3.2  # beats missed until a life is passed over
FORGOTTEN = 20.0  # beats missed until it is forgotten
GONE_FOR = 90.0  # s for which one that is gone is remembered
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


def gone(name: str) -> Row:
    """What is told of a life that ends and is not known here: enough for those that know it."""
    return Row(name, "", "", 0, "", "", 0, int(State.GONE), 0.0, 0)


@define(eq=False)
class Life:
    row: Row
    state: State
    heard: float  # s, when its newest beat was heard of
    warm_at: float  # s, when it is no longer slow
    since: float  # s, when its state became what it is

    @property
    def id(self) -> str:
        return self.row.id


class Register:
    def __init__(self, beat: float) -> None:
        """`beat`: s between a host's beats."""
        self.beat = beat
        self.lives: dict[str, Life] = {}
        self.by_service: dict[str, dict[str, Life]] = {}
        self.version = 0  # rises with each change of what `usable` may give
        self.digest = 0  # of the whole register
        self.parts = [0] * PARTS  # digests of lives and states, the same at all that know the same
        self.fresh: dict[str, int] = {}  # beats heard here since they were last told: id, calls

    def _mark(self, life: Life) -> None:
        """Puts a life into its part's digest, or takes it out again. Those that are gone count for nothing:
        gateways forget them at different times."""
        if life.state is not State.GONE:
            mark = zlib.crc32(f"{life.id} {int(life.state)}".encode())
            self.parts[part(life.id)] ^= mark
            self.digest ^= mark

    def take(self, now: float, row: Row, direct: bool = False) -> bool:
        """Whether it tells something that others have to know: a new life, or a state."""
        state = State(min(max(row.state, 0), 2))
        life = self.lives.get(row.id)
        heard = now - max(0.0, row.age)
        if life is None:
            if state is State.GONE or now - heard > FORGOTTEN * self.beat:
                return False  # unknown here, and no longer of use
            if len(self.lives) >= MOST and not self._room():
                return False
            life = Life(row, state, heard, now + row.warm / 1000, now)
            self.lives[row.id] = life
            self.by_service.setdefault(row.svc, {})[row.id] = life
            self._mark(life)
            self.version += 1
            if direct:
                self.fresh[row.id] = row.calls
            return True
        if row.calls > life.row.calls:
            life.heard = max(life.heard, heard)
            if direct:
                self.fresh[row.id] = row.calls
                life.warm_at = now + row.warm / 1000
            elif row.slots == life.row.slots:
                row = msgspec.structs.replace(life.row, calls=row.calls)
            life.row = msgspec.structs.replace(row, state=int(life.state))
        if state > life.state:
            self._mark(life)
            life.state, life.since = state, now
            life.row = msgspec.structs.replace(life.row, state=int(state))
            self._mark(life)
            self.version += 1
            return True
        return False

    def beats(self, now: float, beats: Iterable[tuple[str, int]]) -> bool:
        """Beats that another gateway has heard; whether one is of a life that is not known here."""
        unknown = False
        for name, calls in beats:
            if life := self.lives.get(name):
                if calls > life.row.calls:
                    life.row = msgspec.structs.replace(life.row, calls=calls)
                    life.heard = now
            else:
                unknown = True
        return unknown

    def told(self) -> list[tuple[str, int]]:
        """Beats to be told to others, once."""
        fresh, self.fresh = self.fresh, {}
        return list(fresh.items())

    def leave(self, now: float, name: str) -> Row | None:
        """A life says that it ends; the row to be told to others, None if it is not known."""
        if (life := self.lives.get(name)) is None:
            return None
        row = msgspec.structs.replace(life.row, state=int(State.GONE), calls=life.row.calls)
        self.take(now, row)
        return self.lives[name].row

    def rows(self, now: float, parts: Sequence[int] = ()) -> list[Row]:
        """All lives; or, beside another's digests of its parts, those of the parts that differ."""
        differ = {n for n, digest in enumerate(self.parts) if n >= len(parts) or parts[n] != digest}
        return [
            msgspec.structs.replace(life.row, warm=max(0.0, life.warm_at - now) * 1000, age=now - life.heard)
            for life in self.lives.values()
            if len(differ) == PARTS or part(life.id) in differ
        ]

    def may_serve(self, name: str) -> bool:
        """Whether something new may be sent to a life."""
        life = self.lives.get(name)
        return life is not None and life.state is State.UP

    def usable(self, now: float, service: str) -> list[Life]:
        """Those that may get something new; the silent ones only where there is no other."""
        up = [life for life in self.by_service.get(service, {}).values() if life.state is State.UP]
        heard = [life for life in up if now - life.heard <= SILENT * self.beat]
        return heard or up

    def sweep(self, now: float) -> list[str]:
        """Forgets; returns the names."""
        gone = []
        for name, life in self.lives.items():
            if life.state is State.GONE:
                if now - life.since > GONE_FOR:
                    gone.append(name)
            elif now - life.heard > FORGOTTEN * self.beat:
                gone.append(name)
        for name in gone:
            self._drop(name)
        return gone

    def _drop(self, name: str) -> None:
        life = self.lives.pop(name)
        self._mark(life)
        self.by_service[life.row.svc].pop(name, None)
        self.version += 1

    def _room(self) -> bool:
        oldest = min(
            (life for life in self.lives.values() if life.state is State.GONE),
            key=lambda x: x.since,
            default=None,
        )
        if oldest:
            self._drop(oldest.id)
        return oldest is not None
