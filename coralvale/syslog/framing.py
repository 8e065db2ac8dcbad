"""Octet counting (RFC 6587, section 3.4.1; RFC 5425, section 4.3): `MSG-LEN SP SYSLOG-MSG`, both ways. No I/O.

The counted form is the only one that is written: a message may then hold any byte, and none is split at what
happens to look like its end. What is read may be either: a frame that begins with a digit is counted, all else
ends at a line feed (3.4.2), since a message of RFC 5424 begins with `<`.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator

MOST = 1 << 20  # bytes of one message; what claims more is skipped to the next line feed and told as bad
DIGITS = b"0123456789"


def frame(message: bytes) -> bytes:
    """A message as it goes out on a stream."""
    return b"%d %b" % (len(message), message)


class Bad(bytes):
    """Bytes that are no frame."""


class Splitter:
    """Messages out of a stream that comes in pieces of any size. It keeps `most` bytes and a piece at most."""

    def __init__(self, most: int = MOST) -> None:
        self.most, self.rest, self.skipping = most, b"", False

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Whole messages, and `Bad` in place of what is none."""
        buffer, at = self.rest + data if self.rest else data, 0
        while at < len(buffer):
            if self.skipping:
                end = buffer.find(b"\n", at)
                if end < 0:
                    at = len(buffer)
                    break
                self.skipping, at = False, end + 1
                continue
            if buffer[at] == 60 and (last := buffer.rfind(b"\n", at)) > 0:  # lines, as long as they are
                for line in buffer[at:last].split(b"\n"):
                    if line[:1] != b"<":
                        break
                    at += len(line) + 1
                    yield line.removesuffix(b"\r") if len(line) <= self.most else Bad(line[:80])
                if at > last or buffer[at] == 60:
                    continue
            if buffer[at] in DIGITS:
                blank = buffer.find(b" ", at, at + 9)
                if blank < 0 and len(buffer) - at < 9 and buffer[at:].isdigit():
                    break  # the count is not whole
                count = buffer[at:blank]
                if blank >= 0 and count.isdigit() and 0 < int(count) <= self.most:
                    end = blank + 1 + int(count)
                    # A counted message begins with `<`; if it does not, this is a line that begins with a digit.
                    if blank + 1 == len(buffer) or (end > len(buffer) and buffer[blank + 1] == 60):
                        break
                    if buffer[blank + 1] == 60:
                        yield buffer[blank + 1 : end]
                        at = end + (buffer[end : end + 1] == b"\n")  # some captures put one behind each
                        continue
            end = buffer.find(b"\n", at)
            if end < 0:
                if len(buffer) - at <= self.most:
                    break
                yield Bad(buffer[at : at + 80])
                self.skipping, at = True, len(buffer)
                break
            line = buffer[at:end].removesuffix(b"\r")
            at = end + 1
            if line:
                yield line if line[0] == 60 else Bad(line[:80])
        self.rest = buffer[at:]

    def end(self) -> Iterator[bytes]:
        """What is left when no more comes: a last line without its end, or half a frame."""
        rest, self.rest = self.rest.rstrip(b"\r\n"), b""
        if rest and not self.skipping:
            yield rest if rest[:1] == b"<" else Bad(rest[:80])


class Arrivals:
    """How many of the messages that were written have arrived, from how many bytes have."""

    def __init__(self) -> None:
        self.ends: deque[int] = deque()
        self.written = 0

    def wrote(self, size: int) -> None:
        self.written += size
        self.ends.append(self.written)

    def reached(self, count: int) -> int:
        """Messages of which the last byte is among the first `count`, since this was last asked."""
        done = 0
        while self.ends and self.ends[0] <= count:
            self.ends.popleft()
            done += 1
        return done
