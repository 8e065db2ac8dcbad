"""Starts a gateway: `python -m coralvale.cluster`; with arguments it runs a command (`myrtlehatch --help`)."""

from __future__ import annotations

import os
import sys


def main() -> int:
    if len(sys.argv) > 1:
        from coralvale.cluster import commands

        return commands.main(sys.argv[1:])
    from coralvale.cluster.reload_signal import hold_reload_signal

    hold_reload_signal()
    from coralvale.cluster.start import run_gateway

    return run_gateway(os.environ.get("MYRTLEHATCH_CONFIG", ""))


if __name__ == "__main__":
    sys.exit(main())
