"""The body of a message, kept in few large pieces however small the pieces are that it comes in."""

from __future__ import annotations

from coralvale.net.memory import PIECE_BYTES

JOINED_PIECE_BYTES = 64 * 1024  # that small pieces are joined to
KEPT_PIECE_BYTES = 16 * 1024  # from which a piece is kept as it came


class BodyBuffer:
    """A body as it comes. Joined as a whole it would be there twice at the end."""

    __slots__ = ("_pieces", "_tail", "size")

    def __init__(self) -> None:
        self._pieces: list[bytes] = []
        self._tail = bytearray()  # small pieces that are not joined yet
        self.size = 0

    def __bool__(self) -> bool:
        return self.size > 0

    def append(self, piece: bytes) -> None:
        """Adds a piece."""
        self.size += len(piece)
        if len(piece) >= KEPT_PIECE_BYTES:
            self._join()
            self._pieces.append(piece)
            return
        self._tail += piece
        if len(self._tail) >= JOINED_PIECE_BYTES:
            self._join()

    def _join(self) -> None:
        if self._tail:
            self._pieces.append(bytes(self._tail))
            self._tail = bytearray()

    @property
    def pieces(self) -> list[bytes]:
        """The body in its pieces."""
        self._join()
        return self._pieces

    @property
    def held_bytes(self) -> int:
        """The memory that the body takes; a byte array has an eighth of its size in reserve."""
        return self.size + len(self._pieces) * PIECE_BYTES + (len(self._tail) >> 3)

    def take(self) -> list[bytes]:
        """Removes the pieces and returns them."""
        self._join()
        taken, self._pieces, self.size = self._pieces, [], 0
        return taken

    def clear(self) -> None:
        """Drops the body."""
        self._pieces, self._tail, self.size = [], bytearray(), 0
