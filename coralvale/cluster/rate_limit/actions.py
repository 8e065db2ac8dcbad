"""What the rate limiter says of a request, and what it has to send to other gateways."""

from __future__ import annotations

from enum import Enum, unique

from attrs import field, frozen


@unique
class Source(Enum):
    """Where the token of a request came from."""

    OWN = "own part"
    GRANTED = "granted by another"
    NONE = "no limit"


@frozen
class Admitted:
    """`at`: when the token was taken, to give it back by."""

    source: Source
    taken_at: float = field(default=0.0, eq=False)


@frozen
class Refused:
    """`wait`: s after which the client may come back."""

    retry_after: float


@frozen
class Waiting:
    """A token is being asked for: a `Decided` follows."""


Verdict = Admitted | Refused | Waiting


@frozen
class Decided:
    """What becomes of a request that waited, by the ticket that it was entered with."""

    ticket: object
    verdict: Admitted | Refused


@frozen
class AskTokens:
    """To be sent to another owner."""

    to: str
    number: int
    tenant: str
    count: int


@frozen
class GrantTokens:
    """The answer to an ask. `wait`: s for which it is of no use to ask again, where fewer are granted."""

    to: str
    number: int
    tenant: str
    count: int
    retry_after: float


@frozen
class ReturnTokens:
    """Granted tokens that were not used and never will be. `number`: of the ask that they were granted for."""

    to: str
    number: int
    tenant: str
    count: int


Action = Decided | AskTokens | GrantTokens | ReturnTokens
