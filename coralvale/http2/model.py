"""Types of HTTP/2 to hosts: bounds, events, errors.

The one fact that the decision module is told beyond answers is a request's fate. NOT_RUN is said where RFC 9113
lets us know it, and nowhere else:

  rule                                        where
  ------------------------------------------  -----------------------------------------------
  no byte of it was given to the socket       section 5.1: its stream is idle for the host
  its stream is above the last id of GOAWAY   section 6.8
  its stream was reset with REFUSED_STREAM    section 8.7, before any part of an answer came

All else that ends without a whole answer is UNKNOWN: it may have run.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Fate(Enum):
    """What is known of a request that ended without a whole answer."""

    NOT_RUN = "not run"
    UNKNOWN = "unknown"


class Code(Enum):
    """Error codes of RFC 9113, section 7, that this end sends."""

    NO_ERROR = 0x0
    PROTOCOL_ERROR = 0x1
    FRAME_SIZE_ERROR = 0x6
    REFUSED_STREAM = 0x7
    CANCEL = 0x8
    ENHANCE_YOUR_CALM = 0xB


class RequestError(ValueError):
    """A request that cannot be put in HTTP/2; the message names the field. Nothing of it was sent."""


@dataclass(frozen=True, slots=True)
class Limits:
    """What a host may make this end hold or do. Bytes and seconds."""

    streams: int = 100  # open at once on a connection, whatever more the host allows
    window: int = 65_535  # of an answer that may be under way to a slow client; RFC 9113, 6.9.2
    header_bytes: int = 64 * 1024  # of one answer's fields, packed or unpacked
    control_frames_per_s: float = 200.0  # frames a second that carry no part of an answer, on average
    control_frame_burst: float = 1000.0  # of those, at once
    ping_after_s: float = 2.0  # of silence with streams open
    ping_timeout_s: float = 1.0  # for anything to come after that


@dataclass(frozen=True, slots=True)
class Ready:
    """The host's first SETTINGS came: it speaks HTTP/2, and requests may go out."""


@dataclass(frozen=True, slots=True)
class Sent:
    """The whole request was given to the socket."""

    key: int


@dataclass(frozen=True, slots=True)
class Head:
    """Status and fields of the final answer."""

    key: int
    status: int
    headers: list[tuple[bytes, bytes]]


@dataclass(frozen=True, slots=True)
class Data:
    """A part of the answer. `Connection.consumed` must follow once it has been passed on."""

    key: int
    data: bytes
    credit: int  # bytes of the stream's window that it took, padding among them


@dataclass(frozen=True, slots=True)
class Answered:
    """The answer is whole."""

    key: int


@dataclass(frozen=True, slots=True)
class Failed:
    """The request ended without a whole answer."""

    key: int
    fate: Fate
    why: str
    by_host: bool = False  # the host has said so, by GOAWAY or REFUSED_STREAM


@dataclass(frozen=True, slots=True)
class Closing:
    """Nothing new goes out on this connection; what is out may end."""

    why: str


@dataclass(frozen=True, slots=True)
class Closed:
    """The connection is over: what is left to be sent is sent, then it is closed."""

    why: str
    code: int


Event = Ready | Sent | Head | Data | Answered | Failed | Closing | Closed
