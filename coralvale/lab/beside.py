"""The decisions of an earlier checkout in this laboratory's world. Runs in a process of its own
(`runs.BOOT`).
"""

from __future__ import annotations

import dataclasses
import sys
from typing import Any

import msgspec

from coralvale import Gateway
from coralvale import interface as api
from coralvale.lab.model import Experiment
from coralvale.lab.world.fleet import Driver, Policy
from coralvale.lab.world.platform import Platform


class Narrow:
    """Hands on events without the fields that the other checkout's types do not know."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.gateway = Gateway(settings, seed)

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        return self.gateway.handle(now, event)


def fitting(kind: type, given: dict[str, Any]) -> Any:  # noqa: ANN401
    """An object of `kind` from those of the given fields that it has."""
    known = {f.name for f in dataclasses.fields(kind)}
    return kind(**{name: value for name, value in given.items() if name in known})


def main(asked: dict[str, Any]) -> None:
    """Plays what standard input asked for and writes the outcome to standard output."""
    made = msgspec.json.decode(asked["experiment"].encode(), type=Experiment)

    def factory(world: Platform, driver: Driver, settings: api.Settings, seed: int) -> Policy:
        return Narrow(settings, seed)

    names = [f.name for f in dataclasses.fields(api.Request)]
    world = Platform(made, asked["seed"], "beside", factory)
    world.make_request = lambda *given, **named: fitting(
        api.Request, dict(zip(names, given, strict=False)) | named
    )
    sys.stdout.buffer.write(msgspec.json.encode(world.run(), order="sorted"))
