"""What an operator sees: the Client Status Discovery Service (CSDS v3) and the page of metrics."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, Protocol

from envoy.admin.v3 import config_dump_shared_pb2
from envoy.config.core.v3 import base_pb2
from envoy.service.status.v3 import csds_pb2

from coralvale.control.drains import Drains
from coralvale.control.model import ENDPOINTS, ORDER, Snapshot
from coralvale.control.quotas import Quotas
from coralvale.control.roster import Roster
from coralvale.control.stream import ABSENT, Stream, Subscription

STATES = config_dump_shared_pb2.ClientResourceStatus


class Open(Protocol):
    """An open stream, as far as it is shown."""

    number: int
    stream: Stream | None
    node: Any

    @property
    def name(self) -> str: ...


def clients(request: Any, streams: Iterable[Open], newest: Snapshot | None, drains: Drains) -> Any:  # noqa: ANN401
    """envoy.service.status.v3.ClientStatusResponse: one config a stream whose node the request matches."""
    answer, waiting = csds_pb2.ClientStatusResponse(), drains.waiting()
    for held in streams:
        if held.stream is None or not matches(request, held.name):
            continue
        config = answer.config.add()
        config.node.CopyFrom(held.node if held.node is not None else base_pb2.Node(id=held.name))
        late = waiting.get(held.number, [])
        for kind in ORDER:
            if subscription := held.stream.types.get(kind):
                _resources(config, kind, subscription, newest, late if kind == ENDPOINTS else [])
    return answer


def _resources(
    config: Any,  # noqa: ANN401
    kind: str,
    subscription: Subscription,
    newest: Snapshot | None,
    late: list[str],
) -> None:
    for name in sorted(set(subscription.sent) | subscription.names):
        one = config.generic_xds_configs.add(type_url=kind, name=name)
        tag = subscription.sent.get(name)
        served = newest.types[kind].get(name) if newest else None
        if subscription.acked:
            one.version_info = str(subscription.acked)
        if tag is None:
            one.config_status, one.client_status = csds_pb2.NOT_SENT, STATES.REQUESTED
        elif tag == ABSENT:
            one.config_status, one.client_status = csds_pb2.SYNCED, STATES.DOES_NOT_EXIST
        elif subscription.error:
            one.config_status, one.client_status = csds_pb2.ERROR, STATES.NACKED
        elif subscription.open or (served and tag != served.tag):
            one.config_status, one.client_status = csds_pb2.STALE, STATES.REQUESTED
        else:
            one.config_status, one.client_status = csds_pb2.SYNCED, STATES.ACKED
        told = [subscription.error] if subscription.error else []
        told += [f"drain of {host} not acknowledged" for host in late]
        if told:
            one.error_state.details = "; ".join(told)
            one.error_state.version_info = str(subscription.nacked or subscription.version)


def matches(request: Any, name: str) -> bool:  # noqa: ANN401
    """Whether a node is asked for: with no matcher every node is (envoy.type.matcher.v3.NodeMatcher)."""
    if not request.node_matchers:
        return True
    return any(_text_matches(matcher.node_id, name) for matcher in request.node_matchers)


def _text_matches(matcher: Any, text: str) -> bool:  # noqa: ANN401
    kind = matcher.WhichOneof("match_pattern")
    if kind is None:
        return True
    wanted = getattr(matcher, kind)
    if matcher.ignore_case and isinstance(wanted, str):
        wanted, text = wanted.lower(), text.lower()
    if kind == "exact":
        return bool(text == wanted)
    if kind == "prefix":
        return text.startswith(wanted)
    if kind == "suffix":
        return text.endswith(wanted)
    return kind == "contains" and wanted in text


def metrics(
    counts: dict[str, int], connections: list[Open], roster: Roster, quotas: Quotas, drains: Drains
) -> bytes:
    """The page of metrics, in the text form that Prometheus reads."""
    streams = sum(c.stream is not None for c in connections)
    lines = [
        f'coralvale_control_streams{{kind="discovery"}} {streams}',
        f'coralvale_control_streams{{kind="quota"}} {len(connections) - streams}',
        f"coralvale_control_hosts {len(roster.hosts)}",
        f"coralvale_control_hosts_leaving {sum(h.leaving for h in roster.hosts.values())}",
        f"coralvale_control_drains_waiting {sum(map(len, drains.waiting().values()))}",
        f"coralvale_control_buckets {quotas.buckets}",
        f"coralvale_control_reports_distrusted_total {quotas.distrusted}",
        f'coralvale_control_roster{{state="{roster.state.value}"}} 1',
        *(f"coralvale_control_{name}_total {count}" for name, count in sorted(counts.items())),
    ]
    by_number = {c.number: c for c in connections}
    for number, hosts in sorted(drains.waiting().items()):
        if held := by_number.get(number):
            node = held.name.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
            lines += [
                f'coralvale_control_drain_unacknowledged{{node="{node}",host="{host}"}} 1' for host in hosts
            ]
    return ("\n".join(lines) + "\n").encode()
