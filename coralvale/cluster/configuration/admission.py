"""Admission of operators' changes: the strict check of what was sent, made by the leader before it proposes.

Only the leader admits. What was committed is read by `model.parse_configuration`, which takes what every earlier
version took: a member must not refuse what a leader of another version has admitted, nor what is on its disk.

PROTOCOL.md: a configuration that cannot be read whole is invalid. So a value of another JSON type than its field
has is refused, never converted. Fields that are not known are allowed; docs/design/admission.md has the table of
what is refused and why. The first error of an item ends the item, and the check ends with the errors that are
reported.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from itertools import chain
from typing import Annotated, Any

import msgspec
from msgspec import UNSET, Meta, Raw, Struct, UnsetType

from coralvale.cluster.configuration.model import problem_of, shorten
from coralvale.cluster.configuration.stepwise import open_table
from coralvale.cluster.errors import Kind, Problem

MAX_WHOLE_NUMBER = 2**53  # the largest up to which JSON numbers are exact everywhere
MAX_DEPTH = 64  # of tables and lists within one item or field
MAX_CONTAINERS = 100_000  # tables and lists within one item or field; each takes 60 bytes of memory and more

# A number may be written 2 or 2.0.
WholeNumber = Annotated[float, Meta(ge=0, le=MAX_WHOLE_NUMBER, multiple_of=1)]
PositiveWholeNumber = Annotated[float, Meta(ge=1, le=MAX_WHOLE_NUMBER, multiple_of=1)]
NonNegative = Annotated[float, Meta(ge=0)]
Positive = Annotated[float, Meta(gt=0)]


class SplitFields(Struct):
    """One part of a route's split."""

    Svc: str
    Wt: NonNegative = 1.0


class RouteFields(Struct):
    """A route as sent. Times in ms."""

    Vhost: str
    PathPrefix: str
    Kind: str
    TimeoutMs: float
    TargetMs: NonNegative = 0.0
    Prio: WholeNumber = 0
    Tries: WholeNumber = 1
    Public: bool = False
    Svc: str = ""
    Split: list[SplitFields] = []
    Region: str = ""


class ServiceFields(Struct):
    """A service as sent."""

    HealthPath: str = "/"
    MaxConns: WholeNumber = 0
    Protocol: str = "h1"
    Tls: bool = False
    Region: str = ""


class TenantFields(Struct):
    """A tenant as sent. The rate is in requests a second."""

    ApiKeys: list[str] = []
    Prio: WholeNumber | None = None
    RatePerS: NonNegative = 0.0
    Burst: NonNegative = 0.0


class LimitsFields(Struct):
    """The limits of clients as sent: sizes in bytes, times in ms. 0 is refused where it would shut out all."""

    HeaderBytes: PositiveWholeNumber = 1
    BodyBytes: WholeNumber = 0
    HdrReadMs: Positive = 1.0
    IdleMs: Positive = 1.0


class WholeBody(Struct):
    """A body of config.replace. A section may be null, which is an empty one."""

    Ver: int
    Routes: Raw | UnsetType = UNSET
    Svcs: Raw | UnsetType = UNSET
    Tenants: Raw | UnsetType = UNSET
    Limits: Raw | UnsetType = UNSET


class UpsertFields(Struct):
    """Items to add or replace, by section and name."""

    Routes: Raw | UnsetType = UNSET
    Svcs: Raw | UnsetType = UNSET
    Tenants: Raw | UnsetType = UNSET
    Limits: Raw | UnsetType = UNSET


class RemoveFields(Struct):
    """Names of items to remove, by section."""

    Routes: list[str] = []
    Svcs: list[str] = []
    Tenants: list[str] = []


Nothing = Annotated[list[Any], Meta(max_length=0)]


class UpdateBody(Struct):
    """A body of config.update."""

    Ver: int
    Upsert: UpsertFields | Nothing | None = None
    Remove: RemoveFields | Nothing | None = None


_decode_whole = msgspec.json.Decoder(WholeBody).decode
_decode_update = msgspec.json.Decoder(UpdateBody).decode
_decode_limits = msgspec.json.Decoder(LimitsFields | None).decode
_decode_any = msgspec.json.Decoder().decode
_decode_fields = msgspec.json.Decoder(dict[str, Raw]).decode
_KNOWN_FIELDS = {*WholeBody.__struct_fields__, *UpdateBody.__struct_fields__}
_ITEM_DECODERS: Mapping[str, Callable[[Raw], object]] = {
    "Routes": msgspec.json.Decoder(RouteFields).decode,
    "Svcs": msgspec.json.Decoder(ServiceFields).decode,
    "Tenants": msgspec.json.Decoder(TenantFields).decode,
}


def admit(body: bytes, whole: bool) -> Problem | None:
    """The problem with what was sent by itself, None if there is none. `whole`: by config.replace.

    What depends on the configuration that the change builds on is checked by `model.parse_configuration`.
    """
    try:
        sent = _decode_whole(body) if whole else _decode_update(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return Problem(Kind.INVALID, f"cannot be read whole: {_with_place('', error)}")
    fields = _decode_fields(body)
    unknown = (
        (shorten(name), _nesting_error(raw)) for name, raw in fields.items() if name not in _KNOWN_FIELDS
    )
    if problem := problem_of(f"{name}: {error}" for name, error in unknown if error):
        return problem
    parts = sent if isinstance(sent, WholeBody) else sent.Upsert
    if not isinstance(parts, WholeBody | UpsertFields):
        return None
    return problem_of(
        chain(
            _section_errors("Routes", parts.Routes, whole),
            _section_errors("Svcs", parts.Svcs, whole),
            _section_errors("Tenants", parts.Tenants, whole),
            _limits_errors(parts.Limits),
        )
    )


def _section_errors(section: str, raw: Raw | UnsetType, nullable: bool) -> Iterator[str]:
    """Error texts for a section and its items. `nullable`: null stands for an empty one."""
    if not isinstance(raw, Raw) or (nullable and bytes(raw) == b"null"):
        return
    try:
        items = open_table(raw)
    except (msgspec.DecodeError, UnicodeDecodeError) as unreadable:
        yield _with_place(section, unreadable)
        return
    decode = _ITEM_DECODERS[section]
    for name, raw in items.items():
        if error := _value_error(decode, raw):
            yield _with_place(f"{section}.{shorten(name)}", error)


def _limits_errors(raw: Raw | UnsetType) -> Iterator[str]:
    if isinstance(raw, Raw) and (error := _value_error(_decode_limits, raw)):
        yield _with_place("Limits", error)


def _value_error(decode: Callable[[Raw], object], raw: Raw) -> Exception | None:
    """Why a value cannot be read as its type."""
    try:
        decode(raw)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return error
    nesting_error = _nesting_error(raw)
    return ValueError(nesting_error) if nesting_error else None


def _nesting_error(raw: Raw) -> str:
    """What is wrong with the tables and lists in a value, also in fields that are not known; "" if nothing."""
    text = bytes(raw)
    brackets = text.count(b"{") + text.count(b"[")  # also those within texts
    if brackets <= MAX_DEPTH:
        return ""
    if brackets > MAX_CONTAINERS:
        return f"more than {MAX_CONTAINERS} tables, lists and opening brackets"
    try:
        level = [_decode_any(raw)]
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return str(error)
    for _ in range(MAX_DEPTH):
        level = [inner for outer in level for inner in _containers_in(outer)]
        if not level:
            return ""
    return f"nested deeper than {MAX_DEPTH}"


def _containers_in(value: Any) -> Iterator[Any]:  # noqa: ANN401
    inner = value.values() if isinstance(value, dict) else value
    return (element for element in inner if isinstance(element, dict | list))


def _with_place(at: str, error: Exception) -> str:
    """An error text with the place of the error. `at`: the place of the item that was read."""
    what, _, path = str(error).partition(" - at `$")
    place = at + path.rstrip("`")
    place = place.removeprefix(".")
    return f"{shorten(place)}: {what}" if place else what
