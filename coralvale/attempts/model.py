"""Records of the journal, the verdicts, the errors, and the files that it is kept in.

Times are seconds of Unix time on the gateway's clock. Bodies are not kept, only their digests.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from coralvale.interface import Outcome


class JournalError(Exception):
    """The journal cannot be used; the message is one line that names the file."""


End = Outcome  # how an attempt ended, as the decisions call it
NOT_RUN = frozenset((End.FULL, End.CONNECT_FAILED, End.NOT_SENT))


class Verdict(Enum):
    """What a support engineer is told of one request."""

    SAVED = "saved"  # a host said so
    NOT_SENT = "not sent"  # no attempt reached a host that took it: a new one does no harm
    FAILED = "failed"  # a host answered that it failed
    MAY_HAVE_RUN = "may have run: don't retry"


@dataclass(frozen=True, slots=True)
class Intent:
    """Attempt `attempt` of a request is about to be sent to `node`; durable before its first byte goes."""

    request: str
    attempt: int
    at: float
    station: str
    cls: str
    node: str
    method: str = ""
    target: str = ""
    digest: str = ""  # of the body


@dataclass(frozen=True, slots=True)
class Ended:
    """How an attempt ended."""

    request: str
    attempt: int
    at: float
    end: End


@dataclass(frozen=True, slots=True)
class Answered:
    """The final answer that the client was given."""

    request: str
    at: float
    status: int


@dataclass(frozen=True, slots=True)
class Checkpoint:
    """All that was open when the segment began stands before this, `count` intents: recovery looks no further."""

    at: float
    count: int


Record = Intent | Ended | Answered | Checkpoint


class File(Protocol):
    """A file that is written from its beginning to its end."""

    def write(self, data: bytes) -> None:
        """Appends. Raises OSError; some of it may have been written then."""

    def sync(self) -> None:
        """Makes all that was written durable. Raises OSError; none of it may be relied on then."""

    def close(self) -> None: ...


class Files(Protocol):
    """A folder of the journal."""

    def names(self) -> list[str]: ...

    def read(self, name: str) -> bytes: ...

    def size(self, name: str) -> int: ...

    def create(self, name: str) -> File:
        """A new, empty file. Raises OSError."""

    def rename(self, name: str, new: str) -> None:
        """Gives a file another name, durably. Raises OSError."""

    def remove(self, name: str) -> None: ...
