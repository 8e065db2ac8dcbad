"""The simulator's adapter with shared allowances, for comparison with runs without them.

    SIMULATOR score SITE --quick --why "..." -- python benchmarks/adapter.py [--quotas] [--calls N]

It speaks the simulator's protocol on standard input and output, as `python -m coralvale.adapter` does.
"""

from __future__ import annotations

import argparse
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from coralvale import interface as api  # noqa: E402
from coralvale.adapter import main as run  # noqa: E402
from coralvale.allowance.shares import Shares  # noqa: E402
from coralvale.logic import Gateway  # noqa: E402


def main() -> int:
    asked = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    asked.add_argument("--quotas", action="store_true", help="share quotas as well as ceilings")
    asked.add_argument(
        "--calls", type=float, default=50.0, help="maximum calls to the counter per second (50)"
    )
    told = asked.parse_args()

    def make(now: float, settings: api.Settings, seed: int) -> Gateway:
        return Gateway(settings, seed, Shares(settings, now, quotas=told.quotas, calls=told.calls))

    return run(make)


if __name__ == "__main__":
    sys.exit(main())
