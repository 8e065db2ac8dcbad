"""Coordination over real sockets with gateway processes, and the operators' commands for it."""

from __future__ import annotations

import asyncio
import json
import signal
from typing import Any

import pytest
from test_processes import net

from coralvale.cluster import commands
from coralvale.standins.cluster import CTL, METRICS, LocalCluster, call, configuration

HOLD_MS = 60_000  # longer than the test takes, however busy the machine is


async def rpc(cluster: LocalCluster, name: str, of: str, **body: Any) -> Any:
    """Status and body of the first clear answer to a call, trying one gateway after another."""
    found: list[Any] = []

    async def clear() -> bool:
        for ip in cluster.ips:
            message = await call(ip, CTL, "POST", f"/rpc?call={name}&of={of}", json.dumps(body).encode())
            if message and message.status in (200, 404, 409, 412):
                found[:] = [message.status, json.loads(message.body)]
                return True
        return False

    await cluster.until(clear)
    return found


def test_operator_commands_list_release_and_watch(
    capsys: pytest.CaptureFixture[str],
) -> None:
    async def say(*words: str) -> tuple[int, list[Any]]:
        capsys.readouterr()
        code = await asyncio.to_thread(commands.main, list(words))
        return code, [json.loads(line) for line in capsys.readouterr().out.splitlines()]

    async def scene(cluster: LocalCluster) -> None:
        at = [f"{ip}:{CTL}" for ip in cluster.ips]
        status, body = await rpc(cluster, "locks.begin", "l1", Owner="host-7", HoldMs=HOLD_MS)
        assert status == 200
        fence = body["fence"]
        code, rows = await say("locks", "list", at[3], "--as-json")
        assert code == 0 and [(r["Name"], r["Owner"], r["fence"]) for r in rows] == [("l1", "host-7", fence)]
        assert 0 < rows[0]["LeftS"] <= HOLD_MS / 1000 + 1

        for n in range(3):
            status, _ = await rpc(cluster, "cells.replace", f"g1.k{n}", Val=f"value-{n}", Duty=0)
            assert status == 200
        code, rows = await say("keys", "g1.", *at, "--as-json")
        assert code == 0 and [(r["Name"], r["Val"]) for r in rows] == [
            (f"g1.k{n}", f"value-{n}") for n in range(3)
        ]
        given: list[int] = []

        async def number_given() -> bool:
            found = await call(cluster.ips[3], CTL, "POST", "/numbers/n1", b"{}")
            if found and found.status == 200:
                given.append(json.loads(found.body)["Val"])
            return bool(given)

        await cluster.until(number_given)
        code, rows = await say("numbers", *at, "--as-json")
        assert code == 0 and [r["Name"] for r in rows] == ["n1"] and rows[0]["Val"] >= given[0]

        words = ("locks", "release", "l1", *at, "--reason", "host-7 hangs", "--as-json")
        wrong = await rpc(cluster, "locks.expire", "l1", fence=fence + 1, Reason="wrong fence")
        assert wrong[0] == 409
        code, rows = await say(*words, "--fence", str(fence))
        assert code == 0 and rows[0]["released"]
        line = f"E702 lock l1: taken by hand from host-7 with fence {fence}: host-7 hangs"
        for n in range(3):  # those with a disk
            await cluster.until(lambda n=n: line in cluster.log(n))  # type: ignore[misc]
        status, body = await rpc(cluster, "locks.begin", "l1", Owner="host-8", HoldMs=HOLD_MS)
        assert status == 200 and body["fence"] > fence
        status, _ = await rpc(cluster, "locks.heartbeat", "l1", Owner="host-7", fence=fence, HoldMs=HOLD_MS)
        assert status == 409

        watch = asyncio.create_task(say("watch", "g1.", *at, "--after", "1", "--seconds", "2.0", "--as-json"))
        code, rows = await watch
        assert code == 0 and [r["Rev"] for r in rows] == [2, 3]

        async def sizes_reported() -> bool:
            found = await call(cluster.ips[0], CTL, "POST", "/rpc?call=gateway.status")
            held = json.loads(found.body)["coordination"] if found else {}
            return [held.get(name) for name in ("locks", "numbers", "keys", "groups")] == [1, 1, 3, 1]

        await cluster.until(sizes_reported)
        expired = [(await settled_at(cluster, n)).get("expire", {}) for n in range(3)]
        assert sum(count for outcomes in expired for count in outcomes.values()) >= 2
        page = await call(cluster.ips[0], METRICS, "GET", "/metrics", patience=20.0)
        assert page
        text = page.body.decode()
        assert 'myrtlehatch_coordination_size{of="locks"} 1.0' in text
        assert "myrtlehatch_coordination_seconds_bucket" in text
        assert "host-7" not in text and "l1" not in text  # no series by callers' names

    async def settled_at(cluster: LocalCluster, number: int) -> dict[str, dict[str, int]]:
        found = await call(cluster.ips[number], CTL, "POST", "/rpc?call=gateway.status", patience=20.0)
        assert found
        settled: dict[str, dict[str, int]] = json.loads(found.body)["coordination"]["settled"]
        return settled

    play(scene)


def test_a_waiting_watch_is_answered_when_its_gateway_stops() -> None:
    async def scene(cluster: LocalCluster) -> None:
        status, body = await rpc(cluster, "cells.replace", "g1.a", Val="first", Duty=0)
        assert status == 200
        path = f"/watch/g1.?after={body['Rev']}&PollMs=30000"
        waiting = asyncio.create_task(call(cluster.ips[3], CTL, "GET", path, patience=25.0))

        async def waits() -> bool:
            nonlocal waiting
            if waiting.done():  # the gateway knew no leader yet
                early = waiting.result()
                assert early is not None and early.status == 503
                waiting = asyncio.create_task(call(cluster.ips[3], CTL, "GET", path, patience=25.0))
            statuses = [await call(ip, CTL, "POST", "/rpc?call=gateway.status") for ip in cluster.ips[:3]]
            watches = [json.loads(found.body)["coordination"]["watches"] for found in statuses if found]
            return sum(watches) == 1

        await cluster.until(waits)
        assert await cluster.kill(3, signal.SIGTERM) == 0
        answer = await waiting
        assert answer is not None and answer.status == 503

    play(scene)


def play(scene: Any) -> None:
    async def whole() -> None:
        cluster = await LocalCluster(4, 3, net(), "INFO", metrics=True).start()
        try:
            first = await cluster.send("config.replace", configuration(1, ["schedule"], 0.0), 0)
            assert first and first.status == 200
            await scene(cluster)
        except BaseException:
            for number in range(4):
                print(f"--- gateway-{number}\n{cluster.log(number)[-3000:]}")
            raise
        finally:
            await cluster.stop()

    asyncio.run(whole())
