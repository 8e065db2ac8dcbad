"""Home regions: requests that are bound to a region are served only by its gateways and its hosts.

A service is bound by its `Region` in the configuration, or by a pattern of its name in the system's own file.
A route is bound by its own `Region`, which may only narrow, or by any service that it may go to. At every
moment:

- A gateway outside the region, or one that does not know its own region, begins no such request.
- Nor does a gateway that has not heard of the core for longer than the lease, because it may have missed a
  change of the binding. After a change is acknowledged, gateways in contact follow it when they are told of
  it, others stop within the lease.
- A host in a zone of another region, or in a zone without a known region, gets no request of a bound service.
- A request that has begun ends where it began: its answer is passed on, but no further try is begun
  elsewhere.

The decision needs only the head of a request.
"""

from __future__ import annotations

from collections.abc import Mapping
from fnmatch import fnmatchcase

from coralvale.cluster.configuration.model import Configuration, Route
from coralvale.cluster.errors import Kind, Problem

LEASE_S = 10.0  # without contact to the core, after which no bound request is begun
RETRY_AFTER_S = 0.5  # sent to clients while the lease has expired


class HomeRegion:
    """The bindings of services and routes to regions, as one gateway knows them."""

    def __init__(
        self,
        region: str,
        zones: Mapping[str, str],
        rules: Mapping[str, str] | None = None,
        lease: float = LEASE_S,
    ) -> None:
        """`region`: this gateway's, "" if unknown; `zones`: region by zone; `rules`: region by pattern of
        service names, of which the first match counts; `lease`: s."""
        self.rules, self.lease = dict(rules or {}), lease
        self.set_regions(region, zones)
        self.core_heard_at = -1e18  # when the core was last heard of; monotonic clock, s
        self.configuration = Configuration()
        self.services: dict[str, str] = {}  # region by bound service
        self.routes: dict[str, str] = {}  # region by bound route
        self.refused: dict[str, int] = {}  # number of requests refused for another region, by that region
        self.first_refused = 0.0  # when; monotonic clock, s

    def set_regions(self, region: str, zones: Mapping[str, str]) -> None:
        """Takes this gateway's region and those of the zones from the current settings."""
        self.region, self.zones = region, dict(zones)

    def take_configuration(self, configuration: Configuration) -> None:
        """Works out the bindings of a configuration that is now in force."""
        self.configuration = configuration
        self.services = {
            name: region
            for name, (_, service) in configuration.services().items()
            if (region := self._service_region(name, service.Region))
        }
        self.routes = {}
        if not self.services and not self.rules and not configuration.has_route_regions:
            return  # nothing is bound, so no route can be
        for name, (_, route) in configuration.items.get("Routes", {}).items():
            if region := self._route_region(route):
                self.routes[name] = region

    def _service_region(self, name: str, own: str) -> str:
        return own or next(
            (region for pattern, region in self.rules.items() if fnmatchcase(name, pattern)), ""
        )

    def _route_region(self, route: Route) -> str:
        """The region of a route, "" if it is not bound; one bound part of a split binds the whole route."""
        if route.Region:
            return route.Region
        return next((self.services[p.Svc] for p in route.parts if p.Svc in self.services), "")

    # Decisions

    def lease_valid(self, now: float) -> bool:
        """Whether the core was heard of within the lease, so that the known bindings are in force."""
        return now - self.core_heard_at <= self.lease

    def refusal(self, now: float, route: str) -> Problem | None:
        """Why no request of a route may begin here; None if it may. `route`: its name."""
        region = self.routes.get(route)
        if region is None:
            return None
        if region != self.region:
            return Problem(Kind.OTHER_REGION)
        return (
            None if self.lease_valid(now) else Problem(Kind.BINDING_LEASE_EXPIRED, retry_after=RETRY_AFTER_S)
        )

    def count_refused(self, now: float, route: str) -> None:
        """Counts a request that was refused for another region, and keeps nothing else of it."""
        region = self.routes.get(route, "")
        if not self.refused:
            self.first_refused = now
        self.refused[region] = self.refused.get(region, 0) + 1

    def host_allowed(self, service: str, zone: str) -> bool:
        """Whether a host in `zone` may get requests of a service."""
        region = self.services.get(service)
        return region is None or self.zones.get(zone) == region
