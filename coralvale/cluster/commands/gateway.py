"""Commands for one gateway: start it, check its files, show its status; and the demo."""

from __future__ import annotations

import json
import time
from pathlib import Path
from typing import Any

from coralvale.cluster.commands.asking import CommandError, call_for_object


def run(*, settings: str = "", metrics: str = "", regions: str = "") -> int:
    """Start one gateway.

    :param settings: the settings file; by default the one that MYRTLEHATCH_CONFIG names
    :param metrics: ip:port on loopback or an operators' network for the Prometheus page; by default none
    :param regions: a file that binds services to regions, in addition to the configuration
    """
    from coralvale.cluster.reload_signal import hold_reload_signal

    hold_reload_signal()
    import os
    from importlib.util import find_spec

    from coralvale.cluster.settings import parse_address
    from coralvale.cluster.start import run_gateway

    if metrics:
        try:
            parse_address(metrics)
        except ValueError as error:
            raise CommandError(f"--metrics: {error}") from None
        if find_spec("prometheus_client") is None:
            raise CommandError(
                "--metrics: needs the extra cluster-metrics (pip install '.[cluster-metrics]')"
            )
    return run_gateway(settings or os.environ.get("MYRTLEHATCH_CONFIG", ""), metrics, regions)


def check(file: Path, *, configuration: bool = False, as_json: bool = False) -> int:
    """Check a settings file, or an operator's configuration, and print every mistake in it.

    :param file: the file
    :param configuration: the file is a configuration (JSON), not a settings file (YAML)
    :param as_json: print one JSON object
    """
    from coralvale.cluster.configuration.history import Change, check_change
    from coralvale.cluster.configuration.model import Configuration
    from coralvale.cluster.errors import Problem
    from coralvale.cluster.settings import SettingsError, read, remarks

    mistakes: list[str] = []
    remark_lines: list[str] = []
    if configuration:
        try:
            found = check_change(Change(0, True, file.read_bytes()), Configuration())
            if isinstance(found, Problem):
                mistakes = found.reason.split("; ")
        except OSError as error:
            raise CommandError(f"{file}: {error.strerror}") from None
    else:
        if not file.exists():
            raise CommandError(f"{file}: no such file")
        try:
            read(str(file))
            remark_lines = remarks(file.read_text())
        except SettingsError as error:
            mistakes = str(error).split("\n")
    if as_json:
        row = {"file": str(file), "well": not mistakes, "mistakes": mistakes, "remarks": remark_lines}
        print(json.dumps(row))
    else:
        for line in remark_lines:
            print(f"{file}: remark: {line}")
        print("\n".join(mistakes) if mistakes else f"{file}: well")
    return 1 if mistakes else 0


def _format_status(found: dict[str, Any]) -> str:
    from coralvale.cluster.rate_limit.shares import CELLS

    leader = found.get("leader", found.get("holder"))  # gateways of the previous version name it "holder"
    lines = [
        f"{found['name']} ({found['zone']}): {'ready' if found['ready'] else 'not ready'}, "
        f"version {found['version']}, {found['open']} requests in hand",
        f"core: view {found['view']}, leader {leader or 'none'}, members {', '.join(found['core'])}",
        f"quotas: {found['shares']['cells']} of {CELLS} cells by table {found['shares']['version']}",
    ]
    if coordination := found.get("coordination"):
        lines.append(_format_coordination(coordination))
    lines.append(f"{'gateway':<28} {'state':<9} {'heard s':>8}")
    lines += [f"{g['name']:<28} {g['state']:<9} {g['heard']:>8.1f}" for g in found["gateways"]]
    lines.append(
        f"{'host':<16} {'service':<12} {'zone':<18} {'state':<9} {'heard s':>8} {'load':>8} {'slow':>6} health"
    )
    lines += [
        f"{h['id']:<16} {h['service']:<12} {h['zone']:<18} {h['state']:<9} {h['heard']:>8.1f}"
        f" {h['load']:>8.1f} {h['slow']:>6.2f} {h['health']}"
        for h in found["hosts"]
    ]
    lines.append(
        f"{'tenant':<16} {'quota/s':>8} {'here/s':>8} {'all/s':>8} {'window':>8} {'leak/s':>8}"
        f" {'share':>6} {'tokens':>7}"
    )
    lines += [
        f"{t['name']:<16} {t['quota']:>8.1f} {t['here']:>8.1f} {t['all']:>8.1f}"
        f" {t['window']:>8} {t['leak']:>8.1f} {t['share']:>6.3f} {t['tokens']:>7.1f}"
        for t in found["tenants"]
    ]
    return "\n".join(lines)


def _format_coordination(told: dict[str, Any]) -> str:
    held = ", ".join(f"{told[name]} {name}" for name in ("locks", "numbers", "keys", "watches"))
    pace = f"{told['turns_per_s']:.1f} turns/s, {told['calls_per_s']:.1f} calls/s"
    delay = f"p50 {told['delay_ms']['p50']:.0f} ms, p99 {told['delay_ms']['p99']:.0f} ms as the leader"
    return f"coordination: {held}; {pace}, {delay}"


def status(at: str, *, as_json: bool = False, watch: float = 0.0) -> int:
    """Show a gateway's status: view, members, version, hosts, quotas. The exit code is 1 if it is not ready.

    :param at: the gateway's Ctl address, ip:port
    :param as_json: print one JSON object (one per line with --watch)
    :param watch: seconds between refreshes; 0: print once
    """
    while True:
        found = call_for_object(at, "gateway.status")
        print(json.dumps(found) if as_json else _format_status(found), flush=True)
        if not watch:
            return 0 if found["ready"] else 1
        time.sleep(watch)


def demo(*, seconds: float = 9.0, as_json: bool = False) -> int:
    """Start five gateways on loopback, three with disks, with simulated hosts, clients and an operator.

    Shows traffic being served, a change of the configuration, and the founder of the core being killed.

    :param seconds: how long traffic is generated
    :param as_json: print only the summary, as one JSON object
    """
    import asyncio

    from coralvale.standins.cluster import demo as play

    found = asyncio.run(play(seconds, (lambda line: None) if as_json else print))
    print(json.dumps(found))
    return 0 if found["well"] else 1
