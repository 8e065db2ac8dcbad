"""Starts a gateway: reads its configuration, builds its subsystems, runs the event loop, handles signals."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import sys
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING
from urllib.parse import quote

import uvloop

from coralvale.net.clock import Clock
from coralvale.net.config import Config, ConfigError, read_config
from coralvale.net.logs import RateLimitFilter
from coralvale.net.node import Node

if TYPE_CHECKING:  # imported at run time only if the operator's file enables them
    from coralvale.attempts.service import Recorder
    from coralvale.authorisation.service import Authorisers
    from coralvale.interface import Allowance
    from coralvale.ledger.service import Meter
    from coralvale.members.service import Service as Members
    from coralvale.net.transport import Transport
    from coralvale.net.upstream import Upstreams
    from coralvale.operator import Operator
    from coralvale.plans.follower import Follower
    from coralvale.syslog.service import Sender

log = logging.getLogger(__name__)


def reload(node: Node, path: str) -> None:
    """On SIGHUP: reads the configuration file again; an invalid one changes nothing."""
    try:
        config = read_config(path)
    except ConfigError as error:
        log.error("keeping the old configuration: %s", error)
        node.request_stats.reloads_failed += 1
        return
    node.reload(config)
    node.request_stats.reloads_ok += 1


def reload_subsystems(path: str, reloaders: dict[str, Callable[[Operator], object]]) -> None:
    """On SIGHUP: reads the operator's file again; a subsystem that cannot use it keeps its old settings."""
    from coralvale.operator import OperatorError, read_operator

    try:
        operator = read_operator(path)
    except OperatorError as error:
        for name in reloaders:
            log.error("keeping the old %s: %s", name, error)
        return
    for name, reload_one in reloaders.items():
        try:
            reload_one(operator)
        except ValueError as error:
            log.error("keeping the old %s: %s", name, error)


async def serve(config: Config, path: str, operator: Operator | None = None, operator_path: str = "") -> None:
    """Runs the gateway until it is stopped by SIGTERM or SIGINT."""
    loop = asyncio.get_running_loop()
    clock = Clock()
    gate = build_authorisers(config, operator, clock) if operator else None
    allowance = build_allowance(config, operator, clock) if operator else None
    recorder = build_recorder(config, operator, clock) if operator else None
    sender = build_sender(config, operator, clock) if operator else None
    meter = build_meter(config, operator, clock) if operator else None
    follower = build_follower(config, operator, clock) if operator else None
    terms = follower.terms if follower else None
    carry = build_transport(config, operator) if operator else None
    members = build_members(config, operator) if operator else None
    if members and members.table.quotas:
        allowance = members.lend(config.settings.plans, clock.now)
    node = Node(config, clock, allowance, gate, recorder, shared_folder(config), sender, meter, terms, carry)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, node.stop)

    reloaders: dict[str, Callable[[Operator], object]] = {}
    if gate:
        reloaders["authorisers"] = lambda operator_file: gate.reload(operator_file.authorisation)
    if sender:
        reloaders["receivers"] = lambda operator_file: sender.reload(operator_file.syslog)
    if members:
        reloaders["members' keys"] = lambda operator_file: members.reload(operator_file.members)

    def on_sighup() -> None:
        reload(node, path)
        if reloaders:
            reload_subsystems(operator_path, reloaders)

    loop.add_signal_handler(signal.SIGHUP, on_sighup)
    node.start()
    following = loop.create_task(follower.run()) if follower else None
    meeting = loop.create_task(members.run()) if members else None
    if members:
        node.pages[b"members"] = members.page
        if members.quotas:
            node.defer = members.hold
        if members.table.hosts:
            members.spread(node.gateway)
    # Objects made at start-up live as long as the process; exclude them from garbage collection to save time.
    gc.collect()
    gc.freeze()
    await node.stopped
    if members and meeting:
        await members.leave()
        meeting.cancel()
    node.close()
    if follower and following:
        await follower.close(following)
    if sender:
        await sender.finish()


def shared_folder(config: Config) -> Path | None:
    """Folder shared with the previous and the next process of this gateway, or None.

    It needs TMPDIR and an address for the operators' server.
    """
    given = os.environ.get("TMPDIR")
    return Path(given, "coralvale-" + quote(config.name, safe="")) if given and config.management else None


def build_allowance(config: Config, operator: Operator, clock: Clock) -> Allowance | None:
    """Allowance shared with other gateways, if the operator's file enables it."""
    if (table := operator.allowance) is None:
        return None
    from coralvale.allowance.shares import Shares

    if config.counter is None:
        log.warning("[allowance] without a counter: every gateway uses an even share")
    return Shares(config.settings, clock.now(), table.window_s, table.quotas, table.calls_per_s)


def build_authorisers(config: Config, operator: Operator, clock: Clock) -> Authorisers | None:
    """Clients of the authorisers in the operator's file, if any."""
    if not operator.authorisation:
        return None
    from coralvale.authorisation.service import Authorisers
    from coralvale.operator import OperatorError

    try:
        return Authorisers(operator.authorisation, config.settings, clock, config.seed)
    except OperatorError as error:
        raise ConfigError(f"operator's file: {error}") from None


def build_recorder(config: Config, operator: Operator, clock: Clock) -> Recorder | None:
    """The journal of attempts, if the operator's file enables it."""
    if operator.attempts is None:
        return None
    from coralvale.attempts.service import JournalError, Recorder

    try:
        return Recorder(operator.attempts, config.settings, clock)
    except JournalError as error:
        raise ConfigError(f"attempts: {error}") from None


def build_sender(config: Config, operator: Operator, clock: Clock) -> Sender | None:
    """The sender of final answers to syslog, if the operator's file names receivers."""
    if operator.syslog is None:
        return None
    from coralvale.syslog.service import Sender, SyslogError

    try:
        return Sender(operator.syslog, config, clock)
    except SyslogError as error:
        raise ConfigError(f"operator's file: {error}") from None


def build_meter(config: Config, operator: Operator, clock: Clock) -> Meter | None:
    """The meter that writes the billing ledger, if the operator's file enables it."""
    if operator.ledger is None:
        return None
    from coralvale.ledger.model import LedgerError
    from coralvale.ledger.service import Meter

    try:
        return Meter(operator.ledger, config, clock)
    except LedgerError as error:
        raise ConfigError(str(error)) from None


def build_follower(config: Config, operator: Operator, clock: Clock) -> Follower | None:
    """The follower of a plan service, if the operator's file names one."""
    if operator.plans is None:
        return None
    from coralvale.operator import OperatorError
    from coralvale.plans.follower import Follower
    from coralvale.plans.terms import Terms

    table = operator.plans
    try:
        terms = Terms(config.settings, table.strict, (table.floor_rate, table.floor_burst))
        return Follower(table, config.name, terms, clock)
    except OperatorError as error:
        raise ConfigError(f"operator's file: {error}") from None


def build_members(config: Config, operator: Operator) -> Members | None:
    """Membership of gateways, if the operator's file enables it."""
    if operator.members is None:
        return None
    from coralvale.members.service import Service
    from coralvale.operator import OperatorError

    try:
        return Service(operator.members, config.name)
    except OperatorError as error:
        raise ConfigError(f"operator's file: {error}") from None


def build_transport(config: Config, operator: Operator) -> Callable[[Upstreams], Transport] | None:
    """Makes the HTTP/2 transport to hosts, if the operator's file enables it."""
    if operator.http2 is None:
        return None
    from coralvale.http2.service import Transport as Http2
    from coralvale.operator import OperatorError

    table = operator.http2

    def carry(plain: Upstreams) -> Transport:
        try:
            return Http2(table, plain, config.kinds)
        except OperatorError as error:
            raise ConfigError(f"operator's file: {error}") from None

    return carry


def run(operator: str = "") -> int:
    """Runs a gateway; `operator` is the path of the operator's file, or empty. Returns the exit code."""
    logging.basicConfig(level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s", stream=sys.stderr)
    logging.getLogger().handlers[0].addFilter(RateLimitFilter())
    # libuv's io_uring starts a polling kernel thread, which used all CPU time on less than one core.
    os.environ.setdefault("UV_USE_IO_URING", "0")
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # a SIGHUP before the loop runs must not end the program
    path = os.environ.get("LB_CONFIG")
    if not path:
        print("coralvale: LB_CONFIG is not set", file=sys.stderr)
        return 2
    operator_file: Operator | None = None
    if operator:
        from coralvale.operator import OperatorError, read_operator

        try:
            operator_file = read_operator(operator)
        except OperatorError as error:
            print(f"coralvale: {error}", file=sys.stderr)
            return 2
    try:
        uvloop.run(serve(read_config(path), path, operator_file, operator))
    except ConfigError as error:
        print(f"coralvale: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"coralvale: cannot start: {error}", file=sys.stderr)
        return 1
    return 0


def main() -> int:
    """Runs the gateway, as the platform starts it, or the command line if there are arguments.

    CORALVALE_OPERATOR also selects the command line, with its command `gateway`.
    """
    if len(sys.argv) > 1 or os.environ.get("CORALVALE_OPERATOR"):
        from coralvale.cli import main as command_line

        return command_line(sys.argv[1:] or ["gateway"])
    return run()


if __name__ == "__main__":
    sys.exit(main())
