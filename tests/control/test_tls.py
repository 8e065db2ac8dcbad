"""Streams over TLS: a proxy that shows no certificate, or another's, is not served."""

from __future__ import annotations

import asyncio
from pathlib import Path

import grpc
import pytest
import trustme
from control.world import SERVICE, service, world
from envoy.service.discovery.v3 import ads_pb2_grpc, discovery_pb2
from net_helpers import run, soon

from coralvale.control.model import CLUSTER
from coralvale.operator import ControlTls


def test_only_a_proxy_with_a_certificate_of_the_client_ca_is_served(tmp_path: Path) -> None:
    ours, other = trustme.CA(), trustme.CA()
    server, proxy, stranger = (
        ours.issue_cert("127.0.0.1"),
        ours.issue_cert("proxy"),
        other.issue_cert("proxy"),
    )
    server.private_key_pem.write_to_path(tmp_path / "key.pem")
    server.cert_chain_pems[0].write_to_path(tmp_path / "cert.pem")
    ours.cert_pem.write_to_path(tmp_path / "ca.pem")
    tls = ControlTls(
        certificate=str(tmp_path / "cert.pem"),
        key=str(tmp_path / "key.pem"),
        client_ca=str(tmp_path / "ca.pem"),
    )

    async def names(target: str, shown: trustme.LeafCert | None) -> set[str]:
        credentials = grpc.ssl_channel_credentials(
            ours.cert_pem.bytes(),
            shown.private_key_pem.bytes() if shown else None,
            shown.cert_chain_pems[0].bytes() if shown else None,
        )
        async with grpc.aio.secure_channel(target, credentials) as channel:
            call = ads_pb2_grpc.AggregatedDiscoveryServiceStub(channel).StreamAggregatedResources()
            await call.write(discovery_pb2.DiscoveryRequest(type_url=CLUSTER))
            response = await soon(call.read())
            return {resource.type_url for resource in response.resources}

    async def test() -> None:
        async with world(1) as w, service(w, tls=tls) as control:
            assert await names(w.target, proxy) == {CLUSTER} and control.control.service == SERVICE
            for shown in (None, stranger):
                with pytest.raises((grpc.RpcError, asyncio.InvalidStateError)):
                    await names(w.target, shown)

    run(test())
