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
        instances: dict[str, dict[str, Any]] = {}
        for address in at:
            found = call_for_object(address, "gateway.status")
            for row in found["hosts"]:
                instance = instances.setdefault(
                    row["id"], {"service": row["service"], "state": row["state"], "at": {}}
                )
                view = {name: row[name] for name in ("health", "for", "ill", "by", "share")}
                instance["at"][found["name"]] = view
        if as_json:
            print(json.dumps(instances), flush=True)
        else:
            head = f"{'copy':<16} {'service':<12} {'gateway':<24} {'verdict':<10} {'for s':>6}"
            print(f"{head} {'ill':>5} {'share':>6} told by")
            for name, instance in sorted(instances.items(), key=lambda c: (c[1]["service"], c[0])):
                for gateway, view in instance["at"].items():
                    print(
                        f"{name:<16} {instance['service']:<12} {gateway:<24} {view['health']:<10}"
                        f" {view['for']:>6.1f} {view['ill']:>5.2f} {view['share']:>6.3f} {', '.join(view['by'])}"
                    )
            sys.stdout.flush()
        if not watch:
            return int(any(t["health"] != "well" for c in instances.values() for t in c["at"].values()))
        time.sleep(watch)
