"""Client of the discovery service: keeps the merged list of hosts and reports each change of it.

Times and timeouts are in seconds.
"""

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

SILENCE_TIMEOUT_S = 3.5  # without a line, of which one is due every 2 s; then the watch is closed
# For the head of an answer. Discovery serving a large fleet queues calls for up to 2 s; a call that is given up
# and repeated makes that queue longer for all gateways.
HEAD_TIMEOUT_S = 4.5
CONNECT_TIMEOUT_S = 1.0  # to the agent, which is on this machine
BACKOFF_S, MAX_BACKOFF_S = 0.05, 1.0  # before the next try: doubled each time, with jitter
# Discovery also works on calls that were given up. A fleet that calls all at once, or retries too often, keeps
# its queue so long that no call is answered in time; so delays grow with the number of gateways.
CONCURRENT_GATEWAYS = 8  # gateways that may call at the same moment
SPREAD_PER_GATEWAY_S = 0.1  # for each further gateway: start-ups and lost watches are spread over the total
BUSY_BACKOFF_S, MAX_BUSY_BACKOFF_S = 0.05, 0.2  # per gateway, before the next try when discovery is busy
MAX_LINE_BYTES = 8 * 1024 * 1024
STATES = {
    "active": api.ServerState.HEALTHY,
    "leaving": api.ServerState.DRAINING,
    "left": api.ServerState.GONE,
}


@dataclass(slots=True)
class Endpoint:
    """A listed host: its entry for the decision module, its address, and since when it is draining."""

    server: api.Server
    address: Address
    draining_since: float | None = None

    @property
    def instance(self) -> HostInstance:
        """Identifies this run of the host, for connections kept to it."""
        return self.server.id, self.server.started_at, self.address


class Discovery:
    """Follows the list of hosts.

    `on_change(kind, servers, stale)` gets each change, and the instances whose connections are to be closed.
    """

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
        """`fleet`: number of gateways that call this discovery service."""
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
        self.empty_list_seen = False  # the last full list had no host and was ignored
        self.fleet, self.spread = fleet, SPREAD_PER_GATEWAY_S * max(0, fleet - CONCURRENT_GATEWAYS)
        self.backoff = BACKOFF_S
        self.address_changed = asyncio.Event()  # ends any pause and connect to the old address
        self.on_answer: Callable[[], None] | None = None  # called when the head of a watch's answer arrives

    def apply(self, message: dict[str, Any], cached: bool = False) -> None:
        """Merges one message into the list. An invalid entry is skipped and logged.

        Raises ValueError, and changes nothing, for a message of another form. Also for a full list without hosts
        while some are known; such a list is accepted when it comes a second time.
        """
        entries, index = message.get("endpoints", []), message.get("index")
        if not isinstance(entries, list):
            raise ValueError("endpoints: not a list")
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
                endpoint = known  # one invalid field must not remove a host from the list
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
            raise ValueError("full list without a host; requesting it again")
        self.empty_list_seen = self.empty_list_seen and not listed
        self.endpoints = listed
        # Connections to hosts that are draining, gone, restarted or have moved get no new requests.
        stale = [old.instance for name, old in before.items() if self._replaced(old, listed.get(name))]
        # Without a valid index the next watch starts with the full list.
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
            raise ValueError("weight or since_ms: not a finite number")
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
        """Requests the full list, by a new watch without an index."""
        self.index = None
        if self.current_watch:
            self.current_watch.close()

    def change_address(self, address: Address) -> None:
        """Switches to another agent, without an index, as indexes of agents differ.

        The known list is kept until the new agent sends its own.
        """
        self.address, self.backoff = address, BACKOFF_S
        self.refresh()
        self.address_changed.set()

    async def run(self) -> None:
        """Watches until cancelled. An error in a watch must not end it: the list would become stale unnoticed."""
        if self.endpoints and self.spread:  # a list is known, so the first call can wait
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._start_delay()):
                    await self.address_changed.wait()
        while True:
            self.address_changed.clear()
            watching = asyncio.ensure_future(self._watch())
            moved = asyncio.ensure_future(self.address_changed.wait())
            try:
                await asyncio.wait([watching, moved], return_when=asyncio.FIRST_COMPLETED)
                if moved.done():  # does not wait for a connect to the old address
                    continue
                if error := watching.exception():
                    log.error("discovery: a watch failed", exc_info=error)
                useful = not error and watching.result()
                self._back_off(useful, self.current_watch is not None and self.current_watch.busy)
                # With jitter, so that gateways that lost discovery together do not reconnect together.
                pause = self.backoff * (0.5 + self.random.random()) + (self._start_delay() if useful else 0.0)
                await asyncio.wait([moved], timeout=pause)
            finally:
                watching.cancel()
                moved.cancel()

    def _start_delay(self) -> float:
        """Random delay in seconds that spreads the calls of all gateways."""
        return self.spread * self.random.random()

    def _back_off(self, useful: bool, busy: bool) -> None:
        """Sets the pause before the next watch: short after a useful one, long while discovery is busy."""
        if useful:
            self.backoff = BACKOFF_S
        elif busy:
            most = max(MAX_BACKOFF_S, MAX_BUSY_BACKOFF_S * self.fleet)
            self.backoff = min(max(2 * self.backoff, BUSY_BACKOFF_S * self.fleet), most)
        else:
            self.backoff = min(2 * self.backoff, max(MAX_BACKOFF_S, self.backoff))

    async def _watch(self) -> bool:
        """Follows one watch to its end; returns whether it delivered lines and none was invalid."""
        loop = asyncio.get_running_loop()
        watch = self.current_watch = Watch(self)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await loop.create_connection(lambda: watch, *self.address)
        except (OSError, TimeoutError):
            watch.close()
            return False
        while not watch.lost.done():
            # A watch whose network path broke stays open and silent forever.
            limit = self.silence_timeout if watch.answered else min(self.silence_timeout, HEAD_TIMEOUT_S)
            left = watch.last_received_at + limit - loop.time()
            if left <= 0:
                log.warning("discovery: no data for %.1f s, opening a new watch", limit)
                watch.close()
            await asyncio.wait([watch.lost], timeout=max(left, 0.1))
        return watch.lines > 0 and not watch.broken


class Watch(asyncio.Protocol):
    """One watch: a chunked response with one JSON object per line."""

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
        if self.owner.current_watch is not self:  # a late message of the previous agent
            self.close()
            return
        *lines, self.partial_line = (self.partial_line + body).split(b"\n")
        if len(self.partial_line) > MAX_LINE_BYTES:
            raise ValueError("line too long")
        for line in lines:
            self.last_received_at = self.clock()
            if line.strip():
                self._line(line)
            self.lines += 1
        if self.broken:
            self.close()

    def _line(self, line: bytes) -> None:
        """Applies one line. An invalid one does not lose the others; the full list is then requested again."""
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
