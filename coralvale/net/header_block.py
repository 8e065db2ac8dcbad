"""The header lines of a message, kept as one piece of memory."""

from __future__ import annotations

from collections.abc import Iterator


class HeaderBlock:
    """Header lines in the order received.

    As tuples of bytes, lines of a few bytes would take fifty times their size. Names hold no colon and values no
    line feed, since the parser ends them there.
    """

    __slots__ = ("_lines",)

    def __init__(self) -> None:
        self._lines = bytearray()

    def append(self, name: bytes, value: bytes) -> None:
        """Adds a line."""
        self._lines += b"%b:%b\n" % (name, value)

    def __iter__(self) -> Iterator[tuple[bytes, bytes]]:
        """Names and values, made anew for each iteration."""
        for line in bytes(self._lines).split(b"\n")[:-1]:
            name, _, value = line.partition(b":")
            yield name, value

    def last(self, name: bytes) -> bytes | None:
        """The value of the last line with a name, which is given in lower case; None without one."""
        found = None
        for other, value in self:
            if other.lower() == name:
                found = value
        return found

    def clear(self) -> None:
        """Drops all lines."""
        self._lines = bytearray()

    @property
    def held_bytes(self) -> int:
        """The memory that the lines take."""
        return len(self._lines)
