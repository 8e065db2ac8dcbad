"""The resources that are served, as protobuf: listener, routes, cluster, endpoints of the one service.

What matters for the five rules, and where it is set:

- No effect twice: a route's retry policy names only what is known not to have run for classes that must not
  be repeated (`connect-failure`, `refused-stream`); keyed classes count among these, since a proxy cannot keep a
  repeat within the key's group. A request of no known class is not repeated.
- Drains: DRAINING endpoints get nothing new, which in Envoy also needs `healthy_panic_threshold` 0 (by default
  a fleet that is half drained is used whole) and `update_merge_window` 0 (by default a change of health waits
  for up to a second with others).
- Cold hosts: gRPC's clients weigh localities and not endpoints, so hosts of one zone and one weight are one
  locality and a cold host is one by itself, under the zone's name; both kinds of proxy then give each host
  its exact part. A locality's weight counts its hosts that take work.
"""

from __future__ import annotations

from collections.abc import Iterable
from functools import lru_cache

from envoy.config.cluster.v3 import circuit_breaker_pb2, cluster_pb2
from envoy.config.core.v3 import address_pb2, config_source_pb2, health_check_pb2
from envoy.config.endpoint.v3 import endpoint_components_pb2, endpoint_pb2
from envoy.config.listener.v3 import api_listener_pb2, listener_components_pb2, listener_pb2
from envoy.config.route.v3 import route_components_pb2, route_pb2
from envoy.extensions.filters.http.router.v3 import router_pb2
from envoy.extensions.filters.network.http_connection_manager.v3 import http_connection_manager_pb2 as hcm
from envoy.extensions.retry.host.previous_hosts.v3 import previous_hosts_pb2
from envoy.type.matcher.v3 import string_pb2
from envoy.type.v3 import percent_pb2
from google.protobuf import any_pb2, duration_pb2, message, wrappers_pb2

from coralvale import interface as api
from coralvale.control.model import CLUSTER, LISTENER, ROUTE, Placed

NOT_RUN = "connect-failure,refused-stream"
MAY_RUN = f"{NOT_RUN},reset,gateway-error,unavailable"  # the last is gRPC's word, the others Envoy's
PRIORITY_CLASS = "x-priority-class"
BUDGET = 20.0  # percent of the requests out that may be repeats, as the decisions' RETRY_SHARE
FEWEST = 3  # repeats that may be out whatever the budget


def packed(text: message.Message) -> any_pb2.Any:
    """An Any, serialised with its maps in order: equal messages are equal bytes."""
    held = any_pb2.Any(type_url="type.googleapis.com/" + text.DESCRIPTOR.full_name)
    held.value = text.SerializeToString(deterministic=True)
    return held


def seconds(value: float) -> duration_pb2.Duration:
    duration = duration_pb2.Duration()
    duration.FromNanoseconds(round(value * 1e9))
    return duration


def static(
    settings: api.Settings, service: str, proxy_address: str, connect_timeout: float
) -> dict[str, dict[str, bytes]]:
    """Listener, routes and cluster, which hold for the life of the service: type URL to name to bytes."""
    routes = route_configuration(settings, service)
    listeners = {service: listener(service)}
    if proxy_address:
        listeners[f"{service}-proxy"] = listener(service, proxy_address)
    return {
        LISTENER: {name: body(held) for name, held in listeners.items()},
        ROUTE: {service: body(routes)},
        CLUSTER: {service: body(cluster(service, settings, connect_timeout))},
    }


def body(text: message.Message) -> bytes:
    return bytes(text.SerializeToString(deterministic=True))


def ads() -> config_source_pb2.ConfigSource:
    return config_source_pb2.ConfigSource(
        ads=config_source_pb2.AggregatedConfigSource(), resource_api_version=config_source_pb2.ApiVersion.V3
    )


def listener(service: str, address: str = "") -> listener_pb2.Listener:
    """With an address for Envoy-like proxies, without one an `api_listener` for gRPC's clients."""
    manager = hcm.HttpConnectionManager(
        stat_prefix=service,
        rds=hcm.Rds(config_source=ads(), route_config_name=service),
        http_filters=[
            hcm.HttpFilter(name="envoy.filters.http.router", typed_config=packed(router_pb2.Router()))
        ],
    )
    if not address:
        held = api_listener_pb2.ApiListener(api_listener=packed(manager))
        return listener_pb2.Listener(name=service, api_listener=held)
    host, _, port = address.rpartition(":")
    chain = listener_components_pb2.FilterChain(
        filters=[
            listener_components_pb2.Filter(
                name="envoy.filters.network.http_connection_manager", typed_config=packed(manager)
            )
        ]
    )
    return listener_pb2.Listener(
        name=f"{service}-proxy", address=socket_address(host.strip("[]"), int(port)), filter_chains=[chain]
    )


def socket_address(host: str, port: int) -> address_pb2.Address:
    return address_pb2.Address(socket_address=address_pb2.SocketAddress(address=host, port_value=port))


def route_configuration(settings: api.Settings, service: str) -> route_pb2.RouteConfiguration:
    """A route a class, matched on X-Priority-Class, then one for all else."""
    routes = [class_route(c, settings.max_attempts, service) for c in settings.classes]
    longest = max(c.give_up for c in settings.classes)
    other = route_components_pb2.Route(
        name="no known class",
        match=route_components_pb2.RouteMatch(prefix=""),
        route=route_components_pb2.RouteAction(cluster=service, timeout=seconds(longest)),
    )
    host = route_components_pb2.VirtualHost(name=service, domains=["*"], routes=[*routes, other])
    return route_pb2.RouteConfiguration(name=service, virtual_hosts=[host])


def class_route(cls: api.RequestClass, max_attempts: int, service: str) -> route_components_pb2.Route:
    action = route_components_pb2.RouteAction(cluster=service, timeout=seconds(cls.give_up))
    if max_attempts > 1:
        safe = cls.repeat is api.Repeat.SAFE
        policy = action.retry_policy
        policy.retry_on = MAY_RUN if safe else NOT_RUN
        policy.num_retries.value = max_attempts - 1
        policy.host_selection_retry_max_attempts = 5
        elsewhere = policy.retry_host_predicate.add(name="envoy.retry_host_predicates.previous_hosts")
        elsewhere.typed_config.CopyFrom(packed(previous_hosts_pb2.PreviousHostsPredicate()))
    named = route_components_pb2.HeaderMatcher(
        name=PRIORITY_CLASS, string_match=string_pb2.StringMatcher(exact=cls.name)
    )
    match = route_components_pb2.RouteMatch(prefix="", headers=[named])
    return route_components_pb2.Route(name=cls.name, match=match, route=action)


def cluster(service: str, settings: api.Settings, connect_timeout: float) -> cluster_pb2.Cluster:
    common = cluster_pb2.Cluster.CommonLbConfig(
        healthy_panic_threshold=percent_pb2.Percent(value=0.0),
        locality_weighted_lb_config=cluster_pb2.Cluster.CommonLbConfig.LocalityWeightedLbConfig(),
        update_merge_window=seconds(0.0),
    )
    thresholds = circuit_breaker_pb2.CircuitBreakers.Thresholds(
        retry_budget=circuit_breaker_pb2.CircuitBreakers.Thresholds.RetryBudget(
            budget_percent=percent_pb2.Percent(value=BUDGET),
            min_retry_concurrency=wrappers_pb2.UInt32Value(value=FEWEST),
        )
    )
    return cluster_pb2.Cluster(
        name=service,
        type=cluster_pb2.Cluster.EDS,
        eds_cluster_config=cluster_pb2.Cluster.EdsClusterConfig(eds_config=ads(), service_name=service),
        connect_timeout=seconds(connect_timeout),
        lb_policy=cluster_pb2.Cluster.ROUND_ROBIN,
        common_lb_config=common,
        circuit_breakers=circuit_breaker_pb2.CircuitBreakers(thresholds=[thresholds]),
    )


def assignment(service: str, view: Iterable[Placed], lease: float) -> bytes:
    """The endpoints: `lease` in seconds is how long they may be used without news, 0 for good."""
    groups: dict[tuple[str, str], list[Placed]] = {}
    for placed in view:
        part = f"cold-{placed.host.id}" if placed.cold else f"w{placed.weight}"
        groups.setdefault((placed.host.zone, part), []).append(placed)
    held = endpoint_pb2.ClusterLoadAssignment(cluster_name=service)
    for (zone, part), members in sorted(groups.items()):
        locality = held.endpoints.add()
        locality.locality.zone, locality.locality.sub_zone = zone, part
        working = sum(m.weight for m in members if not m.host.leaving)
        locality.load_balancing_weight.value = max(1, working)
        locality.lb_endpoints.extend(endpoint(member) for member in members)
    if lease:
        held.policy.endpoint_stale_after.CopyFrom(seconds(lease))
    return body(held)


@lru_cache(maxsize=65536)
def endpoint(placed: Placed) -> endpoint_components_pb2.LbEndpoint:
    """Without a weight of its own: all of a locality have the same, which it holds.

    `hostname` tells people and logs which host it is; it routes nothing, as no route rewrites the authority.
    A thousand of these go to every proxy with every change, so they hold no more than that. Cached: one change
    leaves the others as they were, and building a thousand takes as long as forty pushes. Not to be changed.
    """
    host = placed.host
    return endpoint_components_pb2.LbEndpoint(
        endpoint=endpoint_components_pb2.Endpoint(
            address=socket_address(host.address, host.port), hostname=host.id
        ),
        health_status=health_check_pb2.DRAINING if host.leaving else health_check_pb2.HEALTHY,
    )
