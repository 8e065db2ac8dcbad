"""MIXED: a late surplus answer that ends with its connection is given to the next request as its own answer."""

from __future__ import annotations

import asyncio
from pathlib import Path

from rig import ZONES, Deployment, Host, Message, configuration, play, render, request

SPOILING_HOSTS = 3  # of 5: a share of 0.6
SPOIL_EVERY = 34  # of their answers: a share of 0.029
TROUBLE_S = 5.0
RATE, CALM_S = 120.0, 3.0  # requests a second, and seconds before and after the trouble


class Spoiling(Host):
    """A host that, while `spoils`, sends a second copy of some answers: late, in the place of the next one due.

    The copy has no length, so it ends with the connection, in order. The request that it displaces runs.
    """

    spoils = False
    answers = 0  # of all such hosts while they spoil

    async def handle(self, request: Message, writer: asyncio.StreamWriter) -> bool:
        surplus: tuple[str, dict[str, str], bytes] | None = getattr(writer, "surplus", None)
        if surplus and self.spoils and not self.refusal(request):
            id_, headers, body = surplus
            self.record.write("surplus answer sent", host=self.id, answers=id_)
            writer.write(render("HTTP/1.1 200 OK", {**headers, "Connection": "close"}, None) + body)
            await writer.drain()
            writer.close()
            await self.run(request)
            return False
        if refused := self.refusal(request):
            writer.write(refused)
            return True
        headers, body = await self.run(request)
        writer.write(render("HTTP/1.1 200 OK", headers, body))
        Spoiling.answers += self.spoils
        if self.spoils and Spoiling.answers % SPOIL_EVERY == 0:
            writer.surplus = headers["X-Myrtlehatch-Request-Id"], headers, body  # type: ignore[attr-defined]
        return True


async def case(deployment: Deployment, trouble: bool) -> str:
    hosts = [
        await deployment.host("job-desk", ZONES[n % 3], Spoiling if n < SPOILING_HOSTS else Host)
        for n in range(5)
    ]
    await deployment.configure(configuration(7, {"lohu930": {"Svc": "job-desk"}}), 0)
    await deployment.until_ready()
    tasks = []

    async def traffic(seconds: float) -> None:
        for n in range(int(seconds * RATE)):
            tasks.append(asyncio.create_task(request(deployment, n % 5, "/lohu930/2f")))
            await asyncio.sleep(1 / RATE)

    await traffic(CALM_S)
    if trouble:
        deployment.record.write("trouble begins")
        for host in hosts[:SPOILING_HOSTS]:
            host.spoils = True  # type: ignore[attr-defined]
    await traffic(TROUBLE_S)
    for host in hosts[:SPOILING_HOSTS]:
        host.spoils = False  # type: ignore[attr-defined]
    deployment.record.write("trouble ends")
    await traffic(CALM_S)
    mixed, served = [], 0
    for sent in await asyncio.gather(*tasks):
        answer = sent.answer
        if answer is None or not answer.whole or not 200 <= answer.status < 300:
            continue
        served += 1
        given = {host.seals[sent.id] for host in hosts if sent.id in host.seals}
        if (answer.headers.get("x-myrtlehatch-seal", ""), answer.body) not in given:
            mixed.append(sent.id)
            of = answer.headers.get("x-myrtlehatch-request-id", "")
            deployment.record.write("MIXED", id=sent.id, got_answer_of=of, bytes=len(answer.body))
    deployment.record.write("summary", requests=len(tasks), served=served, mixed=len(mixed))
    print(f"{len(tasks)} requests, {served} served, {len(mixed)} mixed")
    return f"MIXED: {len(mixed)} clients got a success that is the answer to another request" if mixed else ""


if __name__ == "__main__":
    play(str(Path(__file__).parent), case)
