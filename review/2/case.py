"""Hosts answer long submissions before they have read them, and read on later. One crashes while it works.

A paid submission that a host has begun to run may not be run by another one."""

from __future__ import annotations

import asyncio
import os
import socket

import rig

SERVICE = "huvo11a"
HOSTS, CLIENTS, LENGTH_S = 7, 8, 6.0  # one of seven hosts crashes: 0.143
CRASH_AT_S, INTO_WORK_S = 2.0, 0.05
WORK_S = 0.16  # the mean of render-submit
BODY = b"scene " * 1_400_000  # 8.4 MB; BodyBytes is 64 MB
RECEIVE_BYTES = 65536  # links have small windows


class EarlyAnswer(rig.Host):
    """Runs a request when it has its head, answers, keeps the connection, and reads the body on later."""

    crashed = False

    async def start(self) -> None:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
        sock.bind((self.ip, 0))
        self.writers: set[asyncio.StreamWriter] = set()
        self.server = await asyncio.start_server(self._accepted, sock=sock, limit=16384)
        self.port = sock.getsockname()[1]
        self.beats = asyncio.create_task(self._beat_forever())

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                request = await rig.read_head(reader)
                if refused := self.refusal(request):
                    writer.write(refused)
                else:
                    headers, body = await self.run(request)
                    writer.write(rig.render("HTTP/1.1 200 OK", headers, body))
                left = int(request.headers.get("content-length", "0"))
                while left:
                    left -= len(await reader.readexactly(min(left, 16384)))
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def crash(self) -> None:
        """Ends without a word: beats cease, connections are reset, the port is closed."""
        self.record.write("host crashes", host=self.id, running=self.running)
        self.crashed = True
        self.stop()
        for writer in list(self.writers):
            writer.transport.abort()


async def case(deployment: rig.Deployment, trouble: bool) -> str:
    hosts = [
        await deployment.host(SERVICE, rig.ZONES[number % 3], EarlyAnswer, work_s=WORK_S, slots=2)
        for number in range(HOSTS)
    ]
    route = {"Svc": SERVICE, "Kind": "mutating", "TimeoutMs": 3000, "TargetMs": 500, "Tries": 2}
    await deployment.configure(rig.configuration(1, {"render-submit": route}), 0)
    await deployment.until_ready()
    await asyncio.sleep(3.5)  # ContactMs: from here on all machines are in touch
    loop = asyncio.get_running_loop()
    ends = loop.time() + LENGTH_S
    sent: list[rig.Sent] = []

    async def client(number: int) -> None:
        while loop.time() < ends:
            gateway = (number + len(sent)) % len(deployment.ips)
            sent.append(
                await rig.request(deployment, gateway, "/render-submit/1", "POST", BODY, deadline_s=3.0)
            )

    async def strike() -> None:
        await asyncio.sleep(CRASH_AT_S)
        while not hosts[0].running and loop.time() < ends:
            await asyncio.sleep(0.005)
        await asyncio.sleep(INTO_WORK_S)
        hosts[0].crash()

    await asyncio.gather(*(client(number) for number in range(CLIENTS)), *([strike()] if trouble else []))
    broken = []
    for request in sent:
        runs = [host.id for host in hosts if request.id in host.seals]
        status = request.answer.status if request.answer else 0
        if len(runs) > 1:
            broken.append(f"TWICE: {request.id} was run by {' and '.join(runs)}, answered {status}")
        elif runs and status in (408, 421, 429, 503):
            broken.append(f"REFUSED: {request.id} was run by {runs[0]}, answered {status}")
    good = sum(request.answer is not None and request.answer.status == 200 for request in sent)
    print(f"{len(sent)} submissions, {good} answered 200; {len(broken)} run twice, or refused and run")
    for line in broken:
        deployment.record.write("broken", why=line)
    return f"{len(broken)} of {len(sent)}, the first {broken[0]}" if broken else ""


rig.play(os.path.dirname(os.path.abspath(__file__)), case)
