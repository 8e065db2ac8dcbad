"""The command line, made by `defopt`: each function in the table below is a command.

Imported only when the program is started with arguments.

Exit codes: 0: success; 1: the command ran and found a problem; 2: the arguments are wrong or the command
could not be carried out.
"""

from __future__ import annotations

import sys

import defopt

from coralvale.cluster.commands.asking import CommandError
from coralvale.cluster.commands.configuration import diff, history, send
from coralvale.cluster.commands.coordination import keys, locks, numbers, release, watch
from coralvale.cluster.commands.disk import check_state, export, restore, show
from coralvale.cluster.commands.gateway import check, demo, run, status
from coralvale.cluster.commands.hosts import health
from coralvale.cluster.commands.logs import events, explain
from coralvale.cluster.commands.regions import audit, show_regions
from coralvale.cluster.commands.soak import soak


def main(words: list[str]) -> int:
    """Runs the command that the arguments name; returns its exit code."""
    try:
        found = defopt.run(
            {
                "run": run,
                "check": check,
                "status": status,
                "health": health,
                "config": {"send": send, "diff": diff, "history": history},
                "regions": {"show": show_regions, "audit": audit},
                "locks": {"list": locks, "release": release},
                "numbers": numbers,
                "keys": keys,
                "watch": watch,
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
    except CommandError as error:
        print(f"myrtlehatch: {error}", file=sys.stderr)
        return 2
    except KeyboardInterrupt:
        return 0
    return int(found or 0)
