"""For 5 s half of a service's hosts send a second answer after 3 in 100 of their answers.

It comes late, in the place of the next one due, has no length, and ends with its connection. No client may get
an answer that belongs to another request."""

from __future__ import annotations

import asyncio
import os
import random

import rig

SERVICE = "huvo11a"
SHARE, SPOILT = 0.5, 0.03  # of the hosts; of their answers
TROUBLE_AT_S, TROUBLE_S, LENGTH_S = 2.0, 5.0, 10.0
HOSTS, CLIENTS, WORK_S = 6, 16, 0.03


class SecondAnswer(rig.Host):
    """A host in trouble: of some answers it sends a second one when the next request on the connection is due."""

    in_trouble = False

    def __init__(self, *args: object, **more: object) -> None:
        super().__init__(*args, **more)
        self.due: dict[asyncio.StreamWriter, tuple[dict[str, str], bytes]] = {}

    async def handle(self, request: rig.Message, writer: asyncio.StreamWriter) -> bool:
        if refused := self.refusal(request):
            writer.write(refused)
            return True
        id_ = request.headers["x-myrtlehatch-request-id"]
        if surplus := self.due.pop(writer, None):
            headers, body = surplus
            of = headers["X-Myrtlehatch-Request-Id"]
            self.record.write("second answer", host=self.id, of=of, in_place_of=id_)
            writer.write(rig.render("HTTP/1.1 200 OK", {**headers, "Connection": "close"}, None) + body)
            return False  # the end of the connection ends that answer; this request is not run
        headers, body = await self.run(request)
        writer.write(rig.render("HTTP/1.1 200 OK", headers, body))
        if self.in_trouble and random.random() < SPOILT:
            self.due[writer] = (headers, body)
        return True


async def case(deployment: rig.Deployment, trouble: bool) -> str:
    hosts = []
    for number in range(HOSTS):
        hosts.append(
            await deployment.host(SERVICE, rig.ZONES[number % 3], SecondAnswer, work_s=WORK_S, slots=8)
        )
    routes = {
        "frame-preview": {"Svc": SERVICE, "Kind": "idempotent"},
        "render-submit": {"Svc": SERVICE, "Kind": "mutating", "TimeoutMs": 3000},
    }
    await deployment.configure(rig.configuration(1, routes), 0)
    await deployment.until_ready()
    await asyncio.sleep(3.5)  # ContactMs: from here on all machines are in touch
    broken: list[str] = []
    sent = 0

    async def spoil() -> None:
        await asyncio.sleep(TROUBLE_AT_S)
        for host in hosts[: int(SHARE * HOSTS)]:
            host.in_trouble = trouble
        await asyncio.sleep(TROUBLE_S)
        for host in hosts:
            host.in_trouble = False

    async def client() -> None:
        nonlocal sent
        ends = asyncio.get_running_loop().time() + LENGTH_S
        while asyncio.get_running_loop().time() < ends:
            submit = random.random() < 0.25
            path = "/render-submit/" if submit else "/frame-preview/"
            found = await rig.request(
                deployment,
                random.randrange(len(deployment.ips)),
                f"{path}{random.getrandbits(24):x}",
                "POST" if submit else "GET",
                b"frame" * 20 if submit else b"",
            )
            sent += 1
            if (answer := found.answer) is None or not 200 <= answer.status < 300:
                continue
            mine = [host.seals[found.id] for host in hosts if found.id in host.seals]
            got = (answer.headers.get("x-myrtlehatch-seal", ""), answer.body)
            if got not in mine:
                of, ran = answer.headers.get("x-myrtlehatch-request-id", "none"), len(mine)
                broken.append(
                    f"{found.id} ({path[1:-1]}, run {ran} times) got a 200 of {of}, {len(got[1])} bytes"
                )
                deployment.record.write("MIXED", id=found.id, of=of, path=path, bytes=len(got[1]), ran=ran)
            await asyncio.sleep(0.02)

    await asyncio.gather(spoil(), *(client() for _ in range(CLIENTS)))
    print(f"{sent} requests, {len(broken)} successes that belong to another request")
    return f"MIXED: {len(broken)} of {sent} requests, the first {broken[0]}" if broken else ""


rig.play(os.path.dirname(os.path.abspath(__file__)), case)
