"""Runs one gateway process."""

from __future__ import annotations

import asyncio
import gc
import os
import sys

import uvloop

from coralvale.cluster import events
from coralvale.cluster.allocator import return_large_allocations
from coralvale.cluster.server.node import serve
from coralvale.cluster.settings import SettingsError


def run_gateway(path: str, metrics: str = "", regions: str = "") -> int:
    """Runs a gateway until it is stopped; returns the exit code, 2 if its settings are invalid.

    `path`: of the settings file; `metrics`: ip:port of the metrics server, none if empty; `regions`: file of
    region bindings, none if empty.
    """
    events.configure_logging(os.environ.get("MYRTLEHATCH_LOG", "INFO"))
    gc.set_threshold(20_000, 20, 50)
    return_large_allocations()
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(serve(path, metrics, regions))
    except SettingsError as error:
        print(error, file=sys.stderr)
        return 2
    return 0
