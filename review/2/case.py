"""Acks: one invalid configuration, and no change of the configuration is acknowledged any more."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

from rig import Deployment, call, configuration, play

ACK_S, PER_ROUTE_S = 5.0, 0.003  # AckMs, and what RULES.md adds for each route
PATIENCE_S = 4 * ACK_S  # for which the valid order is sent again and again
CALM_S = 4.0  # more than ContactMs: the core is settled


async def order(deployment: Deployment, name: str, body: object, base: int, wait: float) -> tuple[int, float]:
    """An operator's order, sent again as it was, to one gateway after the other, until its answer is clear.

    Returns the status, 0 without a clear answer, and the seconds that it took.
    """
    begun, number, pause = time.monotonic(), 0, 0.1
    while time.monotonic() - begun < wait:
        ip = deployment.ips[number % len(deployment.ips)]
        number += 1
        headers = {"X-Myrtlehatch-Base-Version": str(base)}
        answer = await call(ip, deployment.ctl, f"/rpc?call={name}", body, headers)
        took = round(time.monotonic() - begun, 3)
        text = answer.body.decode("latin-1") if answer else ""
        deployment.record.write(
            "order",
            call=name,
            body=body,
            to=ip,
            status=answer.status if answer else 0,
            text=text,
            took_s=took,
        )
        if answer and answer.status in (200, 400, 409, 412, 413, 422):
            return answer.status, took
        await asyncio.sleep(pause)
        pause = min(1.0, 1.5 * pause)
    return 0, round(time.monotonic() - begun, 3)


async def case(deployment: Deployment, trouble: bool) -> str:
    first = configuration(7, {"lohu930": {"Svc": "job-desk"}, "pufi791": {"Svc": "job-desk"}})
    await deployment.configure(first, 0)
    await deployment.until_ready()
    await asyncio.sleep(CALM_S)
    if trouble:
        # Services as a list in place of a table keyed by name: PROTOCOL.md says that they are no lists.
        invalid = {**first, "Ver": 8, "Svcs": [{"Name": name, **s} for name, s in first["Svcs"].items()]}
        status, _ = await order(deployment, "config.replace", invalid, 7, 3.0)
        deployment.record.write("invalid order ended", status=status)
    changed = {"r-new": {**first["Routes"]["lohu930"], "PathPrefix": "/nozi721/"}}
    update = {"Ver": 9, "Upsert": {"Routes": changed}}
    status, took = await order(deployment, "config.update", update, 7, PATIENCE_S)
    deployment.record.write("valid order ended", status=status, took_s=took)
    read = await call(deployment.ips[0], deployment.ctl, "/rpc?call=config.read", {})
    deployment.record.write("read", status=read.status if read else 0)
    bound = ACK_S + PER_ROUTE_S * 3
    print(f"the valid order: {status or 'no clear answer'} after {took} s")
    if status == 200 and took <= bound:
        return ""
    return f"Acks: a valid configuration was not acknowledged within {bound:g} s (tried for {took} s)"


if __name__ == "__main__":
    play(str(Path(__file__).parent), case)
