"""`coralvale plans`: the plan service, and commands to it."""

from __future__ import annotations

import argparse
import json
import os
import secrets
import ssl
import sys
import time
import urllib.error
import urllib.parse
import urllib.request
from datetime import UTC, datetime
from typing import Any

from coralvale.plans.model import FIGURES, PlansError

TIMEOUT = 10.0  # s for one call
PATIENCE = 5.0  # s for which a command that got no answer is said again: it has a name, so it is done once
LOOK = 0.2  # s between looks at who knows of a change


class Failed(Exception):
    """A call that was refused or came to nothing; `code` is the command's exit code."""

    def __init__(self, text: str, code: int) -> None:
        super().__init__(text)
        self.code = code


def add(command: argparse.ArgumentParser) -> None:
    """The words of the command."""
    command.epilog = (
        "Times are Unix seconds, ISO 8601 with an offset (2026-12-05T15:00:00-03:00) or +S, S seconds from now. "
        "Exit codes: 0 well, 1 refused, or not known to all in time, 2 a wrong call, 3 no answer."
    )
    words = command.add_subparsers(dest="word", metavar="WORD", required=True)
    told = {
        "serve": "the plan service, until SIGTERM",
        "show": "what holds, what is to come, what is reserved, and who knows of it",
        "define": "a plan, or other figures for it",
        "move": "a station onto a plan",
        "release": "a station back to what its requests name",
        "pool": "how much of a pool can be reserved",
        "reserve": "allowance for a known event",
        "cancel": "a reservation",
        "withdraw": "a change that is to come",
        "free": "what is left of a pool",
    }
    one = {word: words.add_parser(word, help=text, description=text) for word, text in told.items()}
    one["serve"].add_argument("--operator", metavar="FILE", help="the operator's file, with [plan_service]")
    for word, it in one.items():
        if word != "serve":
            it.add_argument(
                "--service", metavar="ADDRESS:PORT", help="of the plan service; else CORALVALE_PLANS"
            )
            it.add_argument("--ca", metavar="FILE", help="TLS: whose certificates the service may have")
            it.add_argument("--certificate", metavar="FILE", help="TLS: our own, with its key")
            it.add_argument("--json", action="store_true", help="JSON, for programs")
        if word in ("define", "move", "release", "pool", "reserve", "cancel", "withdraw"):
            it.add_argument("--command", metavar="NAME", dest="named", help="said again it is done once")
            it.add_argument(
                "--wait", action="store_true", help="until all gateways know of it; 1 if one does not in time"
            )
        if word in ("define", "move", "release", "pool"):
            it.add_argument("--at", metavar="TIME", help="from when; else as soon as all can know of it")
    one["define"].add_argument("plan")
    for figure in FIGURES[1:]:
        needed = figure in ("rate", "burst")
        name = "--" + figure.replace("_", "-")
        one["define"].add_argument(name, type=float, required=needed, metavar="N", dest=figure)
    for word in ("move", "release"):
        one[word].add_argument("station", help="16 hex digits")
    one["move"].add_argument("plan")
    one["pool"].add_argument("pool")
    one["pool"].add_argument("--rate", type=float, required=True, metavar="N", help="units a second")
    reserve = one["reserve"]
    reserve.add_argument("id", help="your name for it")
    reserve.add_argument("--pool", required=True)
    reserve.add_argument("--station", required=True, help="16 hex digits")
    reserve.add_argument("--rate", type=float, required=True, metavar="N", help="units a second more")
    reserve.add_argument("--burst", type=float, default=0.0, metavar="N", help="units more of burst (0)")
    reserve.add_argument("--from", metavar="TIME", dest="at", help="else as soon as all can know of it")
    reserve.add_argument("--until", metavar="TIME", required=True)
    one["cancel"].add_argument("id")
    one["withdraw"].add_argument("serial", type=int, help="of the record, as `show` has it")
    one["free"].add_argument("pool")
    one["free"].add_argument("--from", metavar="TIME", dest="at", default="+0")
    one["free"].add_argument("--until", metavar="TIME", default="+86400")


def run(asked: argparse.Namespace) -> int:
    """Exit codes: 0 well, 1 refused, or not known to all in time, 2 a wrong call, 3 no answer."""
    try:
        if asked.word == "serve":
            return _serve(asked)
        if asked.word == "show":
            return _show(asked)
        if asked.word == "free":
            return _free(asked)
        return _command(asked)
    except Failed as error:
        print(f"coralvale: {error}", file=sys.stderr)
        return error.code
    except (PlansError, ValueError) as error:
        print(f"coralvale: {error}", file=sys.stderr)
        return 2


def _serve(asked: argparse.Namespace) -> int:
    from coralvale.operator import OperatorError, read_operator
    from coralvale.plans.service import run as serve

    path = asked.operator or os.environ.get("CORALVALE_OPERATOR", "")
    if not path:
        raise ValueError("serve: needs --operator or CORALVALE_OPERATOR")
    try:
        operator = read_operator(path)
    except OperatorError as error:
        raise ValueError(str(error)) from None
    if operator.plan_service is None:
        raise ValueError(f"{path}: has no [plan_service]")
    return serve(operator.plan_service)


def moment(text: str | None, now: float) -> float | None:
    """A time as people write it. Raises ValueError."""
    if text is None:
        return None
    try:
        if text.startswith("+"):
            return now + float(text[1:])
        if text.replace(".", "", 1).isdigit():
            return float(text)
        read = datetime.fromisoformat(text)
    except ValueError:
        raise ValueError(f"{text}: expected Unix seconds, ISO 8601 or +S") from None
    if read.tzinfo is None:
        raise ValueError(f"{text}: without an offset it is a different time at each place")
    return read.timestamp()


def when(at: float) -> str:
    return datetime.fromtimestamp(at, UTC).isoformat(timespec="milliseconds").replace("+00:00", "Z")


# Calls


def _call(asked: argparse.Namespace, path: str, body: Any = None) -> Any:  # noqa: ANN401
    """One call, JSON in and out. Raises Failed."""
    service = asked.service or os.environ.get("CORALVALE_PLANS", "")
    if not service:
        raise Failed("needs --service or CORALVALE_PLANS", 2)
    tls = None
    if asked.ca or asked.certificate:
        tls = ssl.create_default_context(cafile=asked.ca or None)
        if asked.certificate:
            tls.load_cert_chain(asked.certificate)
    data = None if body is None else json.dumps(body).encode()
    url = f"{'https' if tls else 'http'}://{service}{path}"
    try:
        opener = urllib.request.build_opener(
            urllib.request.ProxyHandler({}), urllib.request.HTTPSHandler(context=tls)
        )
        with opener.open(urllib.request.Request(url, data), timeout=TIMEOUT) as answer:
            return json.load(answer)
    except urllib.error.HTTPError as error:
        try:
            told = json.loads(error.read())
        except ValueError:
            told = {}
        text = str(told.get("error", f"the service answers {error.code}"))
        if told.get("most") is not None:
            text += f"; at most {told['most']:g} fit"
        if told.get("earliest") is not None:
            text += f"; it fits from {when(told['earliest'])} on"
        if asked.json and told:
            print(json.dumps(told))
        raise Failed(text, 3 if error.code >= 500 else 2 if error.code == 400 else 1) from None
    except (OSError, ValueError) as error:
        raise Failed(f"{service}: no answer: {getattr(error, 'reason', None) or error}", 3) from None


def _command(asked: argparse.Namespace) -> int:
    now = time.time()
    at = moment(getattr(asked, "at", None), now)
    body: dict[str, Any] = {"command": asked.named or secrets.token_hex(8), "do": asked.word}
    if at is not None:
        body["at"] = at
    if asked.word == "define":
        figures = {key: getattr(asked, key) for key in FIGURES[1:] if getattr(asked, key) is not None}
        body |= {"do": "plan", "plan": {"name": asked.plan, **figures}}
    elif asked.word == "release":
        body |= {"do": "move", "station": asked.station, "plan": ""}
    elif asked.word == "reserve":
        body |= {key: getattr(asked, key) for key in ("id", "pool", "station", "rate", "burst")}
        body["until"] = moment(asked.until, now)
    else:
        keys = {
            "move": ("station", "plan"),
            "pool": ("pool", "rate"),
            "cancel": ("id",),
            "withdraw": ("serial",),
        }
        body |= {key: getattr(asked, key) for key in keys[asked.word]}
    told = _said(asked, body)
    late = _awaited(asked, told) if asked.wait else []
    if asked.json:
        print(json.dumps({**told, "missing": late if asked.wait else told["missing"]}))
    else:
        again = " (was done before)" if told["already"] else ""
        print(f"record {told['serial']}, from {when(told['at'])} on{again}")
    if late:
        raise Failed(f"not known in time at {', '.join(late)}", 1)
    return 0


def _said(asked: argparse.Namespace, body: dict[str, Any]) -> dict[str, Any]:
    """A command's answer. One that gets none is said again under its name: it is carried out once."""
    end = time.monotonic() + PATIENCE
    while True:
        try:
            return dict(_call(asked, "/commands", body))
        except Failed as error:
            if error.code != 3:
                raise
            if time.monotonic() > end:
                raise Failed(f"{error}; say it again with --command {body['command']}", 3) from None
        time.sleep(LOOK)


def _awaited(asked: argparse.Namespace, told: dict[str, Any]) -> list[str]:
    """Who does not know of a record by the time from which it holds."""
    missing = list(told["missing"])
    while missing and time.time() < told["at"]:
        time.sleep(LOOK)
        state = _call(asked, "/state")
        missing = [g["name"] for g in state["gateways"] if (g["serial"] or 0) < told["serial"]]
    return missing


def _show(asked: argparse.Namespace) -> int:
    state = _call(asked, "/state")
    if asked.json:
        print(json.dumps(state))
        return 0
    print(f"book {state['id']}, record {state['serial']}; changes are told {state['lead_s']:g} s ahead")
    if state["doubt"]:
        print("the disk cannot be written: no command is taken")
    print(f"{len(state['plans'])} plans, {state['stations']} stations, {len(state['reserved'])} reservations")
    for gateway in state["gateways"]:
        known = "never heard" if gateway["serial"] is None else f"at record {gateway['serial']}"
        ago = "" if gateway["heard_s"] is None else f", heard {gateway['heard_s']:.1f} s ago"
        print(f"  gateway {gateway['name']}: {known}{ago}")
    for row in state["to_come"]:
        to = f"{row['to']:g}" if isinstance(row["to"], float) else row["to"] or "what its requests name"
        print(
            f"  {when(row['at'])}: {row['kind']} {row['name']}: {to}, record {row['serial']}{_unknown(row)}"
        )
    for row in state["reserved"]:
        print(
            f"  {when(row['at'])} to {when(row['until'])}: {row['id']}: {row['rate']:g} units a second of "
            f"{row['pool']} for {row['station']}{_unknown(row)}"
        )
    if state["more"]:
        print(f"  and {state['more']} more")
    return 0


def _unknown(row: dict[str, Any]) -> str:
    return f"; not known at {', '.join(row['missing'])}" if row["missing"] else ""


def _free(asked: argparse.Namespace) -> int:
    now = time.time()
    query = {"pool": asked.pool, "at": moment(asked.at, now), "until": moment(asked.until, now)}
    told = _call(asked, "/free?" + urllib.parse.urlencode(query))
    if asked.json:
        print(json.dumps(told))
        return 0
    print(f"{told['most']:g} units a second over all of it")
    for at, rate in told["left"]:
        print(f"  from {when(at)}: {rate:g}")
    return 0
