"""A snapshot on its way to a replica, in parts of a bounded size that go on where they broke off."""

from __future__ import annotations

from zlib import crc32

import msgspec
from attrs import define, field

from coralvale.cluster.consensus.messages import Snapshot, SnapshotPart

PART_BYTES = 64 * 1024  # bytes
PART_RESEND_S = 2.0  # s until a part that was not answered is sent again: its link may be slow
MAX_SNAPSHOT_BYTES = 96 * 1024 * 1024  # bytes of a snapshot that a replica takes

_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Snapshot).decode


@define
class SnapshotUpload:
    """At the leader: one snapshot for one replica."""

    seq: int
    data: bytes
    checksum: int
    offset: int = 0  # up to where the other has it
    sent_at: float = -1e9  # when the part from there was sent

    @classmethod
    def of(cls, snapshot: Snapshot) -> SnapshotUpload:
        data = _encode(snapshot)
        return cls(snapshot.seq, data, crc32(data))

    def next_part(self, now: float, view: int, sender: str) -> SnapshotPart | None:
        """The next part, None while one is on its way."""
        if self.offset >= len(self.data) or now - self.sent_at < PART_RESEND_S:
            return None
        self.sent_at = now
        piece = self.data[self.offset : self.offset + PART_BYTES]
        return SnapshotPart(view, sender, self.seq, self.checksum, len(self.data), self.offset, piece)

    def acknowledge(self, checksum: int, offset: int) -> bool:
        """The other has the snapshot up to `offset`; whether this is news."""
        if checksum != self.checksum or offset == self.offset or offset > len(self.data):
            return False
        self.offset, self.sent_at = offset, -1e9
        return True


@define
class SnapshotDownload:
    """At the replica that lacks it. A new leader with the same snapshot goes on where the one before was."""

    key: tuple[int, int, int] = (0, 0, 0)  # seq, checksum, size
    data: bytearray = field(factory=bytearray)

    def add_part(self, part: SnapshotPart) -> Snapshot | None:
        """The snapshot, once it is whole and as it was sent."""
        key = (part.seq, part.checksum, part.size)
        if part.size > MAX_SNAPSHOT_BYTES:
            return None
        if key != self.key:
            self.key, self.data = key, bytearray()
        if part.offset == len(self.data):
            self.data += part.data[: part.size - len(self.data)]
        if len(self.data) < part.size:
            return None
        data, self.data, self.key = bytes(self.data), bytearray(), (0, 0, 0)
        if crc32(data) != part.checksum:
            return None
        try:
            return _decode(data)
        except msgspec.MsgspecError:
            return None
