"""xDS and RLQS messages to the types that decide, and back: protobuf stays in this file and `resources`.

A response is encoded once for all streams that are owed the same: only the nonce is each stream's own. It is
appended as a second serialised message of the same type, which protobuf defines to mean the merge of the two
(encoding guide, "Last One Wins" and concatenation), so the large part is never written twice.
"""

from __future__ import annotations

from collections import OrderedDict

from envoy.service.discovery.v3 import discovery_pb2
from envoy.service.rate_limit_quota.v3 import rlqs_pb2
from envoy.type.v3 import ratelimit_strategy_pb2, token_bucket_pb2
from google.protobuf import any_pb2

from coralvale.control.model import Asked, AskedDelta, Response
from coralvale.control.quotas import Abandon, Assign, BucketId, token_bucket
from coralvale.control.resources import seconds

KEPT = 64  # encoded responses that are kept: a few snapshots' worth of what streams are owed


def read_asked(text: discovery_pb2.DiscoveryRequest) -> Asked:
    return Asked(
        text.type_url,
        tuple(text.resource_names),
        text.version_info,
        text.response_nonce,
        read_error(text) if text.HasField("error_detail") else None,
    )


def read_delta(text: discovery_pb2.DeltaDiscoveryRequest) -> AskedDelta:
    return AskedDelta(
        text.type_url,
        tuple(text.resource_names_subscribe),
        tuple(text.resource_names_unsubscribe),
        dict(text.initial_resource_versions),
        text.response_nonce,
        read_error(text) if text.HasField("error_detail") else None,
    )


def read_error(text: discovery_pb2.DiscoveryRequest | discovery_pb2.DeltaDiscoveryRequest) -> str:
    return str(text.error_detail.message or f"code {text.error_detail.code}")


class Encoder:
    """Responses to bytes, the large part once for all streams that are owed the same."""

    def __init__(self) -> None:
        self.kept: OrderedDict[tuple[object, ...], bytes] = OrderedDict()
        self.made = 0

    def encode(self, response: Response, delta: bool) -> bytes:
        names = tuple((r.name, r.version) for r in response.resources)
        key = (delta, response.type_url, response.version, names, response.removed)
        head = self.kept.get(key)
        if head is None:
            self.made += 1
            head = self.kept[key] = (self._delta if delta else self._whole)(response)
            if len(self.kept) > KEPT:
                self.kept.popitem(last=False)
        if delta:
            return bytes(
                head + discovery_pb2.DeltaDiscoveryResponse(nonce=response.nonce).SerializeToString()
            )
        return bytes(head + discovery_pb2.DiscoveryResponse(nonce=response.nonce).SerializeToString())

    @staticmethod
    def _whole(response: Response) -> bytes:
        held = discovery_pb2.DiscoveryResponse(version_info=str(response.version), type_url=response.type_url)
        held.resources.extend(
            any_pb2.Any(type_url=response.type_url, value=r.body) for r in response.resources
        )
        return bytes(held.SerializeToString())

    @staticmethod
    def _delta(response: Response) -> bytes:
        held = discovery_pb2.DeltaDiscoveryResponse(
            system_version_info=str(response.version), type_url=response.type_url
        )
        held.removed_resources.extend(response.removed)
        for resource in response.resources:
            one = held.resources.add(name=resource.name, version=resource.tag)
            one.resource.type_url, one.resource.value = response.type_url, resource.body
        return bytes(held.SerializeToString())


# Quotas


def read_bucket(text: rlqs_pb2.BucketId) -> BucketId:
    return tuple(sorted(text.bucket.items()))


def write_actions(actions: list[Assign | Abandon]) -> rlqs_pb2.RateLimitQuotaResponse:
    held = rlqs_pb2.RateLimitQuotaResponse()
    for action in actions:
        one = held.bucket_action.add()
        one.bucket_id.bucket.update(dict(action.bucket))
        if isinstance(action, Abandon):
            one.abandon_action.SetInParent()
            continue
        given = one.quota_assignment_action
        given.assignment_time_to_live.CopyFrom(seconds(action.ttl))
        given.rate_limit_strategy.CopyFrom(strategy(action))
    return held


def strategy(action: Assign) -> ratelimit_strategy_pb2.RateLimitStrategy:
    kind = ratelimit_strategy_pb2.RateLimitStrategy
    if action.rate is None:
        return kind(blanket_rule=kind.ALLOW_ALL)
    if not action.rate:
        return kind(blanket_rule=kind.DENY_ALL)
    most, tokens, interval = token_bucket(action)
    bucket = token_bucket_pb2.TokenBucket(max_tokens=most, fill_interval=seconds(interval))
    bucket.tokens_per_fill.value = tokens
    return kind(token_bucket=bucket)
