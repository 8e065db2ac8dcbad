"""The example application against real gateways: no slot is booked twice, and a late writer is refused."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path

from test_processes import net

from coralvale.standins.cluster import CTL, LocalCluster, configuration

PROGRAM = Path(__file__).parents[2] / "experiments" / "coordination" / "book_slots.py"
SLOTS = 8


def test_a_fence_at_the_store_refuses_who_has_overslept_also_through_the_loss_of_a_gateway(
    tmp_path: Path,
) -> None:
    async def scene(cluster: LocalCluster) -> None:
        first = await cluster.send("config.replace", configuration(1, ["schedule"], 0.0), 0)
        assert first and first.status == 200
        at = [f"{ip}:{CTL}" for ip in cluster.ips]
        words = [*at, "--folder", str(tmp_path), "--slots", str(SLOTS), "--seconds", "240"]
        program = await asyncio.create_subprocess_exec(
            sys.executable, str(PROGRAM), *words, stdout=asyncio.subprocess.PIPE
        )
        events = tmp_path / "events"
        await cluster.until(lambda: events.exists() and "late" in events.read_text(), 120.0)
        await cluster.kill(next(n for n in range(3) if "E202" in cluster.log(n)))  # it founded the core
        out, _ = await program.communicate()
        found = json.loads(out)
        assert program.returncode == 0 and found["well"], found
        assert found["booked"] == SLOTS and not found["twice"] and not found["late_taken"]
        assert found["killed"] >= 1 and found["late_refused"] >= 1

    async def whole() -> None:
        cluster = await LocalCluster(4, 3, net(), "INFO").start()
        try:
            await scene(cluster)
        finally:
            await cluster.stop()

    asyncio.run(whole())
