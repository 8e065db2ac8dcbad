"""Records of the journal, verdicts, errors, and the interface of the files that the journal is kept in.

Times are seconds of Unix time on the gateway's clock. Bodies of requests are not stored, only their
digests.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from coralvale.interface import Outcome


class JournalError(Exception):
    """The journal cannot be used; the message is one line that names the file."""


End = Outcome  # the routing decisions use the same enum
NOT_RUN = frozenset((End.FULL, End.CONNECT_FAILED, End.NOT_SENT))  # the request certainly did not run


class Verdict(Enum):
    """Whether a request ran, as reported to a support engineer."""

    SAVED = "saved"  # a host answered with success
    NOT_SENT = "not sent"  # no host accepted an attempt: retrying is safe
    FAILED = "failed"  # a host answered with an error
    MAY_HAVE_RUN = "may have run: don't retry"


@dataclass(frozen=True, slots=True)
class Intent:
    """Attempt `attempt` of a request is about to be sent to `node`; durable before its first byte is sent."""

    request: str
    attempt: int
    at: float
    station: str
    cls: str
    node: str
    method: str = ""
    target: str = ""
    digest: str = ""  # of the request body


@dataclass(frozen=True, slots=True)
class Ended:
    """How an attempt ended."""

    request: str
    attempt: int
    at: float
    end: End


@dataclass(frozen=True, slots=True)
class Answered:
    """The final answer that was sent to the client."""

    request: str
    at: float
    status: int


@dataclass(frozen=True, slots=True)
class Checkpoint:
    """Ends the `count` open intents copied to the start of a segment: recovery reads no older segment."""

    at: float
    count: int


Record = Intent | Ended | Answered | Checkpoint


class File(Protocol):
    """A file that is written sequentially."""

    def write(self, data: bytes) -> None:
        """Appends `data`. Raises OSError; part of it may then have been written."""

    def sync(self) -> None:
        """Makes all written data durable.

        Raises OSError; then nothing written since the last successful sync can be relied on.
        """

    def close(self) -> None: ...


class Files(Protocol):
    """The directory of a journal."""

    def names(self) -> list[str]: ...

    def read(self, name: str) -> bytes: ...

    def size(self, name: str) -> int: ...

    def create(self, name: str) -> File:
        """Creates an empty file and opens it. Raises OSError."""

    def rename(self, name: str, new: str) -> None:
        """Renames a file durably. Raises OSError."""

    def remove(self, name: str) -> None: ...
