"""The command line, by `defopt`: each public function below is a command. Imported only when a word is given.

Exit codes: 0 well, 1 what was looked at is not well, 2 the command was not understood or could not be carried
out.
"""

from __future__ import annotations

import json
import sys
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import defopt


class Fault(Exception):
    """A command cannot be carried out; one line."""


def run(*, settings: str = "", metrics: str = "", regions: str = "") -> int:
    """Start one gateway.

    :param settings: the settings file; left out, MYRTLEHATCH_CONFIG names it
    :param metrics: ip:port on loopback or a network of operators, of a page for Prometheus; none without it
    :param regions: a file that binds services to regions, beside the configuration
    """
    import os
    from importlib.util import find_spec

    from coralvale.cluster.settings import address
    from coralvale.cluster.start import serve_now

    if metrics:
        try:
            address(metrics)
        except ValueError as error:
            raise Fault(f"--metrics: {error}") from None
        if find_spec("prometheus_client") is None:
            raise Fault("--metrics: needs the extra cluster-metrics (pip install '.[cluster-metrics]')")
    return serve_now(settings or os.environ.get("MYRTLEHATCH_CONFIG", ""), metrics, regions)


def check(file: Path, *, configuration: bool = False, as_json: bool = False) -> int:
    """Read a settings file, or an operator's configuration, and say all that is wrong with it.

    :param file: the file
    :param configuration: it is a configuration (JSON), not a settings file (YAML)
    :param as_json: print one JSON object
    """
    from coralvale.cluster.configuration.model import Configuration, survey
    from coralvale.cluster.errors import Problem
    from coralvale.cluster.settings import SettingsError, read, remarks

    mistakes: list[str] = []
    remarked: list[str] = []
    if configuration:
        try:
            found = survey(json.loads(file.read_bytes()), Configuration())
            if isinstance(found, Problem):
                mistakes = found.reason.split("; ")
        except OSError as error:
            raise Fault(f"{file}: {error.strerror}") from None
        except ValueError as error:
            mistakes = [f"cannot be read whole: {error}"]
    else:
        if not file.exists():
            raise Fault(f"{file}: no such file")
        try:
            read(str(file))
            remarked = remarks(file.read_text())
        except SettingsError as error:
            mistakes = str(error).split("\n")
    if as_json:
        row = {"file": str(file), "well": not mistakes, "mistakes": mistakes, "remarks": remarked}
        print(json.dumps(row))
    else:
        for line in remarked:
            print(f"{file}: remark: {line}")
        print("\n".join(mistakes) if mistakes else f"{file}: well")
    return 1 if mistakes else 0


def _ask(at: str, name: str) -> Any:  # noqa: ANN401
    from coralvale.cluster.sending import post

    try:
        status, body = post(at, f"/rpc?call={name}", b"")
        if status != 200:
            raise Fault(f"{at}: {status} {body.decode(errors='replace')}")
        return json.loads(body)
    except (OSError, ValueError) as error:
        raise Fault(f"{at}: {error}") from None


def _call(at: str, name: str) -> dict[str, Any]:
    found = _ask(at, name)
    if not isinstance(found, dict):
        raise Fault(f"{at}: not an answer of a gateway")
    return found


def _table(found: dict[str, Any]) -> str:
    from coralvale.cluster.rate_limit.shares import CELLS

    leader = found.get("leader", found.get("holder"))  # a gateway of the version before has the other name
    lines = [
        f"{found['name']} ({found['zone']}): {'ready' if found['ready'] else 'not ready'}, "
        f"version {found['version']}, {found['open']} requests in hand",
        f"core: view {found['view']}, leader {leader or 'none'}, members {', '.join(found['core'])}",
        f"quotas: {found['shares']['cells']} of {CELLS} cells by table {found['shares']['version']}",
        f"{'gateway':<28} {'state':<9} {'heard s':>8}",
    ]
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


def status(at: str, *, as_json: bool = False, watch: float = 0.0) -> int:
    """Show what a gateway knows: view, members, version, hosts, quotas.

    :param at: the gateway's Ctl address, ip:port
    :param as_json: print one JSON object (a line each time, with --watch)
    :param watch: seconds between looks; 0 looks once
    """
    while True:
        found = _call(at, "gateway.status")
        print(json.dumps(found) if as_json else _table(found), flush=True)
        if not watch:
            return 0 if found["ready"] else 1
        time.sleep(watch)


def health(*at: str, as_json: bool = False, watch: float = 0.0) -> int:
    """Show what is held against each copy, by whom, and the share of its service that each gateway sends it.

    The exit code is 1 where something is held against a copy.

    :param at: Ctl addresses of gateways, ip:port
    :param as_json: print one JSON object (a line each time, with --watch)
    :param watch: seconds between looks; 0 looks once
    """
    if not at:
        raise Fault("health: at least one ip:port")
    while True:
        copies: dict[str, dict[str, Any]] = {}
        for one in at:
            found = _call(one, "gateway.status")
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


def show_regions(*at: str, as_json: bool = False) -> int:
    """Show which services are bound to which region, who is there, and what was refused abroad.

    The exit code is 1 where a bound service has no gateway or no host at home, or a gateway is not sure of a
    binding.

    :param at: Ctl addresses of gateways, ip:port
    :param as_json: print one JSON object
    """
    if not at:
        raise Fault("regions: at least one ip:port")
    seen = [_call(one, "gateway.status") for one in at]
    zones = {zone: region for found in seen for zone, region in found["zones"].items()}
    services: dict[str, dict[str, Any]] = {}
    for found in seen:
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
    abroad = {
        f["name"]: {"refused": f["refused_abroad"], "for": f["refused_for"]}
        for f in seen
        if f["refused_abroad"]
    }
    well = all(r["gateways"] and not r["unsure"] and r["hosts"].get(r["region"]) for r in rows.values())
    if as_json:
        print(json.dumps({"well": well, "services": rows, "refused_abroad": abroad}))
        return 0 if well else 1
    print(f"{'service':<16} {'bound to':<16} {'hosts by region':<32} gateways there")
    for name, row in sorted(rows.items()):
        hosts = ", ".join(
            f"{region or 'no region'} {count}" for region, count in sorted(row["hosts"].items())
        )
        there = ", ".join(g + (" (unsure)" if g in row["unsure"] else "") for g in row["gateways"])
        print(f"{name:<16} {row['region']:<16} {hosts or 'none':<32} {there or 'none'}")
    for name, told in abroad.items():
        counts = ", ".join(f"{count} of {region}" for region, count in told["refused"].items())
        print(f"{name}: refused abroad in {told['for']:.0f} s: {counts}")
    return 0 if well else 1


def audit(*logs: Path, as_json: bool = False) -> int:
    """Count answers of bound requests by region from gateways' logs, and name each from outside (exit code 1).

    :param logs: files of logs, or folders of them
    :param as_json: print one JSON object
    """
    import re

    line_of = re.compile(r"^(\S+) \S+ E521 request (\S+) of (\S+), bound to (.*), answered (\d+) in (.*)$")
    answers: dict[str, dict[str, int]] = {}
    outside = []
    for file, lines in _logs(logs):
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
            told = ", ".join(f"{count} in {region or 'no region'}" for region, count in counts.items())
            print(f"{service}: {told}")
        for row in outside:
            print(
                f"OUTSIDE {row['at']} {row['gateway']} {row['request']} of {row['service']} in {row['region']}"
            )
        print(f"{sum(sum(c.values()) for c in answers.values())} answers, {len(outside)} from outside")
    return 1 if outside else 0


def send(file: Path, *at: str, base: int = -1, patience: float = 30.0, as_json: bool = False) -> int:
    """Send a configuration, or a change by name, until a gateway takes it or refuses it.

    It is sent unchanged to one gateway after another. Exit code 0: taken; 1: refused, with the reason; 2: no
    clear answer, and it may or may not be in force: send it again, unchanged, with the same --base.

    :param file: JSON: Ver, Routes, Svcs, Limits, Tenants; or Ver, Upsert, Remove
    :param at: Ctl addresses of gateways, ip:port
    :param base: the version that it builds on; left out, the one that is in force
    :param patience: seconds for which it is sent again
    :param as_json: print one JSON object
    """
    from coralvale.cluster import sending

    if not at:
        raise Fault("config send: at least one ip:port")
    try:
        change = json.loads(file.read_bytes())
        sending.call_of(change)
    except (OSError, ValueError) as error:
        raise Fault(f"{file}: {error}") from None
    if base < 0:
        base = _in_force(at)
    found = sending.send(change, base, at, patience, lambda line: print(line, file=sys.stderr, flush=True))
    row = {"status": found.status, "at": found.at, "reason": found.reason, "tries": found.tries}
    if as_json:
        print(json.dumps({"version": change["Ver"], "base": base, **row}))
    elif found.status == 200:
        print(f"version {change['Ver']} on {base} taken by {found.at}")
    else:
        print(f"{file}: {found.status or 'no clear answer'}: {found.reason}", file=sys.stderr)
    return 0 if found.status == 200 else 1 if found.status else 2


def _in_force(gateways: tuple[str, ...]) -> int:
    """The newest version, from the first gateway that tells it."""
    fault = Fault("no gateway answers")
    for one in gateways:
        try:
            return int(_call(one, "config.read").get("Ver", 0))
        except Fault as error:
            fault = error
    raise fault


def history(at: str, *, as_json: bool = False) -> int:
    """Show the newest changes of the configuration, and what each did.

    :param at: the Ctl address of a member of the core, ip:port
    :param as_json: print one JSON list
    """
    steps = _ask(at, "gateway.history")
    if as_json:
        print(json.dumps(steps))
        return 0
    for step in steps:
        what = "whole" if step["whole"] else "by names"
        print(f"{step['version']:>8} on {step['base']:<8} {what:<9} {step['size']:>9} bytes")
        _print_did({s: {w: tuple(n) for w, n in rows.items()} for s, rows in step["did"].items()})
    return 0


def _print_did(did: dict[str, dict[str, tuple[int, list[str]]]]) -> None:
    for section, rows in did.items():
        for kind, (count, names) in rows.items():
            more = f" and {count - len(names)} more" if count > len(names) else ""
            print(f"         {section}: {kind} {', '.join(names)}{more}")


def diff(before: str, after: str, *, as_json: bool = False) -> int:
    """Tell two configurations apart, by names. The exit code is 1 where they differ.

    :param before: a file, or the Ctl address of a gateway (ip:port), for the one in force there
    :param after: the same
    :param as_json: print one JSON object
    """
    from coralvale.cluster.configuration.model import differences

    found = differences(_configuration(before), _configuration(after))
    if as_json:
        print(json.dumps(found))
    else:
        _print_did({s: {w: (len(n), n) for w, n in rows.items()} for s, rows in found.items()})
    return 1 if found else 0


def _configuration(of: str) -> dict[str, Any]:
    if not Path(of).exists():
        host, _, port = of.rpartition(":")
        if not host or not port.isdigit():
            raise Fault(f"{of}: no such file, and no ip:port")
        return _call(of, "config.read")
    try:
        found = json.loads(Path(of).read_bytes())
    except (OSError, ValueError) as error:
        raise Fault(f"{of}: {error}") from None
    if not isinstance(found, dict):
        raise Fault(f"{of}: expected a configuration")
    return found


def events(*, as_json: bool = False) -> int:
    """Print the catalogue of log events.

    :param as_json: print one JSON object
    """
    from coralvale.cluster.events import Event, catalogue

    if as_json:
        print(json.dumps({e.number: {"level": e.value[1], "text": e.value[2]} for e in Event}))
    else:
        print(catalogue(), end="")
    return 0


def _kept(folder: Path) -> dict[str, Any]:
    from coralvale.cluster.storage.keeper import KeeperError, look

    try:
        return look(folder)
    except KeeperError as error:
        raise Fault(str(error)) from None


def show(datadir: Path, *, as_json: bool = False) -> int:
    """Show what a disk holds, while its process is down.

    :param datadir: the settings' Datadir
    :param as_json: print one JSON object, the configuration with it
    """
    found = _kept(datadir)
    if as_json:
        print(json.dumps({name: value for name, value in found.items() if name != "image"}))
        return 0
    members = ", ".join(m["name"] for m in found["members"]) or "none"
    print(f"{found['file']}: disk {found['disk']}, view {found['view']}, members {members}")
    print(f"version {found['version']} ({found['routes']} routes), delivered up to {found['delivered']}")
    for row in found["entries"]:
        more = {k: v for k, v in row.items() if k not in ("seq", "view", "kind")}
        print(f"{row['seq']:>8} view {row['view']:<5} {row['kind']:<8} {more or ''}")
    return 0


def check_state(datadir: Path) -> int:
    """Say whether a disk's contents can be used.

    :param datadir: the settings' Datadir
    """
    found = _kept(datadir)
    print(f"{found['file']}: well, version {found['version']}, delivered up to {found['delivered']}")
    return 0


def export(datadir: Path) -> int:
    """Print what `restore` takes: the newest configuration that this disk knows to be delivered.

    :param datadir: the settings' Datadir
    """
    from coralvale.cluster.storage import keeper

    try:
        print(json.dumps(keeper.export(datadir)))
    except keeper.KeeperError as error:
        raise Fault(str(error)) from None
    return 0


def restore(file: Path, datadir: Path, *, hostname: str, ip: str, all_others_are_lost: bool = False) -> int:
    """Begin a new core from an export, after a loss beyond the fault budget.

    :param file: what `export` printed
    :param datadir: an empty Datadir of the machine that founds the new core
    :param hostname: that machine's Hostname
    :param ip: that machine's Ip
    :param all_others_are_lost: say so: a member of the old core that is there would go on beside the new
    """
    from coralvale.cluster.storage import keeper

    if not all_others_are_lost:
        raise Fault("refused: say --all-others-are-lost, and empty the disks of all other members first")
    try:
        name = keeper.restore(json.loads(file.read_bytes()), datadir, hostname, ip)
    except (keeper.KeeperError, OSError, ValueError) as error:
        raise Fault(str(error)) from None
    print(
        f"{datadir}: disk {name} is the only member of a new core; start it, then the others on empty disks"
    )
    return 0


def _logs(paths: tuple[Path, ...]) -> Iterator[tuple[Path, list[str]]]:
    """Files of logs, with those of folders, and their lines."""
    for file in [f for path in paths for f in (sorted(path.iterdir()) if path.is_dir() else [path])]:
        try:
            yield file, file.read_text(errors="replace").splitlines()
        except OSError as error:
            raise Fault(f"{file}: {error.strerror}") from None


def explain(request_id: str, *logs: Path, as_json: bool = False) -> int:
    """Tell a request's way from the logs of all gateways, written with MYRTLEHATCH_LOG=DEBUG.

    :param request_id: its X-Myrtlehatch-Request-Id
    :param logs: files of logs, or folders of them
    :param as_json: print one JSON object
    """
    found = []
    for file, lines in _logs(logs):
        for line in lines:
            words = line.split(" ", 5)
            if (
                len(words) == 6
                and words[2][:1] == "E"
                and words[3] == "request"
                and words[4].rstrip(":") == request_id
            ):
                found.append(
                    {"gateway": file.name, "at": words[0], "event": words[2], "text": " ".join(words[3:])}
                )
    found.sort(key=lambda row: row["at"])
    if as_json:
        print(json.dumps(found))
    else:
        print(
            "\n".join(f"{r['at']} {r['gateway']} {r['event']} {r['text']}" for r in found)
            or "not in these logs"
        )
    return 0 if found else 1


def demo(*, seconds: float = 9.0, as_json: bool = False) -> int:
    """Start five gateways on loopback, three with disks, with hosts, clients and an operator of ours.

    Shows traffic served, a change of the configuration taken, and the founder of the core killed under it.

    :param seconds: how long traffic is played
    :param as_json: print the summary alone, as one JSON object
    """
    import asyncio

    from coralvale.standins.cluster import demo as play

    found = asyncio.run(play(seconds, (lambda line: None) if as_json else print))
    print(json.dumps(found))
    return 0 if found["well"] else 1


def soak(
    *,
    gateways: int = 5,
    seconds: float = 20.0,
    seeds: int = 1,
    first: int = 1,
    settings: str = "",
    replay: str = "",
    check: str = "",
    folder: str = "soak",
    at_once: int = 1,
    log: str = "INFO",
    plot: bool = False,
    shrink: bool = False,
    as_json: bool = False,
) -> int:
    """Play a cluster of real processes on loopback through series of signals, restarts and changes under traffic.

    Exit code 0: no rule was broken; 1: some was; 2: a run could not be played.

    :param gateways: how many gateways each run starts with
    :param seconds: how long faults are played; start and end come on top
    :param seeds: how many seeds are played
    :param first: the first seed
    :param settings: a settings file of yours: its Bounds, Limits, FaultBudget and HeartbeatMs are tried
    :param replay: a schedule (TOML) that is played in place of seeds
    :param check: a history (history.jsonl) that is checked again; nothing is played
    :param folder: where histories, logs and reports go
    :param at_once: runs that are played side by side
    :param log: the gateways' log level
    :param plot: draw served, refused and failed requests over time (needs the extra lab)
    :param shrink: play what failed again with parts left out, and write the least that still fails
    :param as_json: print one JSON object for each run
    """
    from importlib.util import find_spec

    from coralvale.cluster.settings import SettingsError
    from coralvale.cluster.soak import main as runs
    from coralvale.cluster.soak import schedule, terms
    from coralvale.cluster.soak.history import HistoryError

    try:
        if check:
            return runs.check_again(Path(check), as_json)
        if gateways < 3 or seconds <= 0 or at_once < 1:
            raise Fault("soak: at least 3 gateways, some seconds, and one run at once")
        for wanted, package in ((shrink, "tomli_w"), (plot, "matplotlib")):
            if wanted and find_spec(package) is None:
                raise Fault("soak: --shrink and --plot need the extra lab (pip install '.[lab]')")
        schedules = [schedule.load(Path(replay))] if replay else runs.drawn(first, seeds, gateways, seconds)
        found = terms.read(Path(settings)) if settings else terms.Terms()
    except (SettingsError, schedule.ScheduleError, HistoryError, OSError) as error:
        raise Fault(str(error)) from None
    schedules = [found.fit(one) for one in schedules]
    return runs.play_all(schedules, runs.Options(Path(folder), found, at_once, log, as_json, plot, shrink))


def main(words: list[str]) -> int:
    try:
        found = defopt.run(
            {
                "run": run,
                "check": check,
                "status": status,
                "health": health,
                "config": {"send": send, "diff": diff, "history": history},
                "regions": {"show": show_regions, "audit": audit},
                "events": events,
                "explain": explain,
                "demo": demo,
                "soak": soak,
                "state": {"show": show, "check": check_state, "export": export, "restore": restore},
            },
            argv=words,
            cli_options="has_default",
            no_negated_flags=True,
        )
    except Fault as fault:
        print(f"myrtlehatch: {fault}", file=sys.stderr)
        return 2
    except KeyboardInterrupt:
        return 0
    return int(found or 0)
