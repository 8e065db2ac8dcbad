"""The transfer of a snapshot to a replica, in parts of bounded size; an interrupted transfer is resumed."""

from __future__ import annotations

from zlib import crc32

import msgspec
from attrs import define, field

from coralvale.cluster.consensus.messages import Snapshot, SnapshotPart

PART_BYTES = 64 * 1024
PART_RESEND_S = 2.0  # until an unanswered part is sent again: the link may be slow
MAX_SNAPSHOT_BYTES = 96 * 1024 * 1024  # larger snapshots are refused

_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Snapshot).decode


@define
class SnapshotUpload:
    """At the leader: the transfer of one snapshot to one replica."""

    seq: int
    data: bytes
    checksum: int
    offset: int = 0  # bytes that the receiver has
    sent_at: float = -1e9  # when the part from `offset` was sent

    @classmethod
    def of(cls, snapshot: Snapshot) -> SnapshotUpload:
        """The upload of a snapshot, from its beginning."""
        data = _encode(snapshot)
        return cls(snapshot.seq, data, crc32(data))

    def next_part(self, now: float, view: int, sender: str) -> SnapshotPart | None:
        """The next part, None while a part is in flight or all of the snapshot has arrived."""
        if self.offset >= len(self.data) or now - self.sent_at < PART_RESEND_S:
            return None
        self.sent_at = now
        piece = self.data[self.offset : self.offset + PART_BYTES]
        return SnapshotPart(view, sender, self.seq, self.checksum, len(self.data), self.offset, piece)

    def acknowledge(self, checksum: int, offset: int) -> bool:
        """Records that the receiver has `offset` bytes; whether this changed anything."""
        if checksum != self.checksum or offset == self.offset or offset > len(self.data):
            return False
        self.offset, self.sent_at = offset, -1e9
        return True


@define
class SnapshotDownload:
    """At the receiver: the parts so far. A new leader with the same snapshot resumes where the last one
    stopped."""

    key: tuple[int, int, int] = (0, 0, 0)  # seq, checksum, size
    data: bytearray = field(factory=bytearray)

    def add_part(self, part: SnapshotPart) -> Snapshot | None:
        """Adds a part; returns the snapshot once it is complete and its checksum is right."""
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
