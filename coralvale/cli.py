"""Command line. The gateway, started without arguments, never imports this module.

Exit codes: 0 success, 1 cannot start or a run failed, 2 wrong usage or an invalid file.
"""

from __future__ import annotations

import argparse
import importlib
import json
import os
import sys
from collections.abc import Callable, Sequence
from typing import Any

# Extra that installs each optional package.
EXTRA_BY_PACKAGE = {
    "msgspec": "operator",
    "h11": "ledger",
    "aiohttp": "plans",
    "h2": "http2",
    "hpack": "http2",
    "grpc": "control",
    "envoy": "control",
    "google": "control",
    "numpy": "lab",
    "scipy": "lab",
    "matplotlib": "lab",
    "jinja2": "lab",
    "hdrh": "lab",
    "rich": "lab",
    "tomli_w": "lab",
}

# Commands that define their own arguments: module and description.
SUBCOMMANDS = {
    "attempts": ("coralvale.attempts.main", "Reads journals of attempts."),
    "ledger": ("coralvale.ledger.main", "Reads and corrects billing ledgers, and exports them."),
    "plans": ("coralvale.plans.main", "Plans that change at run time, and allowance reserved in advance."),
    "members": ("coralvale.members.main", "Shows what a gateway knows of the others."),
    "lab": ("coralvale.lab.main", "Experiments with a simulated platform on a virtual clock."),
    "answers": ("coralvale.syslog.main", "Searches files of syslog messages for final answers."),
}


def build_parser() -> argparse.ArgumentParser:
    """The parser of all commands; those of SUBCOMMANDS appear in its help only."""
    parser = argparse.ArgumentParser(
        prog="coralvale",
        description="An API gateway that keeps every customer to its plan. Without a command: the gateway.",
        epilog="LB_CONFIG names the configuration of gateway and control service. "
        "CORALVALE_OPERATOR names the operator's file where --operator does not.",
    )
    commands = parser.add_subparsers(dest="command", metavar="COMMAND", required=True)

    gateway = commands.add_parser("gateway", help="run the gateway, as without a command")
    control = commands.add_parser("control", help="run the control service: xDS and quotas for other proxies")
    for command in (gateway, control):
        command.add_argument("--operator", metavar="FILE", help="the operator's file")

    check = commands.add_parser("check", help="check an operator's file")
    check.add_argument("file", metavar="FILE")
    check.add_argument("--json", action="store_true", help="one JSON object: ok, file, error, tables")

    commands.add_parser("attempts", help="read journals of attempts that must not run twice")
    commands.add_parser("ledger", help="read billing ledgers, correct and export them")
    commands.add_parser("plans", help="plans that change at run time: run the service, send commands to it")
    commands.add_parser("answers", help="search files of syslog messages for final answers")

    commands.add_parser("members", help="show what a gateway knows of the others")
    commands.add_parser("lab", help="experiments with a simulated platform on a virtual clock")

    demo = commands.add_parser("demo", help="run a gateway between simulated clients and hosts, on loopback")
    demo.add_argument("--seconds", type=float, default=12.0, metavar="N", help="duration in seconds (12)")
    demo.add_argument("--json", action="store_true", help="print only the summary, as one JSON object")
    demo.add_argument("--seed", type=int, default=1, help="seed of the clients' arrivals (1)")
    demo.add_argument("--http2", action="store_true", help="hosts speak HTTP/2 (needs the extra http2)")
    return parser


def main(arguments: Sequence[str]) -> int:
    """Runs a command and returns its exit code."""
    if arguments and (subcommand := SUBCOMMANDS.get(arguments[0])):
        subparser = argparse.ArgumentParser(prog=f"coralvale {arguments[0]}", description=subcommand[1])
        module = importlib.import_module(subcommand[0])
        module.add(subparser)
        options = subparser.parse_args(arguments[1:])
        options.command = arguments[0]
        return _guarded(options, module.run)
    return _guarded(build_parser().parse_args(arguments), _run)


def _guarded(options: argparse.Namespace, run: Callable[[argparse.Namespace], int]) -> int:
    """Runs a command; if a package is not installed, names the extra that installs it."""
    try:
        return int(run(options))
    except ModuleNotFoundError as error:
        package = (error.name or "").partition(".")[0]
        extra = (
            "members" if (options.command, package) == ("members", "rich") else EXTRA_BY_PACKAGE.get(package)
        )
        if extra is None:
            raise
        print(
            f"coralvale: {options.command} needs the package {error.name}: pip install '.[{extra}]'",
            file=sys.stderr,
        )
        return 1


def _run(options: argparse.Namespace) -> int:
    if options.command == "check":
        return _check(options)
    if options.command == "demo":
        if options.seconds <= 0:
            print("coralvale: --seconds: expected a number above 0", file=sys.stderr)
            return 2
        return _call("coralvale.standins.demo", options.seconds, options.json, options.seed, options.http2)
    operator = options.operator or os.environ.get("CORALVALE_OPERATOR", "")
    if options.command == "gateway":
        return _call("coralvale.__main__", operator)
    return _call("coralvale.control.main", operator)


def _call(module: str, *arguments: Any) -> int:  # noqa: ANN401
    """Imports a module, only when its command is used, and runs it."""
    return int(importlib.import_module(module).run(*arguments))


def _check(options: argparse.Namespace) -> int:
    from coralvale.operator import OperatorError, read_operator

    try:
        read = read_operator(options.file)
    except OperatorError as error:
        if options.json:
            print(json.dumps({"ok": False, "file": options.file, "error": str(error), "tables": []}))
        print(f"coralvale: {error}", file=sys.stderr)
        return 2
    tables = [name for name in read.__struct_fields__ if getattr(read, name)]
    if options.json:
        print(json.dumps({"ok": True, "file": options.file, "error": "", "tables": tables}))
    else:
        print(f"{options.file}: good; on: {', '.join(tables) or 'nothing'}")
    return 0
