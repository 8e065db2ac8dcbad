"""Types of HTTP/2 to hosts: limits, events, errors.

Besides answers, callers learn one fact about a request: whether it may have run. NOT_RUN is reported only
where RFC 9113 guarantees it:

  rule                                                where
  --------------------------------------------------  ---------------------------------------------------
  no byte of the request was given to the socket      section 5.1: the stream is idle for the host
  the stream is above the last id of a GOAWAY         section 6.8
  the stream was reset with REFUSED_STREAM            section 8.7, before any part of an answer arrived

Every other end without a complete answer is UNKNOWN: the request may have run.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Fate(Enum):
    """Whether a request that ended without a complete answer may have run."""

    NOT_RUN = "not run"
    UNKNOWN = "unknown"


class Code(Enum):
    """Error codes of RFC 9113, section 7, that this end sends or handles."""

    NO_ERROR = 0x0
    PROTOCOL_ERROR = 0x1
    FRAME_SIZE_ERROR = 0x6
    REFUSED_STREAM = 0x7
    CANCEL = 0x8
    ENHANCE_YOUR_CALM = 0xB


class RequestError(ValueError):
    """A request cannot be expressed in HTTP/2; the message names the field. Nothing of it was sent."""


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits on the resources that a host can make this end use."""

    streams: int = 100  # open at once on a connection, even if the host allows more
    window: int = 65_535  # bytes of an answer in flight to a slow client; RFC 9113, 6.9.2
    header_bytes: int = 64 * 1024  # of one answer's fields, compressed or not
    control_frames_per_s: float = 200.0  # average of frames that carry no part of an answer
    control_frame_burst: float = 1000.0  # of the same frames
    ping_after_s: float = 2.0  # without received bytes while streams are open
    ping_timeout_s: float = 1.0  # to receive anything after the PING


@dataclass(frozen=True, slots=True)
class Ready:
    """The host's first SETTINGS arrived: it speaks HTTP/2, and requests may be sent."""


@dataclass(frozen=True, slots=True)
class Sent:
    """The whole request has been encoded into bytes for the socket."""

    key: int


@dataclass(frozen=True, slots=True)
class Head:
    """Status and header fields of the final answer."""

    key: int
    status: int
    headers: list[tuple[bytes, bytes]]


@dataclass(frozen=True, slots=True)
class Data:
    """A part of the answer. The caller calls `Connection.consumed` once it has been passed on."""

    key: int
    data: bytes
    credit: int  # bytes of the stream's window that it used, including padding


@dataclass(frozen=True, slots=True)
class Answered:
    """The answer is complete."""

    key: int


@dataclass(frozen=True, slots=True)
class Failed:
    """The request ended without a complete answer."""

    key: int
    fate: Fate
    why: str
    by_host: bool = False  # reported by the host, with GOAWAY or REFUSED_STREAM


@dataclass(frozen=True, slots=True)
class Closing:
    """No new streams are opened on this connection; open ones may finish."""

    why: str


@dataclass(frozen=True, slots=True)
class Closed:
    """The connection has ended: remaining bytes are written, then the socket is closed."""

    why: str
    code: int


Event = Ready | Sent | Head | Data | Answered | Failed | Closing | Closed
