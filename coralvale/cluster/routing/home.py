"""Home regions: a bound request is answered only by gateways of its region, and only by hosts there.

A service is bound by its `Region` in the configuration, or by a rule in the system's own file, by a pattern of
its name; a route by its own `Region`, which may only narrow, or by any service that it may go to. What holds at
every moment:

- A gateway that is not of the region, or does not know of which it is, begins no such request.
- Nor does one that has not heard of the core for longer than the lease: it may be cut off from a binding that
  changed. From an acknowledgement on, a gateway in touch follows it by the news, another stops within the lease.
- A host whose zone is of another region, or of none that is known, gets nothing of a bound service.
- Past its beginning a request ends where it began: its answer is passed on; no further try is begun abroad.

What is decided needs the request's head alone.
"""

from __future__ import annotations

from collections.abc import Mapping
from fnmatch import fnmatchcase

from coralvale.cluster.configuration.model import Configuration, Route
from coralvale.cluster.errors import Kind, Problem

LEASE = 10.0  # s without a word of the core, after which nothing bound is begun
AGAIN = 0.5  # s after which a client may come back to one that has lost touch with the core


class Home:
    """Of one gateway."""

    def __init__(
        self,
        region: str,
        zones: Mapping[str, str],
        rules: Mapping[str, str] | None = None,
        lease: float = LEASE,
    ) -> None:
        """`zones`: their regions; `rules`: regions by patterns of services' names, the first that fits counts."""
        self.rules, self.lease = dict(rules or {}), lease
        self.move(region, zones)
        self.heard = -1e18  # when a word of the core last came
        self.configuration = Configuration()
        self.services: dict[str, str] = {}  # those that are bound
        self.routes: dict[str, str] = {}
        self.refused: dict[str, int] = {}  # abroad, by service's region
        self.first_refused = 0.0

    def move(self, region: str, zones: Mapping[str, str]) -> None:
        """This gateway's region, and those of the zones, as the settings have them now."""
        self.region, self.zones = region, dict(zones)

    def take_configuration(self, configuration: Configuration) -> None:
        self.configuration = configuration
        self.services = {
            name: region
            for name, (_, service) in configuration.services().items()
            if (region := self._rule(name, service.Region))
        }
        self.routes = {}
        if not self.services and not self.rules and not configuration.has_route_regions:
            return  # as long as nothing is bound, routes need not be gone through
        for name, (_, route) in configuration.items.get("Routes", {}).items():
            if region := self._route(route):
                self.routes[name] = region

    def _rule(self, name: str, own: str) -> str:
        return own or next(
            (region for pattern, region in self.rules.items() if fnmatchcase(name, pattern)), ""
        )

    def _route(self, route: Route) -> str:
        """The region that a route is bound to: one of which a part is bound is bound whole."""
        if route.Region:
            return route.Region
        return next((self.services[p.Svc] for p in route.parts if p.Svc in self.services), "")

    # Decisions

    def fresh(self, now: float) -> bool:
        """Whether the binding that is known here is, within the lease, the one in force."""
        return now - self.heard <= self.lease

    def refuses(self, now: float, route: str) -> Problem | None:
        """Why nothing of a route may be begun here, by its name; None if it may."""
        region = self.routes.get(route)
        if region is None:
            return None
        if region != self.region:
            return Problem(Kind.FOREIGN)
        return None if self.fresh(now) else Problem(Kind.BINDING_UNSURE, retry_after=AGAIN)

    def count(self, now: float, route: str) -> None:
        """A request was refused abroad; of it only that is kept."""
        region = self.routes.get(route, "")
        if not self.refused:
            self.first_refused = now
        self.refused[region] = self.refused.get(region, 0) + 1

    def host_allowed(self, service: str, zone: str) -> bool:
        """Whether a host of a zone may get requests of a service."""
        region = self.services.get(service)
        return region is None or self.zones.get(zone) == region
