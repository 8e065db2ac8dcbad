"""Starts the control service: configuration, operator's file, event loop, signals."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import sys

import grpc  # noqa: F401  # a missing extra is told before anything is read
import uvloop

from coralvale.control.service import NAMED, ControlService
from coralvale.net.config import Config, ConfigError, read_config
from coralvale.net.logs import RateLimitFilter
from coralvale.operator import Control, OperatorError, read_operator

log = logging.getLogger(__name__)
GRACE = 0.2  # s for streams to end after SIGTERM; proxies go on with what they have


async def serve(config: Config, control: Control, path: str) -> None:
    service = ControlService(config, control)
    ended = asyncio.Event()
    loop = asyncio.get_running_loop()

    def reload() -> None:
        try:
            service.reload(read_config(path))
        except ConfigError as error:
            log.error("keeping the old configuration: %s", error)

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ended.set)
    loop.add_signal_handler(signal.SIGHUP, reload)
    await service.start()
    # What start-up made lives for good, and what streams make has no cycles to speak of: a full collection over
    # thousands of streams in the middle of a drain would hold it up for longer than all else.
    gc.collect()
    gc.freeze()
    gc.set_threshold(50_000, 20, 100)
    await ended.wait()
    log.info("stopping")
    await service.close(GRACE)


def run(operator: str) -> int:
    """The command `coralvale control`; its exit code."""
    logging.basicConfig(level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s", stream=sys.stderr)
    # A proxy that comes back at once to break the same limit again must not fill the log either.
    logging.getLogger().handlers[0].addFilter(RateLimitFilter(max_lines=NAMED))
    os.environ.setdefault("UV_USE_IO_URING", "0")
    path = os.environ.get("LB_CONFIG")
    try:
        if not operator:
            raise OperatorError("control needs the operator's file: --operator FILE or CORALVALE_OPERATOR")
        control = read_operator(operator).control
        if control is None:
            raise OperatorError(f"{operator}: control: expected a table [control]")
        if not path:
            raise ConfigError("LB_CONFIG is not set")
        uvloop.run(serve(read_config(path), control, path))
    except (OperatorError, ConfigError) as error:
        print(f"coralvale: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"coralvale: cannot start: {error}", file=sys.stderr)
        return 1
    return 0
