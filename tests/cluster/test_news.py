"""What one that starts may believe of the news that it gets."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Any

import pytest

from coralvale.cluster.configuration.history import Change, ChangeHistory, pack
from coralvale.cluster.server.messages import Ask, Parcel, Told
from coralvale.cluster.server.node import GatewayNode
from coralvale.cluster.settings import parse
from coralvale.standins.cluster import configuration, settings

IPS = [f"10.0.0.{n}" for n in range(1, 6)]


def first_news(sure: bool) -> tuple[GatewayNode, list[str]]:
    """One without a disk that knows nobody but its seeds, after its first answer."""
    history = ChangeHistory()
    assert history.deliver(pack(Change(0, True, json.dumps(configuration(3, ["s"])).encode())))

    async def whole() -> tuple[GatewayNode, list[str]]:
        node = GatewayNode(parse(settings(4, IPS, 3, Path("/nowhere"), False)), "")
        asked: list[str] = []

        class Link:
            def __init__(self, ip: str) -> None:
                self.ip = ip

            async def request(self, number: int, parcel: Parcel, patience: float) -> Told:
                asked.append(self.ip)
                assert isinstance(parcel, Ask)
                if node.changes.configuration.version:
                    await asyncio.Event().wait()  # nothing newer: the question is kept
                return Told(number, history.update_since(parcel.version), False, sure)

        fake: Any = node
        fake.front = Any
        fake.runtime.peers.link = Link
        task = asyncio.create_task(node.changes.follow())
        while len(asked) < 2:
            await asyncio.sleep(0)
        task.cancel()
        return node, asked

    return asyncio.run(asyncio.wait_for(whole(), 20.0))


@pytest.mark.parametrize("sure", [True, False])
def test_seeds_are_asked_at_once_and_what_an_unsettled_one_has_is_not_taken_for_what_is_bound(
    sure: bool,
) -> None:
    node, asked = first_news(sure)
    assert set(asked) <= set(IPS[:3]) and node.changes.configuration.version == 3  # it serves by it
    now = node.runtime.clock.monotonic()
    assert node.home.fresh(now) is sure  # but nothing that is bound until it hears one that is settled
