"""Who votes: voter sets as bytes of an entry, and which set is to follow the one in force.

The number of voters is odd at rest: an even one needs as large a majority as the next odd one, and bears no
more losses. A disk beyond it is kept up to date as a learner, and takes the place of a voter that is lost or
leaves.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence, Set

import msgspec
from attrs import frozen

from coralvale.cluster.consensus.messages import Member, VoterSet

_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(VoterSet).decode


def encode_voters(voters: VoterSet) -> bytes:
    return _encode(voters)


def decode_voters(body: bytes) -> VoterSet:
    return _decode(body)


@frozen
class Limits:
    """Times in seconds without a reply; `least`: voters that the fault budget needs."""

    min_voters: int
    replace_after: float  # after which a learner may take a voter's place
    remove_spare_after: float  # after which a voter beyond `least` is removed with nobody in its place


def next_voters(
    voters: Sequence[Member],
    learners: Sequence[Member],
    silent: Mapping[str, float],
    leaving: Set[str],
    limits: Limits,
) -> tuple[Member, ...] | None:
    """The set that is to follow `voters`, None if it is to stay.

    `learners`: those that hold all that is committed; `silent`: seconds since a voter's last reply. Rules in
    their order; each step is one joint configuration.
    """
    same = _same_machine(voters, learners)
    if same:
        return _replaced(voters, *same)
    absent = sorted(
        (m for m in voters if silent.get(m.id, 0.0) > limits.replace_after), key=lambda m: -silent[m.id]
    )
    departing = [m for m in voters if m.id in leaving] + absent
    if learners and departing:
        return _replaced(voters, departing[0], learners[0])
    if learners and (len(voters) < limits.min_voters or len(voters) % 2 == 0):
        return (*voters, learners[0])
    if len(learners) >= 2:
        return (*voters, *learners[:2])
    if len(voters) > limits.min_voters:
        return _without_spare(voters, silent, leaving, limits)
    return None


def _same_machine(voters: Sequence[Member], learners: Sequence[Member]) -> tuple[Member, Member] | None:
    """A voter at whose address another disk is now: its own is lost for good."""
    for learner in learners:
        for voter in voters:
            if voter.ip == learner.ip or voter.name == learner.name:
                return voter, learner
    return None


def _replaced(voters: Sequence[Member], lost: Member, learner: Member) -> tuple[Member, ...]:
    return (*(m for m in voters if m.id != lost.id), learner)


def _without_spare(
    voters: Sequence[Member], silent: Mapping[str, float], leaving: Set[str], limits: Limits
) -> tuple[Member, ...] | None:
    """A voter beyond the budget's need goes: of an even number the one that was silent for longest, which
    becomes a learner if it is there; else one that leaves while the budget would not be borne without it, or
    that was silent for long."""
    if len(voters) % 2 == 0:
        quietest = max(voters, key=lambda m: (m.id in leaving, silent.get(m.id, 0.0)))
        return tuple(m for m in voters if m.id != quietest.id)
    budget = (limits.min_voters - 1) // 2
    too_few_stay = len(voters) - 1 - budget < len(voters) // 2 + 1
    for voter in voters:
        if (voter.id in leaving and too_few_stay) or silent.get(voter.id, 0.0) > limits.remove_spare_after:
            return tuple(m for m in voters if m.id != voter.id)
    return None
