"""Which updates a starting gateway without a replica may trust."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Any

import pytest

from coralvale.cluster.configuration.history import Change, ChangeHistory, pack
from coralvale.cluster.server.messages import PeerMessage, UpdateReply, UpdateRequest
from coralvale.cluster.server.node import GatewayNode
from coralvale.cluster.settings import parse
from coralvale.standins.cluster import configuration, settings

IPS = [f"10.0.0.{n}" for n in range(1, 6)]


def first_update(sure: bool) -> tuple[GatewayNode, list[str]]:
    """A gateway without a disk that knows only its seeds, after its first answer, and the seeds it asked."""
    history = ChangeHistory()
    assert history.deliver(pack(Change(0, True, json.dumps(configuration(3, ["s"])).encode())))

    async def whole() -> tuple[GatewayNode, list[str]]:
        node = GatewayNode(parse(settings(4, IPS, 3, Path("/nowhere"), False)), "")
        asked: list[str] = []

        class Link:
            def __init__(self, ip: str) -> None:
                self.ip = ip

            async def request(self, number: int, message: PeerMessage, timeout: float) -> UpdateReply:
                asked.append(self.ip)
                assert isinstance(message, UpdateRequest)
                if node.changes.configuration.version:
                    await asyncio.Event().wait()  # nothing newer: the request stays open
                return UpdateReply(number, history.update_since(message.version), False, sure)

        fake: Any = node
        fake.edge_server = Any
        fake.runtime.peers.link = Link
        task = asyncio.create_task(node.changes.follow_core())
        while len(asked) < 2:
            await asyncio.sleep(0)
        task.cancel()
        return node, asked

    return asyncio.run(asyncio.wait_for(whole(), 20.0))


@pytest.mark.parametrize("sure", [True, False])
def test_a_starting_gateway_uses_an_unsettled_seeds_configuration_but_not_its_region_bindings(
    sure: bool,
) -> None:
    node, asked = first_update(sure)
    assert set(asked) <= set(IPS[:3]) and node.changes.configuration.version == 3  # it uses the configuration
    now = node.runtime.clock.monotonic()
    assert (
        node.home.lease_valid(now) is sure
    )  # but serves nothing bound to a region until a settled member answers
