"""The watch on discovery: keeps the merged list of hosts and passes on each change of it."""

from __future__ import annotations

import asyncio
import contextlib
import json
import logging
import math
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import httptools

from coralvale import interface as api
from coralvale.net.clock import Clock
from coralvale.net.config import Address, HostInstance, read_address

log = logging.getLogger(__name__)

SILENCE_TIMEOUT_S = 3.5  # s without a line, of which one is due every 2 s, after which a watch is dead
# s that the head of an answer may take. Where discovery serves a large fleet, calls wait in turn there for up to
# 2 s; whoever gives one up that is under way and calls again makes the line longer for all, itself first.
HEAD_TIMEOUT_S = 4.5
CONNECT_TIMEOUT_S = 1.0  # s for a connection to the agent, which is on this machine
BACKOFF_S, MAX_BACKOFF_S = 0.05, 1.0  # s before the next try, doubled each time, and jittered
# A fleet that calls all at once, or again and again, keeps its own line standing: discovery works on calls that
# have been given up, and then none is answered in time. So what is harmless for one is slower for many.
CONCURRENT_GATEWAYS = 8  # gateways that may call at one moment
SPREAD_PER_GATEWAY_S = 0.1  # s for each gateway past those, over which a start or a lost watch is spread
BUSY_BACKOFF_S, MAX_BUSY_BACKOFF_S = 0.05, 0.2  # s per gateway before the next try when discovery is busy
MAX_LINE_BYTES = 8 * 1024 * 1024
STATES = {
    "active": api.ServerState.HEALTHY,
    "leaving": api.ServerState.DRAINING,
    "left": api.ServerState.GONE,
}


@dataclass(slots=True)
class Endpoint:
    """A listed host: what the module knows of it, its address here, and since when it is to be left alone."""

    server: api.Server
    address: Address
    draining_since: float | None = None

    @property
    def instance(self) -> HostInstance:
        return self.server.id, self.server.started_at, self.address


class Discovery:
    """Follows the list; `on_change(kind, servers, stale)` gets what changed and which hosts to let go."""

    def __init__(
        self,
        address: Address,
        zones: tuple[str, ...],
        kinds: tuple[str, ...],
        clock: Clock,
        on_change: Callable[[api.ListKind, tuple[api.Server, ...], list[HostInstance]], None],
        silence_timeout: float = SILENCE_TIMEOUT_S,
        fleet: int = 1,
    ) -> None:
        """`fleet`: how many gateways ask this discovery."""
        self.address, self.clock, self.on_change, self.silence_timeout = (
            address,
            clock,
            on_change,
            silence_timeout,
        )
        self.zones = {name: i for i, name in enumerate(zones)}
        self.kinds = {name: i for i, name in enumerate(kinds)}
        self.endpoints: dict[str, Endpoint] = {}
        self.index: int | None = None
        self.random = random.Random()
        self.current_watch: Watch | None = None
        self.empty_list_seen = False  # the last whole list named no host, and was not believed
        self.fleet, self.spread = fleet, SPREAD_PER_GATEWAY_S * max(0, fleet - CONCURRENT_GATEWAYS)
        self.backoff = BACKOFF_S
        self.address_changed = (
            asyncio.Event()
        )  # set when the address has changed: there is nothing to wait for
        self.on_answer: Callable[[], None] | None = None  # called when a watch has been answered

    def apply(self, message: dict[str, Any], cached: bool = False) -> None:
        """Merges one message into the list; an entry that cannot be read is left out and named in the log.

        Raises ValueError, and changes nothing, for a message of another form, and for a whole list without any
        host while some are known: only when it is told a second time is it believed.
        """
        entries, index = message.get("endpoints", []), message.get("index")
        if not isinstance(entries, list):
            raise ValueError("endpoints: no list")
        full, now = bool(message.get("snapshot")) or cached, self.clock.now()
        changed: list[api.Server] = []
        before, listed = self.endpoints, {} if full else dict(self.endpoints)
        for entry in entries:
            try:
                endpoint = self._read(entry)
            except (KeyError, ValueError, TypeError, AttributeError, OverflowError) as error:
                log.warning("discovery: cannot use entry %.200r: %r", entry, error)
                known = isinstance(entry, dict) and before.get(str(entry.get("name")))
                if not (full and known):
                    continue
                endpoint = known  # one bad field must not take a host from the list
            name, old = endpoint.server.id, before.get(endpoint.server.id)
            changed.append(endpoint.server)
            if endpoint.server.state is api.ServerState.GONE:
                listed.pop(name, None)
                continue
            if endpoint.server.state is api.ServerState.DRAINING:
                since = old.draining_since if old else None
                endpoint.draining_since = now if since is None else since
            listed[name] = endpoint
        if full and not cached and before and not listed and not self.empty_list_seen:
            self.empty_list_seen = True
            raise ValueError("a whole list without a host: asked for again")
        self.empty_list_seen = self.empty_list_seen and not listed
        self.endpoints = listed
        # A host that drains, has gone, restarted or moved: connections kept to it serve nothing new.
        stale = [old.instance for name, old in before.items() if self._replaced(old, listed.get(name))]
        # Without an index that can be read, the next watch begins with the whole list.
        self.index = index if type(index) is int and index >= 0 else None
        if cached or full or changed:
            kind = api.ListKind.CACHED if cached else api.ListKind.FULL if full else api.ListKind.CHANGES
            self.on_change(kind, tuple(changed), stale)

    @staticmethod
    def _replaced(old: Endpoint, new: Endpoint | None) -> bool:
        if new is None or new.draining_since is not None or new.address != old.address:
            return True
        return new.server.started_at != old.server.started_at

    def _read(self, entry: dict[str, Any]) -> Endpoint:
        state = STATES[entry["status"]]
        gone = state is api.ServerState.GONE
        weight, since = float(entry.get("weight", 1.0)), float(entry.get("since_ms") or 0)
        if not (math.isfinite(weight) and math.isfinite(since)):
            raise ValueError("weight or since_ms: no finite number")
        server = api.Server(
            id=str(entry["name"]),
            state=state,
            scale=weight,
            zone=self.zones.get(entry.get("zone", ""), -1),
            cell=int(entry.get("group") or 0),
            kind=self.kinds.get(entry.get("type", ""), -1),
            started_at=since / 1000,
        )
        return Endpoint(server, ("", 0) if gone else read_address(entry["address"]))

    def refresh(self) -> None:
        """Asks for the whole list, by a new watch from no version."""
        self.index = None
        if self.current_watch:
            self.current_watch.close()

    def change_address(self, address: Address) -> None:
        """Follows another agent from now on, from no version: an index means nothing to a stranger.

        The list stays as it is until the new agent has told its own.
        """
        self.address, self.backoff = address, BACKOFF_S
        self.refresh()
        self.address_changed.set()

    async def run(self) -> None:
        """Watches for good. Nothing that goes wrong in one watch may end this: the list would age unseen."""
        if self.endpoints and self.spread:  # known from before: the news can wait its turn
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._start_delay()):
                    await self.address_changed.wait()
        while True:
            self.address_changed.clear()
            watching = asyncio.ensure_future(self._watch())
            moved = asyncio.ensure_future(self.address_changed.wait())
            try:
                await asyncio.wait([watching, moved], return_when=asyncio.FIRST_COMPLETED)
                if moved.done():  # a connect to the old address may hang, so it is not waited for
                    continue
                if error := watching.exception():
                    log.error("discovery: a watch failed", exc_info=error)
                useful = not error and watching.result()
                self._back_off(useful, self.current_watch is not None and self.current_watch.busy)
                # Jittered, so that gateways that lost discovery together do not come back together.
                pause = self.backoff * (0.5 + self.random.random()) + (self._start_delay() if useful else 0.0)
                await asyncio.wait([moved], timeout=pause)
            finally:
                watching.cancel()
                moved.cancel()

    def _start_delay(self) -> float:
        """Seconds to wait for this gateway's turn among all that may want to call now."""
        return self.spread * self.random.random()

    def _back_off(self, useful: bool, busy: bool) -> None:
        """Sets the pause before the next watch: short where one broke, long where there is a line."""
        if useful:
            self.backoff = BACKOFF_S
        elif busy:
            most = max(MAX_BACKOFF_S, MAX_BUSY_BACKOFF_S * self.fleet)
            self.backoff = min(max(2 * self.backoff, BUSY_BACKOFF_S * self.fleet), most)
        else:
            self.backoff = min(2 * self.backoff, max(MAX_BACKOFF_S, self.backoff))

    async def _watch(self) -> bool:
        """Follows one watch to its end; tells whether it was of any use."""
        loop = asyncio.get_running_loop()
        watch = self.current_watch = Watch(self)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await loop.create_connection(lambda: watch, *self.address)
        except (OSError, TimeoutError):
            watch.close()
            return False
        while not watch.lost.done():
            # A watch cut off on the way stays open and says nothing for good.
            limit = self.silence_timeout if watch.answered else min(self.silence_timeout, HEAD_TIMEOUT_S)
            left = watch.last_received_at + limit - loop.time()
            if left <= 0:
                log.warning("discovery: nothing heard for %.1f s, watching anew", limit)
                watch.close()
            await asyncio.wait([watch.lost], timeout=max(left, 0.1))
        return watch.lines > 0 and not watch.broken


class Watch(asyncio.Protocol):
    """One watch: a chunked answer that holds one JSON object a line."""

    def __init__(self, owner: Discovery) -> None:
        self.owner, self.partial_line, self.lines, self.answered = owner, b"", 0, False
        self.broken = self.busy = False
        self.transport: asyncio.Transport | None = None
        loop = asyncio.get_running_loop()
        self.lost: asyncio.Future[None] = loop.create_future()
        self.clock = loop.time
        self.last_received_at = loop.time()

    def connection_made(self, transport: Any) -> None:  # noqa: ANN401
        self.transport = transport
        self.last_received_at = self.clock()
        self.parser = httptools.HttpResponseParser(self)
        after = "" if self.owner.index is None else f"&index={self.owner.index}"
        host, port = self.owner.address
        text = f"GET /discovery/hosts?stream=1{after} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n"
        transport.write(text.encode())

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            log.warning("discovery: %r", error.__context__ or error)
            self.close()

    def on_headers_complete(self) -> None:
        self.busy = self.parser.get_status_code() in (429, 503)
        if self.parser.get_status_code() != 200:
            raise ValueError(f"status {self.parser.get_status_code()}")
        self.last_received_at, self.answered = self.clock(), True
        if self.owner.on_answer:
            self.owner.on_answer()

    def on_body(self, body: bytes) -> None:
        if self.owner.current_watch is not self:  # what an agent left behind still had to say
            self.close()
            return
        *lines, self.partial_line = (self.partial_line + body).split(b"\n")
        if len(self.partial_line) > MAX_LINE_BYTES:
            raise ValueError("a line without end")
        for line in lines:
            self.last_received_at = self.clock()
            if line.strip():
                self._line(line)
            self.lines += 1
        if self.broken:
            self.close()

    def _line(self, line: bytes) -> None:
        """One bad line must not lose the others; what it told is asked for anew, with the whole list."""
        try:
            self.owner.apply(json.loads(line))
        except (ValueError, TypeError, AttributeError, RecursionError) as error:
            log.warning("discovery: cannot use line %.200r: %r", line, error)
            self.broken = True
        if self.broken:
            self.owner.index = None

    def on_message_complete(self) -> None:
        self.close()

    def close(self) -> None:
        if self.transport:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.lost.done():
            self.lost.set_result(None)
