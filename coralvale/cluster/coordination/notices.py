"""What operators are told of a batch: locks that left their holder without its doing."""

from __future__ import annotations

from collections.abc import Sequence

from attrs import frozen

from coralvale.cluster.coordination.model import Acquire, Batch, Expire, Granted, Outcome
from coralvale.cluster.coordination.state import CoordinationState


@frozen
class TakenOver:
    """A lock was granted after its holder's time was over."""

    name: str
    owner_before: str
    fence_before: int
    owner: str
    fence: int


@frozen
class ExpiredByHand:
    """An operator took a lock from its holder."""

    name: str
    owner: str
    fence: int
    reason: str


Notice = TakenOver | ExpiredByHand


def holders(state: CoordinationState, batch: Batch) -> dict[int, str]:
    """Owners, by their fences, of the locks that the batch may take away; to be asked before it is applied."""
    found = {}
    for operation in batch.operations:
        if isinstance(operation, Acquire | Expire) and (lock := state.locks.get(operation.name)):
            found[lock.fence] = lock.owner
    return found


def notices(batch: Batch, outcomes: Sequence[Outcome], before: dict[int, str], mine: bool) -> list[Notice]:
    """`before`: what `holders` gave. `mine`: this replica proposed the batch; it alone tells of takeovers, which
    are many. What an operator did is told by each replica."""
    left = dict(before)
    found: list[Notice] = []
    for operation, outcome in zip(batch.operations, outcomes, strict=True):
        if isinstance(operation, Acquire) and isinstance(outcome, Granted):
            fence = operation.expired_fence
            if mine and (owner := left.pop(fence, "")):
                found.append(TakenOver(operation.name, owner, fence, operation.owner, outcome.fence))
        elif isinstance(operation, Expire) and operation.reason:
            if owner := left.pop(operation.fence, ""):
                found.append(ExpiredByHand(operation.name, owner, operation.fence, operation.reason))
    return found
