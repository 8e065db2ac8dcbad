"""Commands for the configuration: send a change, compare two versions, list past changes."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any

from coralvale.cluster.commands.asking import CommandError, call_for_object, call_gateway


def send(file: Path, *at: str, base: int = -1, patience: float = 30.0, as_json: bool = False) -> int:
    """Send a whole configuration, or a change by name, until a gateway accepts or refuses it.

    It is sent unchanged to one gateway after another. Exit code 0: accepted; 1: refused, with the reason; 2:
    no definite answer, so it may or may not be in force: send it again, unchanged, with the same --base.

    :param file: JSON with Ver, Routes, Svcs, Limits, Tenants, or with Ver, Upsert, Remove
    :param at: Ctl addresses of gateways, ip:port
    :param base: the version that it builds on; by default the one in force
    :param patience: seconds for which it is sent again
    :param as_json: print one JSON object
    """
    from coralvale.cluster import sending

    if not at:
        raise CommandError("config send: give at least one Ctl address, ip:port")
    try:
        change = json.loads(file.read_bytes())
        sending.call_of(change)
    except (OSError, ValueError) as error:
        raise CommandError(f"{file}: {error}") from None
    if base < 0:
        base = _current_version(at)
    found = sending.send(change, base, at, patience, lambda line: print(line, file=sys.stderr, flush=True))
    row = {"status": found.status, "at": found.gateway, "reason": found.reason, "tries": found.tries}
    if as_json:
        print(json.dumps({"version": change["Ver"], "base": base, **row}))
    elif found.status == 200:
        print(f"version {change['Ver']} on {base} accepted by {found.gateway}")
    else:
        print(f"{file}: {found.status or 'no definite answer'}: {found.reason}", file=sys.stderr)
    return 0 if found.status == 200 else 1 if found.status else 2


def _current_version(gateways: tuple[str, ...]) -> int:
    """The version in force according to the first gateway that answers. Raises CommandError if none does."""
    last_error = CommandError("no gateway answers")
    for one in gateways:
        try:
            return int(call_for_object(one, "config.read").get("Ver", 0))
        except CommandError as error:
            last_error = error
    raise last_error


def history(at: str, *, as_json: bool = False) -> int:
    """List the newest changes of the configuration, with what each added, changed and removed.

    :param at: the Ctl address of a core member, ip:port
    :param as_json: print one JSON list
    """
    steps = call_gateway(at, "gateway.history")
    if as_json:
        print(json.dumps(steps))
        return 0
    for step in steps:
        what = "whole" if step["whole"] else "by names"
        print(f"{step['version']:>8} on {step['base']:<8} {what:<9} {step['size']:>9} bytes")
        _print_changes({s: {w: tuple(n) for w, n in rows.items()} for s, rows in step["did"].items()})
    return 0


def _print_changes(changes: dict[str, dict[str, tuple[int, list[str]]]]) -> None:
    for section, rows in changes.items():
        for kind, (count, names) in rows.items():
            more = f" and {count - len(names)} more" if count > len(names) else ""
            print(f"         {section}: {kind} {', '.join(names)}{more}")


def diff(before: str, after: str, *, as_json: bool = False) -> int:
    """List what differs between two configurations, by name. The exit code is 1 if they differ.

    :param before: a file, or the Ctl address of a gateway (ip:port) for the configuration in force there
    :param after: the other one, likewise
    :param as_json: print one JSON object
    """
    from coralvale.cluster.configuration.model import differences

    found = differences(_configuration(before), _configuration(after))
    if as_json:
        print(json.dumps(found))
    else:
        _print_changes({s: {w: (len(n), n) for w, n in rows.items()} for s, rows in found.items()})
    return 1 if found else 0


def _configuration(of: str) -> dict[str, Any]:
    """The configuration in a file, or the one in force at a gateway."""
    if not Path(of).exists():
        host, _, port = of.rpartition(":")
        if not host or not port.isdigit():
            raise CommandError(f"{of}: neither an existing file nor an ip:port")
        return call_for_object(of, "config.read")
    try:
        found = json.loads(Path(of).read_bytes())
    except (OSError, ValueError) as error:
        raise CommandError(f"{of}: {error}") from None
    if not isinstance(found, dict):
        raise CommandError(f"{of}: expected a configuration (a JSON object)")
    return found
