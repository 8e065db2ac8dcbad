"""Notices for operators about a batch: locks that their holders lost without releasing them."""

from __future__ import annotations

from collections.abc import Sequence

from attrs import frozen

from coralvale.cluster.coordination.model import Acquire, Batch, Expire, Granted, Outcome
from coralvale.cluster.coordination.state import CoordinationState


@frozen
class TakenOver:
    """A lock was granted to a new owner after the previous holder's lease had ended."""

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


def affected_holders(state: CoordinationState, batch: Batch) -> dict[int, str]:
    """Owners by fence of the locks that the batch may take away. Call it before the batch is applied."""
    found = {}
    for operation in batch.operations:
        if isinstance(operation, Acquire | Expire) and (lock := state.locks.get(operation.name)):
            found[lock.fence] = lock.owner
    return found


def collect_notices(
    batch: Batch, outcomes: Sequence[Outcome], before: dict[int, str], proposed_here: bool
) -> list[Notice]:
    """Notices about an applied batch. `before`: the result of `affected_holders`. `proposed_here`: whether
    this replica proposed the batch; only that one reports takeovers, which are frequent. An operator's expiry
    is reported by every replica."""
    left = dict(before)
    found: list[Notice] = []
    for operation, outcome in zip(batch.operations, outcomes, strict=True):
        if isinstance(operation, Acquire) and isinstance(outcome, Granted):
            fence = operation.expired_fence
            if proposed_here and (owner := left.pop(fence, "")):
                found.append(TakenOver(operation.name, owner, fence, operation.owner, outcome.fence))
        elif isinstance(operation, Expire) and operation.reason:
            if owner := left.pop(operation.fence, ""):
                found.append(ExpiredByHand(operation.name, owner, operation.fence, operation.reason))
    return found
