"""Runs the example application and the example of the operators' page against real gateways."""

from __future__ import annotations

import asyncio
import json
import re
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

from test_processes import net

from coralvale.standins.cluster import CTL, LocalCluster, configuration

ROOT = Path(__file__).parents[2]
PROGRAM = ROOT / "experiments" / "coordination" / "book_slots.py"
PAGE = ROOT / "docs" / "operate" / "coordination.md"
SLOTS = 8


def play(scene: Callable[[LocalCluster, list[str]], Awaitable[None]]) -> None:
    async def whole() -> None:
        cluster = await LocalCluster(4, 3, net(), "INFO").start()
        try:
            first = await cluster.send("config.replace", configuration(1, ["schedule"], 0.0), 0)
            assert first and first.status == 200
            await scene(cluster, [f"{ip}:{CTL}" for ip in cluster.ips])
        finally:
            await cluster.stop()

    asyncio.run(whole())


async def run(*words: str) -> tuple[int | None, str]:
    program = await asyncio.create_subprocess_exec(sys.executable, *words, stdout=asyncio.subprocess.PIPE)
    out, _ = await program.communicate()
    return program.returncode, out.decode()


def test_the_store_refuses_late_writes_by_their_fence_also_when_a_gateway_is_lost(
    tmp_path: Path,
) -> None:
    async def scene(cluster: LocalCluster, at: list[str]) -> None:
        words = [str(PROGRAM), *at, "--folder", str(tmp_path), "--slots", str(SLOTS), "--seconds", "240"]
        program = asyncio.create_task(run(*words))
        events = tmp_path / "events"
        await cluster.until(lambda: events.exists() and "late" in events.read_text(), 120.0)
        await cluster.kill(
            next(n for n in range(3) if "E202" in cluster.log(n))
        )  # the gateway that founded the core
        code, out = await program
        found = json.loads(out)
        assert code == 0 and found["well"], found
        assert found["booked"] == SLOTS and not found["twice"] and not found["late_taken"]
        assert found["killed"] >= 1 and found["late_refused"] >= 1

    play(scene)


def test_the_example_on_the_operators_page_prints_what_the_page_says(tmp_path: Path) -> None:
    (example,) = re.findall(r"```python\n(.*?)```", PAGE.read_text(), re.DOTALL)

    async def scene(cluster: LocalCluster, at: list[str]) -> None:
        program = tmp_path / "example.py"
        told, count = re.subn(r"^GATEWAYS = .*$", f"GATEWAYS = {at!r}", example, flags=re.MULTILINE)
        assert count == 1
        program.write_text(told)
        code, out = await run(str(program))
        assert code == 0 and out.split("\n") == ["host-8 books: True", "host-7 books: False", ""]

    play(scene)
