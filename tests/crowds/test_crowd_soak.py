"""Crowds that come and go beside ordinary callers, by seed: what callers are promised holds all the while.

By hand: `CROWD_SEEDS=1-50 python -m pytest tests/crowds/test_crowd_soak.py`.
"""

from __future__ import annotations

import asyncio
import dataclasses
import os
import random
import signal

import pytest
from crowd import Gateway, Kind, run_scene
from test_crowds import KINDS, many_pipelined, pipelined

from coralvale.standins.cluster import EDGE, KEY, call

WAVES = 3
KINDS_AT_ONCE = 3
CALLERS = 6
PIPELINING = [Kind("15 GETs of short lines", pipelined, 40), Kind("1200 GETs", many_pipelined, 40)]
NOT_RUN = {429, 503}  # statuses that promise that the request has not run


def seeds() -> range:
    """The seeds that CROWD_SEEDS names, as FIRST-LAST."""
    first, _, last = os.environ.get("CROWD_SEEDS", "1-1").partition("-")
    return range(int(first), int(last) + 1)


@dataclasses.dataclass
class Asked:
    """An ordinary request, and the status of its answer; 0 without a whole answer."""

    id: str
    method: str
    status: int = 0


class Callers:
    """Ordinary callers, one request after another each."""

    def __init__(self, gateway: Gateway, rng: random.Random) -> None:
        self.gateway, self.rng = gateway, rng
        self.asked: list[Asked] = []
        self.strange: list[str] = []  # what no caller should see

    async def run(self) -> None:
        while True:
            await self._ask(Asked(f"{self.rng.getrandbits(64):016x}", self.rng.choice(["GET", "POST"])))
            await asyncio.sleep(0.05)

    async def _ask(self, asked: Asked) -> None:
        self.asked.append(asked)
        path = "/schedule/read/1" if asked.method == "GET" else "/schedule/book/1"
        headers = {
            "Host": "demo.example",
            "X_Myrtlehatch_Request_Id": asked.id,
            "X_Myrtlehatch_Time_Left": "5000",
            "Authorization": f"Bearer {KEY}",
        }
        ip = self.gateway.cluster.ips[0]
        found = await call(ip, EDGE, asked.method, path, b"", 6.0, **headers)
        if found is None:
            return
        asked.status = found.status
        own = found.headers.get(b"x-myrtlehatch-request-id", b"").decode()
        if found.status == 200 and own != asked.id:
            self.strange.append(f"{asked.id} got the answer of {own}")
        if found.status not in NOT_RUN | {200, 502, 504}:
            self.strange.append(f"{asked.id} got {found.status}")

    def broken(self) -> list[str]:
        """What broke a promise, by what the hosts ran."""
        found = list(self.strange)
        for asked in self.asked:
            runs = sum(host.ran[asked.id] for host in self.gateway.cluster.hosts)
            if asked.method == "POST" and runs > 1:
                found.append(f"{asked.id} ran {runs} times")
            if asked.method == "POST" and asked.status in NOT_RUN and runs:
                found.append(f"{asked.id} got {asked.status} and ran")
            if asked.status == 200 and not runs:
                found.append(f"{asked.id} got 200 and did not run")
        return found


@pytest.mark.parametrize("seed", seeds())
def test_ordinary_callers_keep_their_promises_beside_crowds(seed: int) -> None:
    rng = random.Random(seed)

    async def scene(gateway: Gateway) -> None:
        callers = Callers(gateway, rng)
        tasks = [asyncio.create_task(callers.run()) for _ in range(CALLERS)]
        for _ in range(WAVES):
            chosen = rng.sample(KINDS + PIPELINING, KINDS_AT_ONCE)
            kinds = [dataclasses.replace(kind, clients=rng.randint(5, kind.clients // 2)) for kind in chosen]
            if rng.random() < 0.5:
                gateway.process.send_signal(signal.SIGHUP)
            await asyncio.gather(*(gateway.play(kind) for kind in kinds))
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        served = sum(asked.status == 200 for asked in callers.asked)
        print(f"{served} of {len(callers.asked)} ordinary requests served")
        assert not callers.broken(), "; ".join(callers.broken()[:10])
        await gateway.check()

    run_scene(scene)
