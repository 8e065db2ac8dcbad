"""Commands for hosts: health verdicts on each instance of a service."""

from __future__ import annotations

import json
import sys
import time
from typing import Any

from coralvale.cluster.commands.asking import CommandError, call_for_object


def health(*at: str, as_json: bool = False, watch: float = 0.0) -> int:
    """Show each instance's health verdict, who reported it, and its share of traffic at each gateway.

    The exit code is 1 if any instance is not well.

    :param at: Ctl addresses of gateways, ip:port
    :param as_json: print one JSON object (one per line with --watch)
    :param watch: seconds between refreshes; 0: print once
    """
    if not at:
        raise CommandError("health: give at least one Ctl address, ip:port")
    while True:
        copies: dict[str, dict[str, Any]] = {}
        for one in at:
            found = call_for_object(one, "gateway.status")
            for row in found["hosts"]:
                copy = copies.setdefault(
                    row["id"], {"service": row["service"], "state": row["state"], "at": {}}
                )
                told = {name: row[name] for name in ("health", "for", "ill", "by", "share")}
                copy["at"][found["name"]] = told
        if as_json:
            print(json.dumps(copies), flush=True)
        else:
            head = f"{'copy':<16} {'service':<12} {'gateway':<24} {'verdict':<10} {'for s':>6}"
            print(f"{head} {'ill':>5} {'share':>6} told by")
            for name, copy in sorted(copies.items(), key=lambda c: (c[1]["service"], c[0])):
                for gateway, told in copy["at"].items():
                    print(
                        f"{name:<16} {copy['service']:<12} {gateway:<24} {told['health']:<10}"
                        f" {told['for']:>6.1f} {told['ill']:>5.2f} {told['share']:>6.3f} {', '.join(told['by'])}"
                    )
            sys.stdout.flush()
        if not watch:
            return int(any(t["health"] != "well" for c in copies.values() for t in c["at"].values()))
        time.sleep(watch)
