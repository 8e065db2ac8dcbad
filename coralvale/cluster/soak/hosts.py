"""Hosts of a soak: they run requests, record each run by its id, send heartbeats, leave and crash."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random

from coralvale.cluster.soak.cluster import SoakCluster
from coralvale.cluster.soak.history import (
    AnswerLost,
    BodyRead,
    Broke,
    Done,
    HostState,
    Ran,
    Writer,
    now,
)
from coralvale.cluster.soak.relay import READ_BYTES, Relay, small_listener
from coralvale.cluster.soak.wire import body_of, is_body_of, read_body, read_head
from coralvale.standins.cluster import BEAT, CTL, call
from coralvale.standins.wire import Message, answer

LONG_BODY_BYTES = 192 * 1024
LEAVE_DELAY_RANGE_S = (5.0, 14.0)  # for which a host keeps serving after its leave was acknowledged: from, to
COPY_INTERVAL = 8  # answers of a host that sends copies, of which one is sent once more
LEAVE_TIMEOUT_S = 5.0  # after which a draining host ends without an acknowledgement


def refusal(status: int, id_: str) -> bytes:
    """The answer to a request that the host does not run."""
    return answer(status, b"", X_Myrtlehatch_Request_Id=id_, X_Myrtlehatch_Not_Executed="1")


class SoakHost:
    """A simulated host, from start to end, behind a relay."""

    def __init__(
        self,
        history: Writer,
        service: str,
        cluster: SoakCluster,
        zone: str,
        runs_at_head: bool = False,
        sends_copies: bool = False,
    ) -> None:
        """`runs_at_head`: it runs a request and answers it before it reads the body.

        `sends_copies`: it sends some answers a second time, in the place of the next one on their connection.
        """
        self.runs_at_head, self.sends_copies = runs_at_head, sends_copies
        self.answers_sent = 0
        self.copies: dict[asyncio.StreamWriter, bytes] = {}  # to be sent before the next answer
        self.history, self.service, self.cluster, self.zone = history, service, cluster, zone
        self.ip = cluster.ips[0]
        self.service_time = 0.02  # s
        self.state = "up"
        self.slots = 8
        self.lost_share = 0.0  # of the requests that it runs, whose answers it does not send
        self.hangs_when_full = False  # it neither runs nor answers what is beyond its slots
        self.in_flight = self.heartbeats_sent = 0
        self.id = f"i-{random.randrange(1 << 40):010x}"
        self.relay = Relay(self.ip)
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> SoakHost:
        """Starts the server, its relay and the heartbeats."""
        sock = small_listener(self.ip)
        self.server = await asyncio.start_server(self._serve, sock=sock, limit=READ_BYTES)
        self.port = await self.relay.start(sock.getsockname()[1])
        self._record("up")
        self.heartbeat_task = asyncio.create_task(self._heartbeat_loop())
        return self

    def crash(self) -> None:
        """Ends at once, without telling any gateway."""
        self._end("crash")

    async def go_dark(self, seconds: float) -> None:
        """Answers nothing any more, without closing a connection, and ends after so many seconds."""
        self._record("dark")
        self.heartbeat_task.cancel()
        self.relay.forwarding.clear()
        await asyncio.sleep(seconds)
        self._end("crash")

    async def leave(self) -> None:
        """Reports that it drains until a gateway acknowledges; serves a while longer, deregisters, ends."""
        self.state = "draining"
        self._record("draining")
        deadline = now() + LEAVE_TIMEOUT_S
        while now() < deadline:
            gateway = await self._heartbeat()
            if gateway >= 0:
                self._record("acknowledged", gateway)
                await asyncio.sleep(random.uniform(*LEAVE_DELAY_RANGE_S))
                ip = random.choice(self.cluster.addresses())
                await call(ip, CTL, "POST", f"/rpc?call=instances.deregister&of={self.id}")
                break
            await asyncio.sleep(0.1)
        self._end("gone")

    def _end(self, what: str) -> None:
        if self.state == "ended":
            return
        self.state = "ended"
        self._record(what)
        self.heartbeat_task.cancel()
        self.server.close()
        self.relay.stop()
        for task in list(self.tasks):
            task.cancel()

    def _record(self, what: str, gateway: int = -1) -> None:
        self.history.write(HostState(now(), self.id, self.service, what, gateway))

    async def _heartbeat_loop(self) -> None:
        while True:
            await self._heartbeat()
            await asyncio.sleep(BEAT)

    async def _heartbeat(self) -> int:
        """Sends a heartbeat; returns the number of the gateway that acknowledged it, -1 if none did."""
        self.heartbeats_sent += 1
        body = {
            "Svc": self.service,
            "Address": f"{self.ip}:{self.port}",
            "Az": self.zone,
            "Ver": "v1",
            "Capacity": self.slots,
            "State": self.state,
            "WarmupMs": 0,
            "Calls": self.heartbeats_sent,
        }
        path = f"/rpc?call=instances.heartbeat&of={self.id}"
        addresses = self.cluster.addresses()
        for ip in random.sample(addresses, min(3, len(addresses))):
            found = await call(ip, CTL, "POST", path, json.dumps(body).encode(), 1.0)
            if found and found.status == 200:
                return self.cluster.number_of(ip)
        return -1

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task
        self.tasks.add(task)
        try:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
                while True:
                    await self._serve_one(reader, writer)
        finally:
            self.tasks.discard(task)
            self.copies.pop(writer, None)
            writer.close()

    async def _serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        first, headers = await read_head(reader)
        if not self.runs_at_head:
            await self._answer(Message(first, headers, await read_body(reader, headers)), reader, writer)
            return
        await self._answer(Message(first, headers, b""), reader, writer)
        body = await read_body(reader, headers)
        if body:
            id_ = headers.get(b"x-myrtlehatch-request-id", b"").decode()
            self.history.write(BodyRead(now(), id_, self.id, is_body_of(id_, body)))

    async def _answer(
        self, message: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if b"/healthz" in message.first:
            writer.write(answer(200, b"", X_Myrtlehatch_Served_By=self.id))
            return
        id_ = message.headers.get(b"x-myrtlehatch-request-id", b"").decode()
        if message.headers.get(b"x-myrtlehatch-want-instance", b"").decode() != self.id:
            self._send(writer, refusal(421, id_))
            return
        if self.hangs_when_full and self.in_flight >= self.slots:
            await self._hang(reader)
        if self.in_flight >= self.slots * 4:
            self._send(writer, refusal(503, id_))
            return
        tenant = message.headers.get(b"x-myrtlehatch-tenant", b"").decode()
        self.history.write(Ran(now(), id_, self.id, tenant, is_body_of(id_, message.body)))
        try:
            lost = await self._run(message, id_, writer)
        except (OSError, asyncio.CancelledError):
            self.history.write(Broke(now(), id_, self.id))
            raise
        if lost:
            self.history.write(AnswerLost(now(), id_, self.id))
            await self._hang(reader)
        if writer.is_closing() or reader.at_eof():
            self.history.write(Broke(now(), id_, self.id))
        else:
            self.history.write(Done(now(), id_, self.id))

    async def _run(self, message: Message, id_: str, writer: asyncio.StreamWriter) -> bool:
        """Works on a request in one of its slots, and sends the answer unless it loses it. Whether it does."""
        self.in_flight += 1
        try:
            await asyncio.sleep(self.service_time * (0.5 + random.random()))
            if random.random() < self.lost_share:
                return True
            size = LONG_BODY_BYTES if b"/long/" in message.first else 200
            data = answer(
                200,
                body_of(id_, size),
                X_Myrtlehatch_Request_Id=id_,
                X_Myrtlehatch_Seal=f"seal.{self.id}",
                X_Myrtlehatch_Load=f"{self.in_flight},0,{self.slots}",
            )
            self._send(writer, data)
            await writer.drain()
            return False
        finally:
            self.in_flight -= 1

    async def _hang(self, reader: asyncio.StreamReader) -> None:
        """Answers nothing further on a connection, until the other side ends it."""
        while await reader.read(READ_BYTES):
            pass
        raise asyncio.IncompleteReadError(b"", None)

    def _send(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        """Sends an answer, behind the copy of an earlier one if one is due on the connection."""
        writer.write(self.copies.pop(writer, b"") + data)
        self.answers_sent += 1
        if self.sends_copies and self.answers_sent % COPY_INTERVAL == 0:
            self.copies[writer] = data
