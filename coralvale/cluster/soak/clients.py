"""Clients of a soak. Each keeps its connection until it is closed or its gateway's process has exited."""

from __future__ import annotations

import asyncio
import random
from enum import Enum

from attrs import define

from coralvale.cluster.soak.cluster import SoakCluster
from coralvale.cluster.soak.history import (
    CONNECTIONS_PER_CLIENT,
    Answered,
    Closed,
    Event,
    Left,
    Sent,
    Silent,
    Writer,
    Written,
    now,
)
from coralvale.cluster.soak.wire import body_of, is_body_of, read_message, request
from coralvale.standins.cluster import EDGE
from coralvale.standins.wire import Message

VHOST = "demo.example"
TIME_LIMIT_S = 2.5  # sent with a request; the routes' timeouts are longer
PATIENT_LIMIT_S = 8.0  # the same of patient clients: longer than a process has after SIGTERM
GIVE_UP_AFTER_S = 15.0  # beyond the limit; then a client stops waiting
CONNECT_TIMEOUT_S = 3.0
UPLOAD_BYTES = 6_000_000  # more than the socket buffers between a gateway and a host hold
MAX_LEAVE_DELAY_S = 0.05  # after which a client that abandons its request closes the connection


class RequestStyle(Enum):
    """How a request is sent and its answer read: with a body, long or short, slowly, or abandoned."""

    PLAIN = "plain"
    BODY = "body"
    CHUNKED = "chunked"
    UPLOAD = "upload"
    SLOW = "slow"
    LEAVES = "leaves"


@define
class RequestSpec:
    """One request to send. `proper`: every version of the configuration allows it; `limit`: s that the client
    waits."""

    path: str
    repeatable: bool
    key: str
    tenant: str
    style: RequestStyle = RequestStyle.PLAIN
    proper: bool = True
    limit: float = TIME_LIMIT_S


class Client:
    """A client with one connection at a time and one request at a time on it."""

    def __init__(
        self, cluster: SoakCluster, history: Writer, number: int, honours_close: bool = True
    ) -> None:
        """`honours_close`: closes its connection after an answer with `Connection: close`; else it goes on
        using it until the gateway closes it."""
        self.cluster, self.history, self.number = cluster, history, number
        self.honours_close = honours_close
        self.gateway = self.life = self.connection = -1
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def connect(self, gateway: int) -> bool:
        """Connects to a gateway. False if that failed."""
        self.close()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                self.reader, self.writer = await asyncio.open_connection(self.cluster.ips[gateway], EDGE)
        except (OSError, TimeoutError):
            return False
        self.gateway, self.life = gateway, self.cluster.lives.get(gateway, 0)
        self.connection += 1
        return True

    async def connect_to_any(self) -> bool:
        """To the gateway that it had, while its port is open; else to others."""
        members = self.cluster.running()
        random.shuffle(members)
        if self.gateway in members:
            members.remove(self.gateway)
            members.insert(0, self.gateway)
        for gateway in members[:3]:
            if await self.connect(gateway):
                return True
        return False

    def close(self) -> None:
        """Aborts the connection, if there is one."""
        if self.writer:
            self.writer.transport.abort()
        self.reader = self.writer = None

    async def send(self, spec: RequestSpec) -> int:
        """Sends a request; returns the status of its answer, 0 without a complete one."""
        if self.writer is None and not await self.connect_to_any():
            await asyncio.sleep(0.1)
            return 0
        id_ = f"{random.getrandbits(64):016x}"
        self.record_sent(id_, spec)
        try:
            return await self._exchange(id_, spec)
        except TimeoutError:
            self._record(Silent(now(), id_))
        except asyncio.IncompleteReadError as error:
            self._record(Closed(now(), id_, begun=bool(error.partial)))
        except (OSError, ValueError):
            self._record(Closed(now(), id_))
        except asyncio.CancelledError:
            self._record(Left(now(), id_))
            self.close()
            raise
        self.close()
        return 0

    async def _exchange(self, id_: str, spec: RequestSpec) -> int:
        assert self.reader and self.writer
        self.writer.write(encode_request(id_, spec))
        async with asyncio.timeout(spec.limit + GIVE_UP_AFTER_S):
            await self.writer.drain()
            self._record(Written(now(), id_))
            if spec.style is RequestStyle.LEAVES:
                await asyncio.sleep(random.uniform(0, MAX_LEAVE_DELAY_S))
                self._record(Left(now(), id_))
                self.close()
                self.gateway = -1  # connects to another gateway next, like a new client
                return 0
            pause = 0.02 if spec.style is RequestStyle.SLOW else 0.0
            found = await read_message(self.reader, pause, 16384)
        self._record(read_answer(id_, found))
        if self.honours_close and found.headers.get(b"connection", b"").lower() == b"close":
            self.close()
        return found.status

    def record_sent(self, id_: str, spec: RequestSpec) -> None:
        """Records a request that is about to be written on the present connection."""
        self._record(
            Sent(
                now(),
                id_,
                self.gateway,
                self.life,
                self.number * CONNECTIONS_PER_CLIENT + self.connection,
                spec.path,
                spec.repeatable,
                spec.tenant,
                spec.limit,
                spec.proper,
            )
        )

    def _record(self, event: Event) -> None:
        self.history.write(event)


def encode_request(id_: str, spec: RequestSpec) -> bytes:
    """The bytes of a request."""
    headers = {
        "Host": VHOST,
        "X-Myrtlehatch-Request-Id": id_,
        "X-Myrtlehatch-Time-Left": str(int(spec.limit * 1000)),
        "Authorization": f"Bearer {spec.key}",
    }
    if spec.style not in (RequestStyle.BODY, RequestStyle.CHUNKED, RequestStyle.UPLOAD):
        return request("GET" if spec.repeatable else "POST", spec.path, headers, b"")
    size = UPLOAD_BYTES if spec.style is RequestStyle.UPLOAD else random.randrange(1, 40_000)
    body = body_of(id_, size)
    return request("POST", spec.path, headers, body, spec.style is RequestStyle.CHUNKED)


def read_answer(id_: str, found: Message) -> Answered:
    """The event of a complete answer."""
    echo = found.headers.get(b"x-myrtlehatch-request-id", b"").decode("latin-1")
    own = found.status != 200 or (bool(found.body) and is_body_of(id_, found.body))
    return Answered(now(), id_, found.status, echo, own)
