"""Discovery: `Registry` says what a test tells it to; `Roster` keeps a list, and watches hear of changes."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from coralvale.standins.peer import Arrived, Peer
from coralvale.standins.wire import chunk, read_message

BEAT = 2.0  # s between the empty lines of a watch in which nothing changes
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class Registry(Peer):
    """Each watch is answered with a head, then with what the test tells."""

    async def watch(self) -> Arrived:
        watch = await self.next()
        watch.reply(HEAD)
        return watch


def line(index: int, *endpoints: dict[str, Any], snapshot: bool = False) -> bytes:
    message = {"index": index, "snapshot": snapshot, "endpoints": list(endpoints)}
    return json.dumps(message).encode() + b"\n"


def entry(name: str, port: int, **more: Any) -> dict[str, Any]:  # noqa: ANN401
    fields = {"name": name, "address": f"127.0.0.1:{port}", "zone": "south", "type": "large", "group": 1}
    return {**fields, "status": "active", "weight": 1.0, "since_ms": 0, **more}


class Roster:
    """A discovery that works: `tell` changes entries, and every watch hears of it at once.

    `stop` ends it and its watches; `start` on the same port brings it back with the list it then has.
    """

    def __init__(self, *endpoints: dict[str, Any], index: int = 1) -> None:
        self.index = index
        self.endpoints = {e["name"]: e for e in endpoints}
        self.writers: list[asyncio.StreamWriter] = []
        self.port = 0
        self.beats: set[asyncio.Task[None]] = set()

    async def start(self) -> Roster:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    def known(self) -> dict[str, Any]:
        """The whole list in discovery's form, as `GET /discovery/hosts` answers."""
        return {"index": self.index, "snapshot": True, "endpoints": list(self.endpoints.values())}

    def tell(self, name: str, **changes: Any) -> None:  # noqa: ANN401
        """Changes one entry, or adds it; `status="left"` takes it out. Watches hear the change."""
        told = {**self.endpoints.get(name, entry(name, 0)), **changes}
        if told["status"] == "left":
            self.endpoints.pop(name, None)
        else:
            self.endpoints[name] = told
        self.index += 1
        for writer in self.writers:
            writer.write(chunk(line(self.index, told)))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            message = await read_message(reader)
            if b"stream=1" in message.first:
                writer.write(HEAD)
                writer.write(chunk(json.dumps(self.known()).encode() + b"\n"))
                self.writers.append(writer)
                beat = asyncio.get_running_loop().create_task(self._beat(writer))
                self.beats.add(beat)
                beat.add_done_callback(self.beats.discard)
                await reader.read()
            else:
                body = json.dumps(self.known()).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            if writer in self.writers:
                self.writers.remove(writer)
            writer.close()

    async def _beat(self, writer: asyncio.StreamWriter) -> None:
        while writer in self.writers:
            await asyncio.sleep(BEAT)
            if writer.is_closing():  # its gateway was killed
                return
            writer.write(chunk(b"\n"))

    def stop(self) -> None:
        self.server.close()
        for beat in self.beats:
            beat.cancel()
        for writer in self.writers:
            writer.transport.abort()
        self.writers = []
