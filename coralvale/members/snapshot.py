"""What a member keeps on disk: its incarnation, and where the others were. Files are an argument.

What is kept is a hint, never a view: addresses are asked, and only what they answer is believed. So an old
snapshot does no harm; past TRUST it is left alone all the same, since addresses may by then be somebody else's.
Buckets are not kept: one that ends hands them over, and of one that dies nobody can say what it lent last.
"""

from __future__ import annotations

import msgspec

from coralvale.disk import Files, encode_record, read_record
from coralvale.members.model import Address, MembersError

NAME = "members"
TRUST = 24 * 3600.0  # s for which addresses are asked
LATER = 60.0  # s that a snapshot may lie in the future: a clock that was put right
MOST = 64  # addresses that are kept
BYTES = 64 * 1024


class Kept(msgspec.Struct, frozen=True, array_like=True):
    """A snapshot."""

    cluster: str
    name: str
    incarnation: int
    at: float  # Unix time, s
    others: list[tuple[str, int]]


_DECODER = msgspec.msgpack.Decoder(Kept)


def load(files: Files, cluster: str, name: str, now: float) -> tuple[int, list[Address]]:
    """The incarnation that was last kept, 0 if none was, and addresses to ask. `now` is Unix time.

    Raises MembersError for a snapshot of another cluster or member: the folder is somebody else's. What is
    damaged counts as none.
    """
    try:
        data = files.read(NAME)
    except FileNotFoundError:
        return 0, []
    except OSError as error:
        raise MembersError(f"directory: {error.strerror}") from None
    told = read_record(data, 0, BYTES)
    if told is None:
        return 0, []
    try:
        kept = _DECODER.decode(told[0])
    except (msgspec.DecodeError, ValueError):
        return 0, []
    if (kept.cluster, kept.name) != (cluster, name):
        whose = f"{kept.name!r} of {kept.cluster!r}"
        raise MembersError(f"directory: belongs to {whose}, expected {name!r} of {cluster!r}")
    fresh = -LATER <= now - kept.at <= TRUST
    return kept.incarnation, [(host, port) for host, port in kept.others] if fresh else []


def save(files: Files, cluster: str, name: str, incarnation: int, now: float, others: list[Address]) -> None:
    """Keeps them, all or nothing. Raises OSError; what was kept before stands then."""
    kept = Kept(cluster, name, incarnation, now, others[:MOST])
    files.replace(NAME, encode_record(msgspec.msgpack.encode(kept)))
