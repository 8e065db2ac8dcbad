"""Applications in a soak that call the coordination API: locks, numbers, keys and watches."""

from __future__ import annotations

import asyncio
import json
import random
from typing import Any

from coralvale.cluster.soak.cluster import SoakCluster
from coralvale.cluster.soak.history import CallAnswer, Called, Writer, now
from coralvale.standins.cluster import CTL, call

LOCK_HOLD_S = 2.0  # hold time that is asked for
LOCK_COUNT, COUNTER_COUNT, GROUP_COUNT, KEY_COUNT = 2, 2, 2, 3
WATCH_POLL_MS = 1000  # for which a gateway holds a watch call open
CALL_TIMEOUT_S = 1.2  # after which a caller turns to the next gateway; a watch gets its poll time on top
PUT_RETRY_S = 6.0  # for which a put without a definite answer is sent again
CALL_INTERVAL_S = 0.25  # between a caller's calls
NOT_EXECUTED_STATUSES = (429, 503)  # the call had no effect


class CallNumbers:
    """Issues the numbers of calls, for all callers of a run."""

    def __init__(self) -> None:
        self.last = 0

    def next(self) -> int:
        self.last += 1
        return self.last


class Caller:
    """One application. It uses its name as lock owner for all its holds."""

    def __init__(self, cluster: SoakCluster, history: Writer, numbers: CallNumbers, name: str) -> None:
        self.cluster, self.history, self.numbers, self.name = cluster, history, numbers, name
        self.gateway_index = 0

    async def hold_locks(self) -> None:
        """Acquires locks, renews them for a while, and releases them or lets them expire."""
        while True:
            name = f"lock-{random.randrange(LOCK_COUNT)}"
            body = {"Owner": self.name, "HoldMs": LOCK_HOLD_S * 1000}
            found = await self._call("acquire", name, "locks.begin", body, hold=LOCK_HOLD_S)
            if found and found[0] == 200:
                await self._renew_lock(name, int(found[1]["fence"]))
            await asyncio.sleep(CALL_INTERVAL_S)

    async def _renew_lock(self, name: str, fence: int) -> None:
        for _ in range(random.randrange(4)):
            await asyncio.sleep(LOCK_HOLD_S * random.uniform(0.1, 0.4))
            body = {"Owner": self.name, "fence": fence, "HoldMs": LOCK_HOLD_S * 1000}
            found = await self._call("renew", name, "locks.heartbeat", body, fence=fence, hold=LOCK_HOLD_S)
            if found is None or found[0] != 200:
                return
        if random.random() < 0.7:
            await self._call(
                "release", name, "locks.finish", {"Owner": self.name, "fence": fence}, fence=fence
            )

    async def draw_numbers(self) -> None:
        """Draws numbers of random counters."""
        while True:
            await self._call("number", f"count-{random.randrange(COUNTER_COUNT)}", "", {})
            await asyncio.sleep(CALL_INTERVAL_S)

    async def put_and_get(self) -> None:
        """Reads random keys and puts new values, half of them with the revision read as the expected one."""
        while True:
            key = f"group-{random.randrange(GROUP_COUNT)}.{random.randrange(KEY_COUNT)}"
            found = await self._call("get", key, "cells.read", None)
            revision = int(found[1]["Rev"]) if found and found[0] == 200 else 0
            if found and found[0] in (200, 404):
                await self._put(key, revision)
            await asyncio.sleep(CALL_INTERVAL_S)

    async def _put(self, key: str, revision: int) -> None:
        """Sends the same put until it has a definite answer, for at most `PUT_RETRY_S`."""
        expected = revision if random.random() < 0.5 else None
        value = f"{random.getrandbits(64):016x}"
        body = {"Val": value} if expected is None else {"Val": value, "Duty": expected}
        deadline = now() + PUT_RETRY_S
        while now() < deadline:
            found = await self._call("put", key, "cells.replace", body, value=value, expected=expected)
            if found is not None:
                return
            await asyncio.sleep(0.1)

    async def watch(self) -> None:
        """Watches a random group. After a 410 it begins again at the current revision."""
        group, after = f"group-{random.randrange(GROUP_COUNT)}.", 0
        while True:
            found = await self._call("watch", group, "", None, after=after)
            if found and found[0] == 200:
                after = max(after, int(found[1]["Rev"]))
            elif found and found[0] == 410:
                after = 0
            await asyncio.sleep(0.05 if after else CALL_INTERVAL_S)

    async def _call(
        self,
        kind: str,
        name: str,
        rpc: str,
        body: dict[str, Any] | None,
        *,
        fence: int = 0,
        hold: float = 0.0,
        value: str = "",
        expected: int | None = None,
        after: int = 0,
    ) -> tuple[int, dict[str, Any]] | None:
        """Sends and records a call.

        Returns status and body of a definite answer; None without one, or if the call was not executed.
        """
        addresses = self.cluster.addresses()
        ip = addresses[self.gateway_index % len(addresses)]
        number = self.numbers.next()
        self.history.write(Called(now(), number, kind, name, self.name, fence, hold, value, expected, after))
        text = json.dumps(body).encode() if body is not None else b""
        if kind == "watch":
            found = await call(
                ip,
                CTL,
                "GET",
                f"/watch/{name}?after={after}&PollMs={WATCH_POLL_MS}",
                b"",
                CALL_TIMEOUT_S + WATCH_POLL_MS / 1000,
            )
        else:
            path = f"/numbers/{name}" if kind == "number" else f"/rpc?call={rpc}&of={name}"
            found = await call(ip, CTL, "POST", path, text, CALL_TIMEOUT_S)
        status = found.status if found else 0
        definite = 0 < status < 500 or status in NOT_EXECUTED_STATUSES
        answer: dict[str, Any] = json.loads(found.body or b"{}") if found and definite else {}
        self.history.write(
            CallAnswer(
                now(),
                number,
                status if definite else 0,
                self.cluster.number_of(ip),
                int(answer.get("fence", 0)),
                str(answer.get("Val", "")) if kind == "get" else "",
                int(answer["Val"]) if kind == "number" and "Val" in answer else int(answer.get("Rev", 0)),
                tuple((e["Name"], e["Val"], e["Rev"]) for e in answer.get("Events", ())),
            )
        )
        if not definite or status in NOT_EXECUTED_STATUSES:
            self.gateway_index += 1
        return (status, answer) if definite and status not in NOT_EXECUTED_STATUSES else None
