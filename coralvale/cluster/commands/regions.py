"""Commands for services that are bound to regions."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

from coralvale.cluster.commands.asking import CommandError, call_for_object, read_logs


def show_regions(*at: str, as_json: bool = False) -> int:
    """Show the region that each service is bound to, its gateways and hosts, and requests refused elsewhere.

    The exit code is 1 if a bound service has no gateway or no host in its region, or a gateway there is not
    sure of its bindings.

    :param at: Ctl addresses of gateways, ip:port
    :param as_json: print one JSON object
    """
    if not at:
        raise CommandError("regions: give at least one Ctl address, ip:port")
    statuses = [call_for_object(one, "gateway.status") for one in at]
    zones = {zone: region for found in statuses for zone, region in found["zones"].items()}
    services: dict[str, dict[str, Any]] = {}
    for found in statuses:
        for name, region in found["bindings"].items():
            row = services.setdefault(name, {"region": region, "gateways": [], "unsure": [], "hosts": {}})
            if found["region"] == region:
                row["gateways"].append(found["name"])
                if not found["binding_sure"]:
                    row["unsure"].append(found["name"])
            for host in found["hosts"]:
                if host["service"] == name:
                    row["hosts"][host["id"]] = zones.get(host["zone"], "")
    rows = {
        name: {**row, "hosts": {r: list(row["hosts"].values()).count(r) for r in set(row["hosts"].values())}}
        for name, row in services.items()
    }
    refused_elsewhere = {
        f["name"]: {"refused": f["refused_abroad"], "for": f["refused_for"]}
        for f in statuses
        if f["refused_abroad"]
    }
    well = all(r["gateways"] and not r["unsure"] and r["hosts"].get(r["region"]) for r in rows.values())
    if as_json:
        print(json.dumps({"well": well, "services": rows, "refused_abroad": refused_elsewhere}))
        return 0 if well else 1
    print(f"{'service':<16} {'bound to':<16} {'hosts by region':<32} gateways there")
    for name, row in sorted(rows.items()):
        hosts = ", ".join(
            f"{region or 'no region'} {count}" for region, count in sorted(row["hosts"].items())
        )
        there = ", ".join(g + (" (unsure)" if g in row["unsure"] else "") for g in row["gateways"])
        print(f"{name:<16} {row['region']:<16} {hosts or 'none':<32} {there or 'none'}")
    for name, refusals in refused_elsewhere.items():
        counts = ", ".join(f"{count} of {region}" for region, count in refusals["refused"].items())
        print(f"{name}: refused abroad in {refusals['for']:.0f} s: {counts}")
    return 0 if well else 1


def audit(*logs: Path, as_json: bool = False) -> int:
    """Count answers to requests of bound services by region, from gateways' logs.

    Each answer from outside the bound region is listed, and makes the exit code 1.

    :param logs: log files, or folders of them
    :param as_json: print one JSON object
    """
    import re

    line_of = re.compile(r"^(\S+) \S+ E521 request (\S+) of (\S+), bound to (.*), answered (\d+) in (.*)$")
    answers: dict[str, dict[str, int]] = {}
    outside = []
    for file, lines in read_logs(logs):
        for line in lines:
            if found := line_of.match(line):
                at, id_, service, bound, _, region = found.groups()
                count = answers.setdefault(service, {})
                count[region] = count.get(region, 0) + 1
                if region != bound:
                    row = {"gateway": file.name, "at": at, "request": id_, "service": service}
                    outside.append({**row, "bound": bound, "region": region})
    if as_json:
        print(json.dumps({"answers": answers, "outside": outside}))
    else:
        for service, counts in sorted(answers.items()):
            counts_text = ", ".join(f"{count} in {region or 'no region'}" for region, count in counts.items())
            print(f"{service}: {counts_text}")
        for row in outside:
            print(
                f"OUTSIDE {row['at']} {row['gateway']} {row['request']} of {row['service']} in {row['region']}"
            )
        print(f"{sum(sum(c.values()) for c in answers.values())} answers, {len(outside)} from outside")
    return 1 if outside else 0
