"""The soak's operator: sends configuration changes, repeated ones, invalid ones, and two with one version."""

from __future__ import annotations

import asyncio
import hashlib
import json
import random
from typing import Any

from coralvale.cluster.soak.cluster import SoakCluster
from coralvale.cluster.soak.history import Change, ChangeAnswer, ReadBack, Writer, now
from coralvale.standins.cluster import CTL, call, configuration

MAX_BODY_BYTES = 8_000_000  # that clients may send
SERVICES = ("schedule", "archive")
QUOTAS = {"station": (0.0, 0.0), "hot": (4.0, 4.0)}  # by tenant: requests a second, burst
RETRY_S = 20.0  # for which a change is sent again
MAX_PROBE_ROUTES = 3  # that changes have added; a change above this removes the oldest


def api_key(tenant: str) -> str:
    """The API key of a tenant."""
    return f"key-{tenant}"


def first_configuration() -> dict[str, Any]:
    """Version 1: two services, their routes, a tenant without a quota and one that exceeds its quota."""
    whole = configuration(1, list(SERVICES))
    for route in whole["Routes"].values():
        route["TimeoutMs"] = 9000
    for name in SERVICES:
        whole["Routes"][f"{name}-long"] = {
            **whole["Routes"][f"{name}-read"],
            "PathPrefix": f"/{name}/long/",
        }
    whole["Limits"] = {**whole["Limits"], "BodyBytes": MAX_BODY_BYTES}
    whole["Tenants"] = {
        name: {"ApiKeys": [api_key(name)], "Prio": 1, "RatePerS": rate, "Burst": burst}
        for name, (rate, burst) in QUOTAS.items()
    }
    return whole


def digest(content: dict[str, Any]) -> str:
    """Digest of a configuration's version and routes: name, path prefix and service of each."""
    routes = {name: (r["PathPrefix"], r.get("Svc")) for name, r in content["Routes"].items()}
    text = json.dumps([content["Ver"], routes], sort_keys=True)
    return hashlib.sha256(text.encode()).hexdigest()[:16]


class Operator:
    """Keeps the configuration that should be in force, and sends changes of it."""

    def __init__(self, cluster: SoakCluster, history: Writer, seed: int) -> None:
        self.cluster, self.history = cluster, history
        self.rng = random.Random(f"operator/{seed}")
        self.current: dict[str, Any] = {"Ver": 0, "Routes": {}}
        self.number = 0
        self.base = 0  # base version of the newest change that was sent
        self.change_lock = asyncio.Lock()

    @property
    def version(self) -> int:
        """The version that should be in force."""
        return int(self.current["Ver"])

    def probe_paths(self) -> list[str]:
        """Path prefixes of the routes in force that changes have added."""
        return [r["PathPrefix"] for n, r in self.current["Routes"].items() if n.startswith("probe-")]

    async def install_first(self) -> bool:
        """Sends the first configuration. Whether it was accepted."""
        whole = first_configuration()
        status = await self._send("config.replace", whole, 0, whole, "good", (), ())
        return status == 200

    async def change(self) -> None:
        """Sends one valid change, and sometimes the same again."""
        async with self.change_lock:
            call_, body, after, adds, removes = self._next_change()
            status = await self._send(call_, body, self.version, after, "good", adds, removes)
            if status == 0 or status == 412:
                await self._refresh()
            elif self.rng.random() < 0.3:
                await self._post(call_, body, self.base, 3.0)

    async def send_invalid(self) -> None:
        """Sends a change that names an unknown service; it has to be refused."""
        async with self.change_lock:
            call_, body, after, adds, removes = self._next_change()
            for route in body["Upsert"]["Routes"].values():
                route["Svc"] = "nobody"
            await self._send(call_, body, self.version, after, "bad", adds, removes)

    async def send_rivals(self) -> None:
        """Sends two changes at once with the same version and base, like two operators; one may win."""
        async with self.change_lock:
            first = self._next_change()
            second = self._next_change("rival", int(first[1]["Ver"]))
            base = self.version
            await asyncio.gather(
                *(
                    self._send(c, body, base, after, "rival", adds, removes)
                    for c, body, after, adds, removes in (first, second)
                )
            )
            await self._refresh()

    async def read(self) -> dict[str, Any] | None:
        """The configuration as a random gateway returns it; None without an answer."""
        sent = now()
        ip = random.choice(self.cluster.addresses())
        found = await call(ip, CTL, "POST", "/rpc?call=config.read", patience=1.5)
        if found is None or found.status != 200:
            return None
        whole: dict[str, Any] = json.loads(found.body)
        whole.setdefault("Routes", {})
        self.history.write(ReadBack(now(), sent, whole["Ver"], digest(whole), self.cluster.number_of(ip)))
        return whole

    async def _refresh(self) -> None:
        """Reads what is in force, after a change whose outcome is not known."""
        for _ in range(60):
            if whole := await self.read():
                if whole["Ver"] >= self.version:
                    self.current = whole
                return
            await asyncio.sleep(0.2)

    def _next_change(
        self, suffix: str = "", version: int = 0
    ) -> tuple[str, dict[str, Any], dict[str, Any], tuple[str, ...], tuple[str, ...]]:
        """A change that adds a route and removes the oldest added ones.

        Returns the call, its body, the resulting configuration, and the prefixes that it adds and removes.
        """
        version = version or self.version + self.rng.randint(1, 3)
        name = f"probe-{version:06d}{suffix}"
        route = {
            **self.current["Routes"]["schedule-read"],
            "PathPrefix": f"/{name}/",
            "Svc": self.rng.choice(SERVICES),
        }
        probes = sorted(n for n in self.current["Routes"] if n.startswith("probe-"))
        removed_names = probes[: max(0, len(probes) - MAX_PROBE_ROUTES + 1)]
        removes = tuple(self.current["Routes"][n]["PathPrefix"] for n in removed_names)
        body: dict[str, Any] = {"Ver": version, "Upsert": {"Routes": {name: route}}}
        if removed_names:
            body["Remove"] = {"Routes": removed_names}
        routes = {n: r for n, r in self.current["Routes"].items() if n not in removed_names}
        after = {**self.current, "Ver": version, "Routes": {**routes, name: route}}
        return "config.update", body, after, (route["PathPrefix"],), removes

    async def _send(
        self,
        call_: str,
        body: dict[str, Any],
        base: int,
        after: dict[str, Any],
        kind: str,
        adds: tuple[str, ...],
        removes: tuple[str, ...],
    ) -> int:
        self.number += 1
        number = self.number
        self.base = base
        self.history.write(Change(now(), number, int(body["Ver"]), base, kind, digest(after), adds, removes))
        status = await self._post(call_, body, base, RETRY_S)
        self.history.write(ChangeAnswer(now(), number, status))
        if status == 200:
            self.current = after
        return status

    async def _post(self, call_: str, body: dict[str, Any], base: int, retry_s: float) -> int:
        """Sends a change unchanged to random gateways until one gives a definite answer; 0: none did."""
        deadline = now() + retry_s
        text = json.dumps(body).encode()
        while now() < deadline:
            ip = random.choice(self.cluster.addresses())
            found = await call(
                ip, CTL, "POST", f"/rpc?call={call_}", text, 1.5, X_Myrtlehatch_Base_Version=str(base)
            )
            if found and found.status < 500 and found.status not in (408, 429):
                return found.status
            await asyncio.sleep(0.2)
        return 0
