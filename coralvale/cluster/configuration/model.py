"""The operator's configuration: its types, its validation, and lookups in it.

`Configuration` is not modified after it is built: a gateway replaces the whole object, and only by one with a
higher version. An item that did not change between two versions keeps its object, so parsing a version costs
time only for the items that changed.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from itertools import chain, islice
from typing import Any
from zlib import crc32

import cattrs
import msgspec
from attrs import define, field, frozen

from coralvale.cluster.errors import Kind, Problem

MAX_VERSION = (1 << 63) - 1  # larger numbers have no place in the log's messages and snapshots
MAX_TIMEOUT_MS = 600_000
TARGET_EXCESS_LIMIT_MS = 60_000  # TargetMs may exceed TimeoutMs by less than this
SECTIONS = ("Routes", "Svcs", "Tenants")
MAX_REPORTED_ERRORS = 20  # in one answer; the check ends there
MAX_QUOTED_CHARS = 80  # of a name or value in an error text


@frozen
class Part:
    """One target service of a route with a weighted split."""

    Svc: str
    Wt: float = 1.0


@frozen
class Route:
    """A route: requests to a host below a path prefix, and the services that answer them."""

    Vhost: str
    PathPrefix: str
    Kind: str
    TimeoutMs: float
    TargetMs: float = 0.0
    Prio: int = 0
    Tries: int = 1
    Public: bool = False
    Svc: str = ""
    Split: tuple[Part, ...] = ()
    Region: str = ""  # bound to this region; may only narrow the binding of its services

    @property
    def repeatable(self) -> bool:
        """Whether a request may be sent more than once."""
        return self.Kind == "idempotent"

    @property
    def parts(self) -> tuple[Part, ...]:
        """The target services; a route without a split has one."""
        return self.Split or (Part(self.Svc),)


@frozen
class Service:
    """A service. `HealthPath`: the path of its health check."""

    HealthPath: str = "/"
    MaxConns: int = 0
    Protocol: str = "h1"
    Tls: bool = False
    Region: str = ""  # only gateways of this region may answer; "": any


@frozen
class Tenant:
    """A tenant: its API keys, priority and rate limit."""

    ApiKeys: tuple[str, ...] = ()
    Prio: int | None = None
    RatePerS: float = 0.0
    Burst: float = 0.0


@frozen
class ClientLimits:
    """Limits on client connections: sizes in bytes, times in ms."""

    HeaderBytes: int = 65536
    BodyBytes: int = 33554432
    HdrReadMs: float = 2250.0
    IdleMs: float = 10000.0


_TYPES: dict[str, type] = {"Routes": Route, "Svcs": Service, "Tenants": Tenant}
# Without detailed validation: the first error ends an item, however many of its elements are wrong.
_converter = cattrs.Converter(forbid_extra_keys=False, detailed_validation=False)


@define
class Configuration:
    """One version, indexed for lookups. Not modified after it is built."""

    version: int = 0
    raw: dict[str, Any] = field(factory=dict)
    # By section and name: raw and parsed item.
    items: dict[str, dict[str, tuple[Any, Any]]] = field(factory=dict)
    # By host and prefix: route name and route.
    prefixes: dict[str, dict[str, tuple[str, Route]]] = field(factory=dict)
    max_depth: dict[str, int] = field(factory=dict)  # by host: most slashes in one of its prefixes
    keys: dict[str, str] = field(factory=dict)  # tenant names by API key
    tenants_by_hash: dict[int, str] = field(factory=dict)  # by CRC-32 of the name, as in messages
    limits: ClientLimits = field(factory=ClientLimits)
    has_route_regions: bool = False  # whether any route sets its own Region

    def route(self, host: str, path: str) -> tuple[str, Route] | None:
        """Name and route of the longest matching prefix. The time depends on the slashes in the path, not on
        the number of routes."""
        table = self.prefixes.get(host)
        if table is None:
            return None
        most, end = self.max_depth[host], -1
        ends: list[int] = []
        while len(ends) < most and (end := path.find("/", end + 1)) >= 0:
            ends.append(end + 1)
        for end in reversed(ends):
            if found := table.get(path[:end]):
                return found
        return None

    def service(self, name: str) -> Service | None:
        """The service with this name."""
        found = self.items.get("Svcs", {}).get(name)
        return found[1] if found else None

    def tenant(self, name: str) -> Tenant | None:
        """The tenant with this name."""
        found = self.items.get("Tenants", {}).get(name)
        return found[1] if found else None

    def tenants(self) -> Mapping[str, tuple[Any, Tenant]]:
        """Raw and parsed tenants by name."""
        return self.items.get("Tenants", {})

    def services(self) -> Mapping[str, tuple[Any, Service]]:
        """Raw and parsed services by name."""
        return self.items.get("Svcs", {})


def shorten(text: str) -> str:
    """A name or value from a configuration, cut to a length that fits an error text."""
    return text if len(text) <= MAX_QUOTED_CHARS else text[:MAX_QUOTED_CHARS] + "..."


def problem_of(errors: Iterable[str]) -> Problem | None:
    """The problem that the errors amount to, None if there are none. Takes no more of them than it reports."""
    found = list(islice(errors, MAX_REPORTED_ERRORS + 1))
    if not found:
        return None
    more = ", and more" if len(found) > MAX_REPORTED_ERRORS else ""
    return Problem(Kind.INVALID, "; ".join(found[:MAX_REPORTED_ERRORS]) + more)


def _structure(raw: dict[str, Any], type_: type) -> Any:  # noqa: ANN401
    """The item from its fields; values of other types are converted, as every version has done.

    Raises whatever the conversion of a value raises.
    """
    try:
        return msgspec.convert(raw, type_)  # the same result in less time, where all types are right
    except msgspec.ValidationError:
        return _converter.structure(raw, type_)


def _parse_item(section: str, name: str, raw: Any) -> Any:  # noqa: ANN401
    """The parsed item, or an error text."""
    if not isinstance(raw, dict):
        return f"{section}.{shorten(name)}: expected fields with values"
    try:
        return _structure(raw, _TYPES[section])
    except Exception as error:  # noqa: BLE001 - a converter passes on whatever a value's own conversion raises
        return f"{section}.{shorten(name)}: {shorten(str(error))}"


def _route_errors(
    name: str, route: Route, services: Mapping[str, Any], bound: Mapping[str, str]
) -> Iterator[str]:
    """Error texts for a route. `bound`: regions by name of the services that are bound to one."""
    at = f"Routes.{shorten(name)}"
    if not route.PathPrefix.startswith("/"):
        yield f"{at}.PathPrefix: {shorten(route.PathPrefix)!r} does not begin with a slash"
    if route.Kind not in ("idempotent", "mutating"):
        yield f"{at}.Kind: {shorten(route.Kind)!r}: expected idempotent or mutating"
    if not 0 < route.TimeoutMs <= MAX_TIMEOUT_MS:
        yield f"{at}.TimeoutMs: {route.TimeoutMs:g} is not above 0 and up to {MAX_TIMEOUT_MS}"
    elif route.TargetMs - route.TimeoutMs >= TARGET_EXCESS_LIMIT_MS:
        yield f"{at}.TargetMs: {route.TargetMs:g} lies a minute or more over TimeoutMs"
    if route.Tries < 1:
        yield f"{at}.Tries: {route.Tries}: expected 1 or more"
    if not route.Svc and not route.Split:
        yield f"{at}: neither Svc nor Split"
    unknown = next((part.Svc for part in route.parts if part.Svc not in services), None)
    if unknown is not None:
        yield f"{at}: unknown service {shorten(unknown)!r}"
    if route.Split and not any(part.Wt > 0 for part in route.Split):
        yield f"{at}.Split: no part has a weight above 0"
    regions = {bound[part.Svc] for part in route.parts if part.Svc in bound}
    if len(regions) > 1:
        yield f"{at}.Split: over services bound to {shorten(', '.join(sorted(regions)))}"
    elif route.Region and regions and route.Region not in regions:
        yield f"{at}.Region: {shorten(route.Region)!r}, but its service is bound to {shorten(regions.pop())!r}"


def parse_configuration(raw: Any, before: Configuration) -> Configuration | Problem:  # noqa: ANN401
    """Parses and validates a whole configuration. `before`: the current one; unchanged items keep its
    objects. A check that has found as many errors as are reported ends there."""
    if (
        not isinstance(raw, dict)
        or not isinstance(version := raw.get("Ver"), int)
        or isinstance(version, bool)
    ):
        return Problem(Kind.INVALID, "Ver: expected a whole number")
    configuration = Configuration(version, raw)
    problem = problem_of(
        chain(
            _version_errors(version, before.version),
            _parse_sections(configuration, before),
            _index_routes(configuration, before),
            _index_keys(configuration),
        )
    )
    return problem or configuration


def _version_errors(version: int, current: int) -> Iterator[str]:
    if version <= current:
        yield f"Ver: {version} is not above {current}, which is current"
    if version > MAX_VERSION:
        yield f"Ver: {version} is above {MAX_VERSION}"


def _parse_sections(configuration: Configuration, before: Configuration) -> Iterator[str]:
    """Parses all tables and the limits; yields error texts."""
    raw = configuration.raw
    for section in SECTIONS:
        table = raw.get(section) or {}
        if not isinstance(table, dict):
            yield f"{section}: expected a table"
            continue
        old, new = before.items.get(section, {}), {}
        for name, value in table.items():
            kept = old.get(name)
            if kept is None or (kept[0] is not value and kept[0] != value):
                read = _parse_item(section, name, value)
                if isinstance(read, str):
                    yield read
                    continue
                kept = (value, read)
            new[name] = kept
        configuration.items[section] = new
    try:
        configuration.limits = _converter.structure(raw.get("Limits") or {}, ClientLimits)
    except Exception:  # noqa: BLE001 - as for an item
        yield "Limits: cannot be read"


def _index_routes(configuration: Configuration, before: Configuration) -> Iterator[str]:
    """Checks the routes and indexes them by host and prefix; yields error texts."""
    named = configuration.raw.get("Svcs")
    services = named if isinstance(named, dict) else {}
    bound = {n: s.Region for n, (_, s) in configuration.items.get("Svcs", {}).items() if s.Region}
    same = set(services) == set(before.services()) and bound == {
        n: s.Region for n, (_, s) in before.services().items() if s.Region
    }
    checked = before.items.get("Routes", {}) if same else {}
    for name, item in configuration.items.get("Routes", {}).items():
        route = item[1]
        if checked.get(name) is not item:  # unchanged and checked against the same services before
            yield from _route_errors(name, route, services, bound)
        configuration.has_route_regions = configuration.has_route_regions or bool(route.Region)
        host = route.Vhost.lower()
        configuration.prefixes.setdefault(host, {})[route.PathPrefix] = (name, route)
        configuration.max_depth[host] = max(configuration.max_depth.get(host, 0), route.PathPrefix.count("/"))


def _index_keys(configuration: Configuration) -> Iterator[str]:
    """Indexes the tenants by their keys; yields error texts."""
    for name, (_, tenant) in configuration.items.get("Tenants", {}).items():
        configuration.tenants_by_hash[crc32(name.encode())] = name
        for key in tenant.ApiKeys:
            if configuration.keys.setdefault(key, name) != name:
                holder = shorten(configuration.keys[key])
                yield f"Tenants.{shorten(name)}.ApiKeys: a key that {holder} has as well"


def differences(before: Mapping[str, Any], after: Mapping[str, Any]) -> dict[str, dict[str, list[str]]]:
    """Names added, changed and removed, by section; sections without differences are left out."""
    found: dict[str, dict[str, list[str]]] = {}
    for section in SECTIONS:
        old, new = before.get(section) or {}, after.get(section) or {}
        rows = {
            "added": sorted(name for name in new if name not in old),
            "changed": sorted(n for n in new if n in old and old[n] is not new[n] and old[n] != new[n]),
            "removed": sorted(name for name in old if name not in new),
        }
        if rows := {what: names for what, names in rows.items() if names}:
            found[section] = rows
    if (before.get("Limits") or {}) != (after.get("Limits") or {}):
        found["Limits"] = {"changed": ["Limits"]}
    return found


def apply_patch(raw: dict[str, Any], change: Any) -> dict[str, Any] | Problem:  # noqa: ANN401
    """The raw configuration after a partial change (`Upsert`, `Remove`). Other items keep their objects."""
    if not isinstance(change, dict):
        return Problem(Kind.INVALID, "expected Ver, Upsert and Remove")
    upsert, remove = change.get("Upsert") or {}, change.get("Remove") or {}
    if not isinstance(upsert, dict) or not isinstance(remove, dict):
        return Problem(Kind.INVALID, "Upsert, Remove: expected tables")
    whole = dict(raw)
    whole["Ver"] = change.get("Ver")
    for section, names in remove.items():
        if section not in SECTIONS or not isinstance(names, list):
            return Problem(Kind.INVALID, f"Remove.{shorten(section)}: expected a list of names")
        gone = {name for name in names if isinstance(name, str)}
        whole[section] = {k: v for k, v in (whole.get(section) or {}).items() if k not in gone}
    for section, items in upsert.items():
        if not isinstance(items, dict):
            return Problem(Kind.INVALID, f"Upsert.{shorten(section)}: expected a table")
        if section not in SECTIONS and section != "Limits":
            return Problem(Kind.INVALID, f"Upsert.{shorten(section)}: not known")
        whole[section] = {**(whole.get(section) or {}), **items}
    return whole
