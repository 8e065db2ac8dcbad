"""Verdicts of the rate limiter on requests, and messages that it has to send to other gateways."""

from __future__ import annotations

from enum import Enum, unique

from attrs import field, frozen


@unique
class Source(Enum):
    """Where the token of an admitted request came from."""

    OWN = "own part"
    GRANTED = "granted by another"
    NONE = "no limit"


@frozen
class Admitted:
    """The request may proceed. `taken_at`: when the token was taken (s), needed to refund it."""

    source: Source
    taken_at: float = field(default=0.0, eq=False)


@frozen
class Refused:
    """The request is refused. `retry_after`: seconds after which the client may retry."""

    retry_after: float


@frozen
class Waiting:
    """The request waits for a token from another gateway; a `Decided` action follows."""


Verdict = Admitted | Refused | Waiting


@frozen
class Decided:
    """Verdict on a request that waited. `ticket`: the one that was passed with the request."""

    ticket: object
    verdict: Admitted | Refused


@frozen
class AskTokens:
    """Ask for tokens, to be sent to another owner of the tenant's quota."""

    to: str
    number: int
    tenant: str
    count: int


@frozen
class GrantTokens:
    """Answer to an ask. `retry_after`: s for which asking again is of no use, if fewer were granted."""

    to: str
    number: int
    tenant: str
    count: int
    retry_after: float


@frozen
class ReturnTokens:
    """Granted tokens that will not be used. `number`: of the ask that they were granted for."""

    to: str
    number: int
    tenant: str
    count: int


Action = Decided | AskTokens | GrantTokens | ReturnTokens
