"""The operator's configuration as types, its checks, and what a gateway looks up in it.

`Configuration` is immutable: a gateway swaps the whole of it, and only for one with a higher version. A name
that did not change between two versions keeps its object, so reading a version costs what it changes.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import cattrs
from attrs import define, field, frozen

from coralvale.cluster.errors import Kind, Problem

MOST_TIMEOUT = 600_000  # ms
AIM_OVER = 60_000  # ms that an aim may lie over its route's time-out, less one
SECTIONS = ("Routes", "Svcs", "Tenants")
MISTAKES = 20  # told at once


@frozen
class Part:
    """A service of a split route, with its weight."""

    Svc: str
    Wt: float = 1.0


@frozen
class Route:
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
    Region: str = ""  # that it is bound to; may only narrow what its services are bound to

    @property
    def repeatable(self) -> bool:
        return self.Kind == "idempotent"

    @property
    def parts(self) -> tuple[Part, ...]:
        return self.Split or (Part(self.Svc),)


@frozen
class Service:
    HealthPath: str = "/"
    MaxConns: int = 0
    Protocol: str = "h1"
    Tls: bool = False
    Region: str = ""  # whose gateways alone may answer; "": any


@frozen
class Tenant:
    ApiKeys: tuple[str, ...] = ()
    Prio: int | None = None
    RatePerS: float = 0.0
    Burst: float = 0.0


@frozen
class ClientLimits:
    HeaderBytes: int = 65536
    BodyBytes: int = 33554432
    HdrReadMs: float = 2250.0
    IdleMs: float = 10000.0


_TYPES: dict[str, type] = {"Routes": Route, "Svcs": Service, "Tenants": Tenant}
_converter = cattrs.Converter(forbid_extra_keys=False)


@define
class Configuration:
    """One version, ready to be looked up in. Not changed after it was made."""

    version: int = 0
    raw: dict[str, Any] = field(factory=dict)
    items: dict[str, dict[str, tuple[Any, Any]]] = field(factory=dict)  # by section, name: as sent, as read
    prefixes: dict[str, dict[str, tuple[str, Route]]] = field(factory=dict)  # by host, prefix: name and route
    depth: dict[str, int] = field(factory=dict)  # slashes of a host's longest prefix
    keys: dict[str, str] = field(factory=dict)  # of tenants, to their names
    limits: ClientLimits = field(factory=ClientLimits)
    has_route_regions: bool = False  # a route is bound by itself

    def route(self, host: str, path: str) -> tuple[str, Route] | None:
        """The route of the longest prefix; time grows with the slashes of the path alone."""
        table = self.prefixes.get(host)
        if table is None:
            return None
        most, end = self.depth[host], -1
        ends: list[int] = []
        while len(ends) < most and (end := path.find("/", end + 1)) >= 0:
            ends.append(end + 1)
        for end in reversed(ends):
            if found := table.get(path[:end]):
                return found
        return None

    def service(self, name: str) -> Service | None:
        found = self.items.get("Svcs", {}).get(name)
        return found[1] if found else None

    def tenant(self, name: str) -> Tenant | None:
        found = self.items.get("Tenants", {}).get(name)
        return found[1] if found else None

    def tenants(self) -> Mapping[str, tuple[Any, Tenant]]:
        return self.items.get("Tenants", {})

    def services(self) -> Mapping[str, tuple[Any, Service]]:
        return self.items.get("Svcs", {})


def _read(section: str, name: str, raw: Any) -> Any:  # noqa: ANN401
    """One item, or a list of what is wrong with it."""
    if not isinstance(raw, dict):
        return [f"{section}.{name}: expected fields with values"]
    try:
        return _converter.structure(raw, _TYPES[section])
    except cattrs.BaseValidationError as error:
        return [f"{section}.{name}: {line}" for line in cattrs.transform_error(error)]
    except (ValueError, TypeError) as error:
        return [f"{section}.{name}: {error}"]


def _wrong_route(name: str, route: Route, services: Mapping[str, Any], bound: Mapping[str, str]) -> list[str]:
    """`bound`: services that are bound, to their regions."""
    at = f"Routes.{name}"
    found = []
    if not route.PathPrefix.startswith("/"):
        found.append(f"{at}.PathPrefix: {route.PathPrefix!r} does not begin with a slash")
    if route.Kind not in ("idempotent", "mutating"):
        found.append(f"{at}.Kind: {route.Kind!r}: expected idempotent or mutating")
    if not 0 < route.TimeoutMs <= MOST_TIMEOUT:
        found.append(f"{at}.TimeoutMs: {route.TimeoutMs:g} is not above 0 and up to {MOST_TIMEOUT}")
    elif route.TargetMs - route.TimeoutMs >= AIM_OVER:
        found.append(f"{at}.TargetMs: {route.TargetMs:g} lies a minute or more over TimeoutMs")
    if route.Tries < 1:
        found.append(f"{at}.Tries: {route.Tries}: expected 1 or more")
    if not route.Svc and not route.Split:
        found.append(f"{at}: neither Svc nor Split")
    found += [f"{at}: unknown service {p.Svc!r}" for p in route.parts if p.Svc not in services]
    if route.Split and not sum(p.Wt for p in route.Split if p.Wt > 0) > 0:
        found.append(f"{at}.Split: no part has a weight above 0")
    regions = {bound[p.Svc] for p in route.parts if p.Svc in bound}
    if len(regions) > 1:
        found.append(f"{at}.Split: over services bound to {', '.join(sorted(regions))}")
    elif route.Region and regions and route.Region not in regions:
        found.append(f"{at}.Region: {route.Region!r}, but its service is bound to {regions.pop()!r}")
    return found


def parse_configuration(raw: Any, before: Configuration) -> Configuration | Problem:  # noqa: ANN401
    """Reads and checks a whole configuration; `before` is the one in force, whose objects are kept."""
    if (
        not isinstance(raw, dict)
        or not isinstance(version := raw.get("Ver"), int)
        or isinstance(version, bool)
    ):
        return Problem(Kind.INVALID, "Ver: expected a whole number")
    wrong: list[str] = []
    if version <= before.version:
        wrong.append(f"Ver: {version} is not above {before.version}, which is current")
    configuration = Configuration(version, raw)
    for section in SECTIONS:
        table = raw.get(section) or {}
        if not isinstance(table, dict):
            wrong.append(f"{section}: expected a table")
            continue
        old, new = before.items.get(section, {}), {}
        for name, value in table.items():
            kept = old.get(name)
            if kept is None or (kept[0] is not value and kept[0] != value):
                read = _read(section, name, value)
                if isinstance(read, list):
                    wrong += read
                    continue
                kept = (value, read)
            new[name] = kept
        configuration.items[section] = new
    try:
        configuration.limits = _converter.structure(raw.get("Limits") or {}, ClientLimits)
    except (cattrs.BaseValidationError, ValueError, TypeError, AttributeError):
        wrong.append("Limits: cannot be read")
    services = raw.get("Svcs") or {}
    bound = {n: s.Region for n, (_, s) in configuration.items.get("Svcs", {}).items() if s.Region}
    same = set(services) == set(before.services()) and bound == {
        n: s.Region for n, (_, s) in before.services().items() if s.Region
    }
    checked = before.items.get("Routes", {}) if same else {}
    for name, item in configuration.items.get("Routes", {}).items():
        route = item[1]
        if checked.get(name) is not item:  # one that was checked against the same services stays right
            wrong += _wrong_route(name, route, services, bound)
        configuration.has_route_regions = configuration.has_route_regions or bool(route.Region)
        host = route.Vhost.lower()
        configuration.prefixes.setdefault(host, {})[route.PathPrefix] = (name, route)
        configuration.depth[host] = max(configuration.depth.get(host, 0), route.PathPrefix.count("/"))
    for name, (_, tenant) in configuration.items.get("Tenants", {}).items():
        for key in tenant.ApiKeys:
            if configuration.keys.setdefault(key, name) != name:
                wrong.append(f"Tenants.{name}.ApiKeys: a key that {configuration.keys[key]} has as well")
    if wrong:
        more = f", and {len(wrong) - MISTAKES} more" if len(wrong) > MISTAKES else ""
        return Problem(Kind.INVALID, "; ".join(wrong[:MISTAKES]) + more)
    return configuration


def differences(before: Mapping[str, Any], after: Mapping[str, Any]) -> dict[str, dict[str, list[str]]]:
    """By section: names that were added, changed and removed. Sections that are alike are left out."""
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
    """The whole configuration after a change by names. What the change does not name keeps its object."""
    if not isinstance(change, dict):
        return Problem(Kind.INVALID, "expected Ver, Upsert and Remove")
    upsert, remove = change.get("Upsert") or {}, change.get("Remove") or {}
    if not isinstance(upsert, dict) or not isinstance(remove, dict):
        return Problem(Kind.INVALID, "Upsert, Remove: expected tables")
    whole = dict(raw)
    whole["Ver"] = change.get("Ver")
    for section, names in remove.items():
        if section not in SECTIONS or not isinstance(names, list):
            return Problem(Kind.INVALID, f"Remove.{section}: expected a list of names")
        gone = {name for name in names if isinstance(name, str)}
        whole[section] = {k: v for k, v in (whole.get(section) or {}).items() if k not in gone}
    for section, items in upsert.items():
        if not isinstance(items, dict):
            return Problem(Kind.INVALID, f"Upsert.{section}: expected a table")
        if section not in SECTIONS and section != "Limits":
            return Problem(Kind.INVALID, f"Upsert.{section}: not known")
        whole[section] = {**(whole.get(section) or {}), **items}
    return whole
