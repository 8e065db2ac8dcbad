"""Pages of locks, numbers and keys for operators, from the state and the leader's leases."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from heapq import nsmallest

from coralvale.cluster.coordination.leases import Leases
from coralvale.cluster.coordination.model import KeyRow, Listed, ListNames, LockRow, NameKind, NumberRow, Row
from coralvale.cluster.coordination.state import CoordinationState


def list_names(now: float, state: CoordinationState, leases: Leases, call: ListNames) -> Listed:
    """The requested page, in order of names."""
    names, row = _source(now, state, leases, call.kind)
    wanted = (name for name in names if name > call.after and name.startswith(call.prefix))
    found = nsmallest(call.limit + 1, wanted)
    return Listed(tuple(row(name) for name in found[: call.limit]), len(found) > call.limit)


def _source(
    now: float, state: CoordinationState, leases: Leases, kind: NameKind
) -> tuple[Iterable[str], Callable[[str], Row]]:
    match kind:
        case NameKind.LOCKS:
            return state.locks, lambda name: _lock(now, state, leases, name)
        case NameKind.NUMBERS:
            return state.numbers, lambda name: NumberRow(name, state.numbers[name])
        case NameKind.KEYS:
            return state.values, lambda name: _key(state, name)


def _lock(now: float, state: CoordinationState, leases: Leases, name: str) -> LockRow:
    lock = state.locks[name]
    renewed = leases.last_renewed_at(name, lock)
    left = leases.end(name, lock) - now
    return LockRow(
        name, lock.owner, lock.fence, lock.hold_ms, None if renewed is None else now - renewed, left
    )


def _key(state: CoordinationState, name: str) -> KeyRow:
    value = state.values[name]
    return KeyRow(name, value.value, value.revision)
