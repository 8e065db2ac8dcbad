"""Membership on sockets: datagrams for probes and gossip, connections for all that is known.

One process has one of these. Both listeners are at one address, UDP and TCP. Times are the loop's own clock,
which never steps back; an incarnation begins at the Unix time in ms, so that a restart begins above the one
before it.
"""

from __future__ import annotations

import asyncio
import contextlib
import ipaddress
import json
import logging
import os
import random
import ssl
import struct
import time
import tomllib
from collections import Counter
from collections.abc import Callable, Coroutine, Sequence
from pathlib import Path
from typing import Any

from coralvale import interface as api
from coralvale.disk import Folder
from coralvale.logic import Gateway
from coralvale.members.aperture import Even
from coralvale.members.model import (
    Address,
    Changed,
    Event,
    Grants,
    Hands,
    Member,
    MembersError,
    Packet,
    Refuted,
    Send,
    Settings,
    Stalled,
    State,
    Taken,
    Wants,
)
from coralvale.members.quotas import Quotas
from coralvale.members.snapshot import load, save
from coralvale.members.swim import Swim
from coralvale.members.wire import DATAGRAM, WHOLE, Sealer
from coralvale.net.config import read_address
from coralvale.operator import Members as Table
from coralvale.operator import OperatorError

log = logging.getLogger(__name__)
LENGTH = struct.Struct("!I")
WAIT = 2.0  # s for a connection, all it says and its answer
IN, OUT = 16, 8  # connections at once, from others and to them; past it they are closed, or not opened
NAME = 64  # characters of a member's name, and of its host: what the wire and `Update.size` count with
DATAGRAMS = 5000.0  # taken in a second, and at once; past it they are dropped unread and counted
BIND_AGAIN = 0.2  # s until a listener that another process still has is tried again
LEAVING = 0.5  # s in which the others are told that this one goes
KEEP = 2.0  # s between looks at whether the snapshot is still right
QUIET = 10.0  # s between two lines of the log on packets that are refused


def read_keys(path: str) -> tuple[dict[int, bytes], int]:
    """Keys by number and the number of the first, from a file of TOML. Raises MembersError, one line."""
    try:
        told = tomllib.loads(Path(path).read_text("utf-8"))
    except OSError as error:
        raise MembersError(f"{path}: {error.strerror}") from None
    except ValueError as error:
        raise MembersError(f"{path}: no TOML: {error}") from None
    keys: dict[int, bytes] = {}
    table = told.get("keys")
    if not isinstance(table, dict) or not table:
        raise MembersError(f"{path}: keys: expected a table of at least one key")
    for number, text in table.items():
        try:
            keys[int(number)] = bytes.fromhex(text)
        except (ValueError, TypeError):
            raise MembersError(f"{path}: keys.{number}: expected a number and a key in hex digits") from None
    first = told.get("first")
    if not isinstance(first, int):
        raise MembersError(f"{path}: first: expected the number of a key")
    return keys, first


class Service:
    """Runs a member, and what goes by its view: quotas (`lend`) and the split of hosts (`spread`)."""

    def __init__(self, table: Table, name: str, chance: random.Random | None = None) -> None:
        self.table = table
        self.chance = chance or random.Random()
        self.counted: Counter[str] = Counter()
        self.tasks: set[asyncio.Task[Any]] = set()
        self.settings = Settings(
            period=table.period_ms / 1000, timeout=table.timeout_ms / 1000, syncs_per_s=table.syncs_per_s,
            forget=table.forget_s, most=table.most,
        )  # fmt: skip
        try:
            keys, first = read_keys(table.keys)
            self.sealer = Sealer(table.cluster, keys, first, os.urandom(8))
        except MembersError as error:
            raise OperatorError(f"members.keys: {error}") from None
        self._trust(table)
        self.files: Folder | None = None
        self.kept: tuple[int, list[Address]] = 0, []
        try:
            if table.directory:
                # Without a lock: at a takeover two processes have this name, and each write is whole.
                Path(table.directory).mkdir(parents=True, exist_ok=True)
                self.files = Folder(table.directory, lock=False)
                self.kept = load(self.files, table.cluster, table.name or name, time.time())
        except (MembersError, OSError) as error:
            raise OperatorError(f"members.directory: {error}") from None
        self.listen = read_address(table.listen)
        shown = read_address(table.advertise) if table.advertise else self.listen
        self.me = Member(table.name or name, shown, table.zone, table.weight)
        for what, text in (("name", self.me.name), ("advertise", shown[0])):
            if not (text.isascii() and 1 <= len(text) <= NAME):
                raise OperatorError(f"members.{what}: {text!r}, expected 1 to {NAME} characters of ASCII")
        try:
            ipaddress.ip_address(shown[0])  # datagrams go to it, and nobody is to wait for a name's
        except ValueError:
            raise OperatorError(f"members.advertise: {shown[0]!r}, expected an address, not a name") from None
        self.swim: Swim | None = None
        self.udp: asyncio.DatagramTransport | None = None
        self.server: asyncio.Server | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.replies: dict[int, asyncio.StreamWriter] = {}
        self.serial = self.going = 0
        self.quotas: Quotas | None = None
        self.near: Even | None = None
        self.clock = time.monotonic
        self.lending: asyncio.TimerHandle | None = None
        self.keeping: asyncio.TimerHandle | None = None
        self.saved: tuple[int, list[Address]] | None = None
        self.room, self.room_at, self.told_at = DATAGRAMS, 0.0, 0.0

    def lend(self, plans: Sequence[api.Plan], clock: Callable[[], float]) -> Quotas:
        """Customers' quotas are kept by owners from now on; what the decisions are to ask. `clock` is theirs."""
        self.quotas, self.clock = Quotas(self.me.name, plans, clock(), self.table.hold_ms / 1000.0), clock
        return self.quotas

    def spread(self, gateway: Gateway) -> None:
        """The hosts that this gateway keeps to are its part of an even split from now on."""

        def there() -> list[Member]:
            return self.swim.alive() if self.swim else []

        self.near = gateway.subset = Even(self.chance, self.me.name, there)

    def _trust(self, table: Table) -> None:
        self.server_tls = self.client_tls = None
        if table.tls is None:
            return
        tls = table.tls
        try:
            self.server_tls = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH, cafile=tls.ca)
            self.server_tls.verify_mode = ssl.CERT_REQUIRED
            self.client_tls = ssl.create_default_context(cafile=tls.ca)
            self.client_tls.check_hostname = False  # members are known by their key and their CA, not by name
            for context in (self.server_tls, self.client_tls):
                context.minimum_version = ssl.TLSVersion.TLSv1_3
                context.load_cert_chain(tls.certificate, tls.key)
        except (OSError, ValueError) as error:
            raise OperatorError(f"members.tls: {error}") from None

    # Its life

    async def run(self) -> None:
        """Listens, joins, and goes on until it is cancelled."""
        loop = asyncio.get_running_loop()
        said = False
        while True:
            try:
                self.udp, _ = await loop.create_datagram_endpoint(
                    lambda: _Datagrams(self), local_addr=self.listen
                )
                where = self.udp.get_extra_info("sockname")[:2]
                self.server = await asyncio.start_server(self._serve, *where, ssl=self.server_tls)
                break
            except OSError as error:
                if self.udp:
                    self.udp.close()
                if not said:
                    log.warning("members: cannot listen on %s:%s yet: %s", *self.listen, error)
                said = True
                await asyncio.sleep(BIND_AGAIN)
        if not self.me.address[1]:
            self.me = Member(self.me.name, (where[0], where[1]), self.me.zone, self.me.weight)
        now = loop.time()
        self.room_at = now
        first = max(int(1000 * time.time()), self.kept[0] + 1)  # a clock may have gone back
        swim = self.swim = Swim(self.me, first, self.settings, self.chance, now)
        log.info("members: %s at %s:%s, incarnation %s", self.me.name, *self.me.address, swim.incarnation)
        if self.quotas:
            self.quotas.placement.join(self.me)
            self._lend()
        self._keep()
        swim.join(now, [*(read_address(seed) for seed in self.table.seeds), *self.kept[1]])
        self._after()
        try:
            await asyncio.Event().wait()
        finally:
            for timer in (self.timer, self.lending, self.keeping):
                if timer:
                    timer.cancel()
            self.server.close()
            self.udp.close()
            for task in list(self.tasks):
                task.cancel()

    async def leave(self) -> None:
        """Tells the others that this one goes."""
        if self.swim:
            if self.quotas:
                told = ", ".join(f"{what} {count}" for what, count in sorted(self.quotas.counted.items()))
                log.info("members: quotas: %s", told or "nothing was asked")
                self.quotas.leave(self.clock())
                self._carry()
            self.swim.leave(asyncio.get_running_loop().time())
            self._after()
            await asyncio.sleep(LEAVING)

    def reload(self, table: Table | None) -> None:
        """SIGHUP: keys, certificates and weight as they are now. Raises OperatorError; then all stays."""
        if table is None:
            raise OperatorError("members: a member stays one until it is started again")
        try:
            keys, first = read_keys(table.keys)
            self.sealer.rekey(keys, first)
        except MembersError as error:
            raise OperatorError(f"members.keys: {error}") from None
        self._trust(table)
        if self.swim and table.weight != self.me.weight:
            self.me = Member(self.me.name, self.me.address, self.me.zone, table.weight)
            self.swim.change(asyncio.get_running_loop().time(), self.me)
            if self.quotas:  # it owns another part, as all others will find
                update = self.swim.known[self.me.name].update
                self.quotas.changed(self.clock(), Changed(update, update.state))
            self._after()

    def _keep(self) -> None:
        """Keeps what a restart is to know, now and then. A disk that fails costs the snapshot alone."""
        assert self.swim is not None
        if self.files is None:
            return
        others = [m.address for m in self.swim.alive() if m.name != self.me.name]
        told = self.swim.incarnation, others
        if told != self.saved:
            some = self.chance.sample(others, len(others))
            self._spawn(self._save(self.files, told, some))
        else:
            self.keeping = asyncio.get_running_loop().call_later(KEEP, self._keep)

    async def _save(self, files: Folder, told: tuple[int, list[Address]], some: list[Address]) -> None:
        """In a thread: a disk that hangs may not hold up requests."""
        try:
            await asyncio.to_thread(save, files, self.table.cluster, self.me.name, told[0], time.time(), some)
            self.saved = told
        except OSError as error:
            self.counted["snapshots not kept"] += 1
            log.warning("members: the snapshot is not kept: %s", error)
        self.keeping = asyncio.get_running_loop().call_later(KEEP, self._keep)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    # Packets

    def datagram(self, data: bytes, source: Address) -> None:
        """One has come."""
        if self.swim is None:
            return
        now = asyncio.get_running_loop().time()
        self.room = min(DATAGRAMS, self.room + DATAGRAMS * (now - self.room_at))
        self.room_at = now
        if self.room < 1:
            self.counted["datagrams past the bound"] += 1
            return
        self.room -= 1
        packet = self.sealer.open(data)
        if packet is None:
            self._refused(now, source)
            return
        self.counted["datagrams in"] += 1
        if isinstance(packet.message, Wants | Grants | Hands):
            # On the path of requests: nothing of the view can have changed by it.
            if self.quotas and packet.sender in self.swim.known:
                self.quotas.receive(self.clock(), packet.sender, packet.message)
                self._carry()
            return
        self.swim.receive(now, source, packet)
        self._after()

    def _refused(self, now: float, source: Address) -> None:
        if now - self.told_at > QUIET:
            self.told_at = now
            reasons = ", ".join(f"{why} {count}" for why, count in sorted(self.sealer.refused.items()))
            log.warning("members: packets refused, the last from %s:%s; so far: %s", *source[:2], reasons)

    def _after(self) -> None:
        """Sends what is to be sent, tells what has changed, and plans the next tick."""
        swim = self.swim
        assert swim is not None
        sends, swim.sends = swim.sends, []
        for send in sends:
            if send.whole:
                self._whole(send)
            else:
                self._datagram_to(send.to, send.packet)
        events, swim.events = swim.events, []
        for event in events:
            _tell(event)
            if self.quotas and isinstance(event, Changed):
                self.quotas.changed(self.clock(), event)
            elif self.quotas and isinstance(event, Stalled):
                self.quotas.stalled(self.clock(), event)
        if self.quotas and self.quotas.sends:
            self._carry()
        loop = asyncio.get_running_loop()
        if self.timer:
            self.timer.cancel()
        self.timer = loop.call_at(swim.due(), self._tick)

    def _tick(self) -> None:
        assert self.swim is not None
        self.swim.tick(asyncio.get_running_loop().time())
        self._after()

    # Units that are lent

    def hold(self, now: float, request: api.Request, go: Callable[[], None]) -> bool:
        """`Quotas.hold`, and what it has to say sent at once. Not before it has joined."""
        if self.quotas is None or self.swim is None or not self.swim.joined:
            return False
        held = self.quotas.hold(now, request, go)
        self._carry()
        return held

    def _lend(self) -> None:
        assert self.quotas is not None
        now = self.clock()
        due = self.quotas.tick(now)
        self._carry()
        self.lending = asyncio.get_running_loop().call_later(max(0.001, due - now), self._lend)

    def _carry(self) -> None:
        """Sends what the quotas have to say."""
        assert self.quotas is not None
        assert self.swim is not None
        sends, self.quotas.sends = self.quotas.sends, []
        for name, message in sends:
            known = self.swim.known.get(name)
            if known is not None:
                self._datagram_to(known.update.member.address, Packet(self.me.name, message))

    def _datagram_to(self, to: Address, packet: Packet) -> None:
        """Sends one. What others say of addresses may be anything, and is no reason to stop."""
        if self.udp is None or self.udp.is_closing():
            return
        try:
            self.udp.sendto(self.sealer.seal(packet, DATAGRAM), to)
            self.counted["datagrams out"] += 1
        except (OSError, ValueError) as error:
            self.counted["datagrams not sent"] += 1
            log.debug("members: to %s:%s: %s", *to, error)

    # All that is known, by connections

    def _whole(self, send: Send) -> None:
        if not send.to[0]:
            writer = self.replies.pop(send.to[1], None)
            if writer is not None and not writer.is_closing():
                writer.write(self._frame(send.packet))
            return
        if self.going >= OUT:
            self.counted["connections not opened"] += 1
            return
        self._spawn(self._exchange(send))

    def _frame(self, packet: Packet) -> bytes:
        data = self.sealer.seal(packet, WHOLE)
        return LENGTH.pack(len(data)) + data

    async def _read(self, reader: asyncio.StreamReader) -> Packet | None:
        (length,) = LENGTH.unpack(await reader.readexactly(LENGTH.size))
        if length > WHOLE:
            self.sealer.refused["size"] += 1
            return None
        return self.sealer.open(await reader.readexactly(length), WHOLE)

    async def _exchange(self, send: Send) -> None:
        self.going += 1
        writer = None
        try:
            with contextlib.suppress(OSError, TimeoutError, ValueError, asyncio.IncompleteReadError):
                async with asyncio.timeout(WAIT):
                    reader, writer = await asyncio.open_connection(*send.to, ssl=self.client_tls)
                    writer.write(self._frame(send.packet))
                    packet = await self._read(reader)
                    if packet is not None and self.swim:
                        self.counted["exchanges"] += 1
                        self.swim.receive(asyncio.get_running_loop().time(), send.to, packet)
                        self._after()
        finally:
            self.going -= 1
            if writer:
                writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        number = 0
        try:
            if len(self.replies) >= IN or self.swim is None:
                self.counted["connections past the bound"] += 1
                return
            self.serial = number = self.serial + 1
            self.replies[number] = writer
            with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
                async with asyncio.timeout(WAIT):
                    packet = await self._read(reader)
                    if packet is None:
                        self._refused(asyncio.get_running_loop().time(), writer.get_extra_info("peername"))
                        return
                    self.swim.receive(asyncio.get_running_loop().time(), ("", number), packet)
                    self._after()
                    await writer.drain()
        finally:
            self.replies.pop(number, None)
            writer.close()

    # For operators

    def page(self) -> str:
        """All that is known, as one JSON object."""
        if self.swim is None:
            return json.dumps({"cluster": self.table.cluster, "me": self.me.name, "members": []}) + "\n"
        swim, now = self.swim, asyncio.get_running_loop().time()
        members = []
        for update in swim.view():
            m, known = update.member, swim.known[update.member.name]
            suspicion = swim.suspects.get(m.name)
            members.append(
                {
                    "name": m.name, "address": f"{m.address[0]}:{m.address[1]}", "zone": m.zone,
                    "weight": m.weight, "wire": m.wire, "state": update.state.name.lower(),
                    "incarnation": update.incarnation,
                    "for_s": round(now - known.since, 1), "by": update.by,
                    "suspected_by": sorted(suspicion.by) if suspicion else [],
                    "dead_in_s": round(suspicion.ends - now, 2) if suspicion else None,
                    "heard_s": round(now - known.heard, 2) if known.heard else None,
                }
            )  # fmt: skip
        told = {
            "cluster": self.table.cluster, "me": self.me.name, "joined": swim.joined, "health": swim.health,
            "there": swim.there, "members": members, "key": self.sealer.first,
            "refused": dict(sorted(self.sealer.refused.items())),
            "counted": dict(sorted((self.counted + swim.counted).items())),
            "quotas": dict(sorted(self.quotas.counted.items())) if self.quotas else None,
            "hosts": sorted(h.info.id for h in self.near.mine) if self.near else None,
            "owns": len(self.quotas.owner.buckets) if self.quotas else 0,
        }  # fmt: skip
        return json.dumps(told) + "\n"


class _Datagrams(asyncio.DatagramProtocol):
    def __init__(self, service: Service) -> None:
        self.service = service

    def datagram_received(self, data: bytes, addr: Any) -> None:  # noqa: ANN401
        self.service.datagram(data, (addr[0], addr[1]))


def _tell(event: Event) -> None:
    if isinstance(event, Changed):
        update, before = event.update, event.before
        if before is update.state:
            return
        by = f" (says {update.by})" if update.by else ""
        level = logging.INFO if update.state in (State.ALIVE, State.LEFT) else logging.WARNING
        log.log(level, "members: %s is %s%s", update.member.name, update.state.name.lower(), by)
    elif isinstance(event, Refuted):
        log.warning("members: %s called this one %s; it is not", event.by or "one", event.said.name.lower())
    elif isinstance(event, Taken):
        log.error("members: another process at %s:%s has this one's name", *event.address)
    elif isinstance(event, Stalled):
        log.warning("members: this process did not run for %.2f s", event.seconds)
