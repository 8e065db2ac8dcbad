"""A site file with its last zones put into a region of their own, and days for it: home regions on the bench.

  python benchmarks/two_regions.py SITE --abroad 1 > copy.toml       the site file, with as many zones abroad
  python benchmarks/two_regions.py SITE --day busy|nodes|core        a day of that site's busiest traffic: nothing
                                                                     else, nodes killed, the core's leader lost

Made when it is wanted, never kept. The bindings are in the system's own file, as the users' operator cannot write
them into a configuration: `myrtlehatch run --regions FILE`.
"""

from __future__ import annotations

import argparse
import json
import re
import tomllib
from pathlib import Path
from typing import Any

ABROAD = "abroad"
FAULTS = {
    "busy": [],
    "nodes": [
        '{ at = 6.0, kind = "node_kill", share = 0.2, for_s = 3.0 }',
        '{ at = 16.0, kind = "node_kill", share = 0.2, for_s = 3.0, how = "power" }',
    ],
    "core": [
        '{ at = 7.0, kind = "node_kill", on = "core", count = 1, for_s = 4.0, how = "power leader" }',
        '{ at = 17.0, kind = "after_ack_wipe", for_s = 3.0 }',
    ],
}


def moved(text: str, count: int) -> str:
    """The site file with the last `count` zones in another region. Raises ValueError."""
    zones = [zone["name"] for zone in tomllib.loads(text)["zones"]]
    if not 0 < count < len(zones):
        raise ValueError(f"--abroad {count}: expected 1 to {len(zones) - 1}")
    for name in zones[-count:]:
        text, found = re.subn(
            rf'(\{{ name = "{re.escape(name)}", region = )"[^"]*"', rf'\1"{ABROAD}"', text, count=1
        )
        if not found:
            raise ValueError(f"zone {name}: not found as the others are written")
    return text


def inline(value: Any) -> str:  # noqa: ANN401
    """TOML on one line."""
    if isinstance(value, dict):
        return "{ " + ", ".join(f"{k} = {inline(v)}" for k, v in value.items()) + " }"
    return json.dumps(value)


def day(site: dict[str, Any], kind: str, seed: int) -> str:
    busiest = max(site["day"], key=lambda d: sum(t["per_s"] for t in d["traffic"]))
    head = [
        "[[day]]", f'name = "home-{kind}"', 'slot = "trouble"', f"seed = {seed}", "one = 0.9", "zero = 0.5",
        "goal = { floor = 0.1 }", "labels = []", "wall = 2.4", "light = false",
        'plan = [{ at = 12.0, kind = "config_change", how = "timeout" }]', "faults = [",
    ]  # fmt: skip
    rows = [f"  {row}," for row in FAULTS[kind]]
    traffic = [f"  {inline(each)}," for each in busiest["traffic"]]
    return "\n".join([*head, *rows, "]", "traffic = [", *traffic, "]", ""])


def main() -> None:
    arguments = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    arguments.add_argument("site", type=Path)
    arguments.add_argument("--abroad", type=int, default=1, help="zones that are put abroad (1)")
    arguments.add_argument("--day", choices=list(FAULTS))
    arguments.add_argument("--seed", type=int, default=1)
    asked = arguments.parse_args()
    text = asked.site.read_text()
    try:
        print(
            day(tomllib.loads(text), asked.day, asked.seed) if asked.day else moved(text, asked.abroad),
            end="",
        )
    except ValueError as error:
        arguments.error(str(error))


if __name__ == "__main__":
    main()
