"""`coralvale members`: what a gateway knows of the others, as it tells at its operators' address."""

from __future__ import annotations

import argparse
import http.client
import json
import sys

WAIT = 5.0  # s for the gateway's answer
STATES = {"alive": "green", "suspect": "yellow", "dead": "red", "left": "dim"}


def add(command: argparse.ArgumentParser) -> None:
    """The words of the command."""
    command.epilog = (
        "Exit codes: 0 all are there; 1 some are suspected or dead; 2 no answer, or a wrong call."
    )
    command.add_argument("--at", metavar="ADDRESS", required=True, help="the gateway's operators' address")
    command.add_argument("--json", action="store_true", help="the gateway's answer as it is")
    command.add_argument("--gone", action="store_true", help="those that left, too")


def run(asked: argparse.Namespace) -> int:
    """Asks and shows."""
    host, colon, port = asked.at.rpartition(":")
    if not (host and colon and port.isdecimal() and int(port) < 65536):
        print(f"coralvale: --at: expected address:port, got {asked.at!r}", file=sys.stderr)
        return 2
    call = http.client.HTTPConnection(host.strip("[]"), int(port), timeout=WAIT)
    try:
        call.request("GET", "/members")
        answer = call.getresponse()
        text = answer.read().decode()
    except OSError as error:
        print(f"coralvale: {asked.at}: {error}", file=sys.stderr)
        return 2
    finally:
        call.close()
    if answer.status != 200:
        print(
            f"coralvale: {asked.at}: {answer.status}: is [members] in its operator's file?", file=sys.stderr
        )
        return 2
    told = json.loads(text)
    if asked.json:
        print(json.dumps(told))
    else:
        show(told, asked.gone)
    return int(any(m["state"] in ("suspect", "dead") for m in told["members"]))


def show(told: dict[str, object], gone: bool) -> None:
    from rich.console import Console
    from rich.table import Table

    console = Console(width=None if sys.stdout.isatty() else 160)
    members = told["members"]
    assert isinstance(members, list)
    shown = Table(box=None, pad_edge=False)
    for name in ("member", "address", "zone", "weight", "state", "for", "incarnation", "heard", "by"):
        shown.add_column(name, justify="right" if name in ("zone", "weight", "for", "heard") else "left")
    for m in members:
        if m["state"] == "left" and not gone:
            continue
        state = m["state"] + (f", dead in {m['dead_in_s']:g} s" if m["dead_in_s"] is not None else "")
        shown.add_row(
            m["name"] + (" (asked)" if m["name"] == told["me"] else ""), m["address"], str(m["zone"]),
            f"{m['weight']:g}", f"[{STATES[m['state']]}]{state}[/]", f"{m['for_s']:.0f} s", str(m["incarnation"]),
            "-" if m["heard_s"] is None else f"{m['heard_s']:.1f} s", ", ".join(m["suspected_by"]) or m["by"],
        )  # fmt: skip
    console.print(shown)
    refused = told["refused"]
    assert isinstance(refused, dict)
    ill = "" if not told["health"] else f"; it hears badly ({told['health']} of 8)"
    print(f"{told['there']} there in {told['cluster']}{ill}")
    if refused:
        print("packets refused: " + ", ".join(f"{why} {count}" for why, count in refused.items()))
