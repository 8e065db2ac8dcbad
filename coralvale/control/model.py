"""Types of the control service: what proxies ask, what they are sent, what went wrong. Nothing decides here.

Names are xDS's own (envoy/service/discovery/v3/discovery.proto): type URL, version, nonce, resource. Times are
seconds of Unix time on the caller's clock.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from types import MappingProxyType

TYPES = "type.googleapis.com/"
LISTENER = TYPES + "envoy.config.listener.v3.Listener"
ROUTE = TYPES + "envoy.config.route.v3.RouteConfiguration"
CLUSTER = TYPES + "envoy.config.cluster.v3.Cluster"
ENDPOINTS = TYPES + "envoy.config.endpoint.v3.ClusterLoadAssignment"
ORDER = (CLUSTER, ENDPOINTS, LISTENER, ROUTE)  # make before break: what is named goes before what names it
SHORT = {LISTENER: "LDS", ROUTE: "RDS", CLUSTER: "CDS", ENDPOINTS: "EDS"}


class StreamError(Exception):
    """A proxy broke a rule or passed a limit: its stream ends with this gRPC status (google.rpc.Code name)."""

    def __init__(self, code: str, text: str) -> None:
        super().__init__(text)
        self.code, self.text = code, text


class StateError(ValueError):
    """The saved state cannot be used; the message names the file and what is wrong with it."""


@dataclass(frozen=True, slots=True)
class Resource:
    """One resource as it is served. `version` grows with every change of `body`, over restarts too."""

    name: str
    version: int
    digest: str  # of the body: two services that count alike must not call different bodies the same
    body: bytes

    @property
    def tag(self) -> str:
        """The version as delta streams carry it."""
        return f"{self.version}.{self.digest}"


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All resources at one moment; never changed, only followed by one with a higher version."""

    version: int
    types: Mapping[str, Mapping[str, Resource]]
    versions: Mapping[str, int]  # of each type: the snapshot that last changed anything in it
    urgent: int = 0  # the newest snapshot that told a drain

    @staticmethod
    def of(version: int, *resources: tuple[str, Resource], urgent: int = 0) -> Snapshot:
        """A snapshot that holds these, all types of its own version: for tests and small uses."""
        types: dict[str, dict[str, Resource]] = {kind: {} for kind in ORDER}
        for kind, resource in resources:
            types[kind][resource.name] = resource
        frozen = MappingProxyType({kind: MappingProxyType(held) for kind, held in types.items()})
        return Snapshot(version, frozen, MappingProxyType(dict.fromkeys(ORDER, version)), urgent)


@dataclass(frozen=True, slots=True)
class Asked:
    """A state-of-the-world request: envoy.service.discovery.v3.DiscoveryRequest, the fields that decide."""

    type_url: str
    names: tuple[str, ...] = ()
    version: str = ""
    nonce: str = ""
    error: str | None = None


@dataclass(frozen=True, slots=True)
class AskedDelta:
    """An incremental request: envoy.service.discovery.v3.DeltaDiscoveryRequest, the fields that decide."""

    type_url: str
    subscribe: tuple[str, ...] = ()
    unsubscribe: tuple[str, ...] = ()
    initial: Mapping[str, str] = field(default_factory=dict)
    nonce: str = ""
    error: str | None = None


@dataclass(frozen=True, slots=True)
class Response:
    """What goes out next on a stream; `removed` only on delta streams. `version` is the type's."""

    type_url: str
    version: int
    nonce: str
    resources: tuple[Resource, ...]
    removed: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Acked:
    """The proxy has taken a response: it acts on `version` of this type from now on."""

    type_url: str
    version: int


@dataclass(frozen=True, slots=True)
class Nacked:
    """The proxy has refused a response and goes on with what it had; `error` is its own text."""

    type_url: str
    version: int
    error: str


Told = Acked | Nacked


@dataclass(frozen=True, slots=True)
class Host:
    """A listed host: `started_at` tells one life of a name from the next; `scale` is its size."""

    id: str
    address: str
    port: int
    zone: str
    scale: float
    started_at: float
    leaving: bool = False

    @property
    def life(self) -> tuple[str, float]:
        return self.id, self.started_at


@dataclass(frozen=True, slots=True)
class Placed:
    """A host as proxies shall see it: its weight now, in thousandths of a host of size 1."""

    host: Host
    weight: int
    cold: bool
