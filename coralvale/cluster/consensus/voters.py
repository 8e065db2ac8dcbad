"""The encoding of voter sets, and the choice of the next set of voters.

The number of voters is odd at rest: an even number needs as large a majority as the next odd number, and
tolerates no more losses. A further replica is kept up to date as a learner, and replaces a voter that is lost
or leaves. The fault budget is the number of voters whose simultaneous loss must be tolerated:
(min_voters - 1) // 2.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence, Set

import msgspec
from attrs import frozen

from coralvale.cluster.consensus.messages import Member, VoterSet

_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(VoterSet).decode


def encode_voters(voters: VoterSet) -> bytes:
    """The body of a VOTERS entry."""
    return _encode(voters)


def decode_voters(body: bytes) -> VoterSet:
    """The voter set in the body of a VOTERS entry."""
    return _decode(body)


@frozen
class Limits:
    """Limits for changes of the voters. Times are seconds without a reply."""

    min_voters: int  # that the fault budget needs
    replace_after: float  # after which a learner may take a voter's place
    remove_spare_after: float  # after which a voter beyond `min_voters` is removed without a replacement


def next_voters(
    voters: Sequence[Member],
    learners: Sequence[Member],
    silent: Mapping[str, float],
    leaving: Set[str],
    limits: Limits,
) -> tuple[Member, ...] | None:
    """The set that should follow `voters`, None if it should stay.

    `learners`: those that hold all that is committed; `silent`: seconds since each voter's last reply;
    `leaving`: ids of replicas that ask to leave. The first rule that applies decides; each step is one joint
    configuration.
    """
    same = _same_machine(voters, learners)
    if same:
        return _replace(voters, *same)
    absent = sorted(
        (m for m in voters if silent.get(m.id, 0.0) > limits.replace_after), key=lambda m: -silent[m.id]
    )
    replaceable = [m for m in voters if m.id in leaving] + absent  # those that leave come first
    if learners and replaceable:
        return _replace(voters, replaceable[0], learners[0])
    if learners and (len(voters) < limits.min_voters or len(voters) % 2 == 0):
        return (*voters, learners[0])
    if len(learners) >= 2:  # two at a time, so that the number of voters stays odd
        return (*voters, *learners[:2])
    if len(voters) > limits.min_voters:
        return _remove_spare(voters, silent, leaving, limits)
    return None


def _same_machine(voters: Sequence[Member], learners: Sequence[Member]) -> tuple[Member, Member] | None:
    """A voter whose address or name now belongs to a learner, and that learner: the voter's disk is lost for
    good."""
    for learner in learners:
        for voter in voters:
            if voter.ip == learner.ip or voter.name == learner.name:
                return voter, learner
    return None


def _replace(voters: Sequence[Member], lost: Member, learner: Member) -> tuple[Member, ...]:
    return (*(m for m in voters if m.id != lost.id), learner)


def _remove_spare(
    voters: Sequence[Member], silent: Mapping[str, float], leaving: Set[str], limits: Limits
) -> tuple[Member, ...] | None:
    """The voters without one that the fault budget does not need, None if all stay.

    Of an even number, a voter that leaves is removed, else the one that was silent for longest; if it is
    still running it becomes a learner. Of an odd number, a voter is removed if it leaves and the voters that
    stay could not tolerate the losses of the fault budget, or if it was silent for `remove_spare_after`.
    """
    if len(voters) % 2 == 0:
        quietest = max(voters, key=lambda m: (m.id in leaving, silent.get(m.id, 0.0)))
        return tuple(m for m in voters if m.id != quietest.id)
    budget = (limits.min_voters - 1) // 2
    # Without one voter that leaves and `budget` further ones, less than a majority of `voters` would stay.
    too_few_stay = len(voters) - 1 - budget < len(voters) // 2 + 1
    for voter in voters:
        if (voter.id in leaving and too_few_stay) or silent.get(voter.id, 0.0) > limits.remove_spare_after:
            return tuple(m for m in voters if m.id != voter.id)
    return None
