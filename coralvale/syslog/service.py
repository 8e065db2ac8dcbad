"""Beside a gateway's node: takes its final answers, and carries out what `delivery` decides.

The answer's path pays for one object and one place in a queue. Messages are encoded when they are sent, a few at
a time, so that no answer waits for more than half a millisecond of it; what is dropped was never encoded. Disks
are left to a thread.
"""

from __future__ import annotations

import asyncio
import logging
import os
import queue
import threading
from collections import Counter
from collections.abc import Callable, Sequence
from contextlib import suppress
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Any

from coralvale.disk import Folder, FolderInUseError
from coralvale.interface import Outcome
from coralvale.net.clock import Clock
from coralvale.net.config import Config
from coralvale.net.node import NOT_RUN, AccessRecord
from coralvale.operator.model import Receiver, Syslog
from coralvale.syslog import delivery as rules
from coralvale.syslog import names as tables
from coralvale.syslog.delivery import Delivery, Limits
from coralvale.syslog.messages import Answer, Attempt, Encoder, Origin
from coralvale.syslog.queue import Gap, Queued
from coralvale.syslog.sampling import Sampler
from coralvale.syslog.spool import Spool
from coralvale.syslog.transports import Datagrams, Stream, Told, Way, context, reason

log = logging.getLogger(__name__)
GATHER = 0.1  # s in which answers are gathered for one write: each write costs as much as ten messages
NEXT = 0.001  # s between two writes while there is more: answers go between them
TICK = 0.25  # s between looks at what is overdue
LENGTH, ATTEMPT = 450, 110  # bytes of a message and of each attempt in it, about
OBJECTS, OBJECT = 700, 200  # bytes that they take as objects


OUTCOMES: dict[Outcome | None, str] = {None: "out", **{outcome: outcome.value for outcome in Outcome}}


class SyslogError(ValueError):
    """The table cannot be used; the message is one line."""


class Lazy:
    """An answer that is encoded when it is first sent."""

    __slots__ = ("data", "factor", "final", "length", "sender", "sequence", "size")

    def __init__(self, sender: Sender, final: AccessRecord, sequence: int, factor: int) -> None:
        self.sender, self.final, self.sequence, self.factor = sender, final, sequence, factor
        self.length = LENGTH + ATTEMPT * len(final.attempts)
        self.size = self.length + OBJECTS + OBJECT * len(final.attempts) + len(final.target)
        if final.fields:
            self.size += 2 * sum(map(len, final.fields.values()))  # as they came, and in the message
        self.data = b""

    def encode(self) -> bytes:
        if not self.data:
            self.data = self.sender.encode(self)
        return self.data


def outcome_of(status: int) -> str:
    """The outcome that a status tells a client (the protocol's table)."""
    if status == 200:
        return "served"
    return "refused" if status in (429, 503) else "lost" if status == 499 else "failed"


class Sender:
    """The `AccessLog` of a node. Raises SyslogError, or OSError, if it cannot be set up."""

    def __init__(self, table: Syslog, config: Config, clock: Clock) -> None:
        self.table, self.config, self.clock = table, config, clock
        self.loop = asyncio.get_running_loop()
        settings = config.settings
        self.classes = [cls.name for cls in settings.classes]
        origin = Origin(
            table.hostname or config.name, "coralvale", str(os.getpid()), table.enterprise, table.facility,
            table.synced,
        )  # fmt: skip
        self.encoder = Encoder(origin, table.message_bytes)
        try:
            self.names = tables.read(table.names)
        except tables.NamesError as error:
            raise SyslogError(f"syslog.names: {error}") from None
        self.sampler = Sampler(table.sample_over, table.sample_factor)
        self.sequence = 0
        self.limits = Limits(queue=table.queue_bytes, stall=table.stall_s, home=table.home_s)
        self.channels: list[Channel] = []
        for key, receivers in groups(table):
            self.channels.append(Channel(self, key, receivers))

    # The answer's path

    def record(self, final: AccessRecord) -> None:
        """Takes a final answer. It never waits, and never fails the answer that it tells of."""
        kind, factor = final.outcome or outcome_of(final.status), 1
        if kind == "refused":
            arrival = final.arrival
            about = (arrival.customer, arrival.cls, final.reason) if arrival else final.reason
            if not (factor := self.sampler.stands_for(final.time, about)):
                return
        self.sequence += 1
        message = Queued(self.sequence, kind, Lazy(self, final, self.sequence, factor))
        for channel in self.channels:
            channel.put(final.time, message)

    def encode(self, lazy: Lazy) -> bytes:
        final, names, zones = lazy.final, self.names, self.config.zones
        arrival, fields = final.arrival, final.fields
        programme = ""
        if names.programmes:
            target = final.target.partition(b"?")[0].decode("utf-8", "surrogateescape")
            programme = names.programmes.get(target, "")
        if arrival:
            station, request = f"{arrival.customer:016x}", arrival.id
            plan, cls = arrival.plan_name, self.classes[arrival.cls]
            units, spread = arrival.units, arrival.entry_gateways
        else:  # it was turned away: what it said, as far as it said anything
            plan, cls, request, cookie = (
                fields.get(name, b"").decode("utf-8", "surrogateescape")
                for name in (b"plan", b"x-priority-class", b"x-request-id", b"cookie")
            )
            station = cookie.partition("client=")[2].partition(";")[0].strip()
            units, spread = 0.0, 0
        attempts = tuple(
            Attempt(
                server,
                zones[zone] if 0 <= zone < len(zones) else "",
                OUTCOMES[outcome],
                delay,
                outcome not in NOT_RUN,
            )
            for server, zone, outcome, delay in final.attempts
        )
        answer = Answer(
            final.time, lazy.sequence, names.stations.get(station, ""), station, plan, cls, request,
            final.outcome or outcome_of(final.status), final.status, final.reason, final.duration,
            final.time_left, units, spread, attempts, programme, lazy.factor,
        )  # fmt: skip
        return self.encoder.encode(answer)

    def gap(self, gap: Gap, dropped: int) -> bytes:
        return self.encoder.gap(self.clock.now(), gap.counts, gap.first, gap.last, dropped)

    # Its life

    def reload(self, table: Syslog | None) -> None:
        """SIGHUP: names and receivers as the file has them now; a bad table of names changes nothing.

        Bounds, spool, mode and sampling hold from start to end. Raises SyslogError.
        """
        if table is None or (table.mode, table.spool) != (self.table.mode, self.table.spool):
            raise SyslogError("syslog: mode and spool are taken at a start only")
        wanted = dict(groups(table))
        if set(wanted) != {channel.key for channel in self.channels}:
            raise SyslogError('syslog.receivers: with mode = "all" names are taken at a start only')
        try:
            names = tables.read(table.names)
        except tables.NamesError as error:
            raise SyslogError(f"syslog.names: {error}") from None
        made = {key: ways(receivers) for key, receivers in wanted.items()}
        self.names = names
        for channel in self.channels:
            channel.move(wanted[channel.key], made[channel.key])

    async def finish(self) -> None:
        """SIGTERM: what waits goes to the disk, or to its receiver, for `flush_s` at most."""
        end = self.loop.time() + self.table.flush_s
        while self.loop.time() < end and not all(channel.flushed() for channel in self.channels):
            for channel in self.channels:
                channel.tick()
            await asyncio.sleep(NEXT)
        for channel in self.channels:
            left = channel.delivery.queue.accounts()[1]
            if left:
                log.warning("syslog: %s: %d messages were not sent in time", channel.key, left)
            channel.close()


def groups(table: Syslog) -> list[tuple[str, tuple[Receiver, ...]]]:
    """Receivers by the stream of messages that they get: one each, or one for all in failover."""
    if table.mode == "all":
        return [(receiver.name, (receiver,)) for receiver in table.receivers]
    return [("failover" if len(table.receivers) > 1 else table.receivers[0].name, table.receivers)]


Maker = Callable[[Told], Way]


def ways(receivers: Sequence[Receiver]) -> list[Maker]:
    """How each receiver is connected to. Raises SyslogError for files that cannot be used."""
    made: list[Maker] = []
    for receiver in receivers:
        if receiver.transport == "local":
            made.append(partial(Datagrams, receiver.target))
            continue
        host, _, port = receiver.target.rpartition(":")
        address = host.strip("[]"), int(port)
        if receiver.transport == "udp":
            made.append(partial(Datagrams, address))
        elif receiver.transport == "tcp":
            made.append(partial(Stream, address))
        else:
            try:
                trust = context(receiver.ca, receiver.certificate, receiver.key)
            except OSError as error:
                raise SyslogError(f"syslog: {receiver.name}: its PEM files: {reason(error)}") from None
            made.append(partial(Stream, address, context=trust, name=receiver.server_name))
    return made


@dataclass
class Line:
    """One connection of a channel, as a transport sees it."""

    channel: Channel
    number: int
    way: Way | None = None

    def connected(self) -> None:
        self.channel.feed(rules.Connected(self.number))

    def arrived(self, count: int) -> None:
        self.channel.feed(rules.Arrived(self.number, count))

    def lost(self, why: str) -> None:
        self.channel.feed(rules.Lost(self.number, why))


class Channel:
    """One delivery with its connection, its timer and its disk."""

    def __init__(self, sender: Sender, key: str, receivers: Sequence[Receiver]) -> None:
        self.sender, self.key, self.loop, self.clock = sender, key, sender.loop, sender.clock
        self.ways = ways(receivers)
        table = sender.table
        self.disk = Disk(Path(table.spool, key), table.spool_bytes, self) if table.spool else None
        names = tuple(receiver.name for receiver in receivers)
        self.delivery = Delivery(sender.limits, names, sender.config.seed, self.disk is not None)
        self.line: Line | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        self.timer = self.loop.call_later(0, self.tick)
        self.due = self.loop.time()
        self.closed = False
        self.carry: dict[type, Callable[[Any], None]] = {
            rules.Connect: self._connect,
            rules.Close: self._close,
            rules.Write: self._write,
            rules.Store: self._store,
            rules.Fetch: lambda a: self._disk("fetch", a.connection, a.size),
            rules.Advance: lambda a: self._disk("advance", a.count),
            rules.Rewind: lambda a: self._disk("rewind"),
            rules.Say: lambda a: log.log(
                logging.WARNING if a.bad else logging.INFO, "syslog: %s", a.text
            ),
        }  # fmt: skip

    def put(self, now: float, message: Queued) -> None:
        self.delivery.put(now, message)
        if self.due > self.loop.time() + GATHER:
            self._wake(GATHER)

    def tick(self) -> None:
        self.feed(rules.Tick())

    def _wake(self, delay: float) -> None:
        self.timer.cancel()
        if not self.closed:
            self.due = self.loop.time() + delay
            self.timer = self.loop.call_later(delay, self.tick)

    def feed(self, event: rules.Event) -> None:
        if self.closed:
            return
        for action in self.delivery.handle(self.clock.now(), event):
            try:
                self.carry[type(action)](action)
            except Exception:  # whatever fails, answers go on
                log.exception("syslog: cannot carry out %s", type(action).__name__)
        self._wake(NEXT if self.delivery.ready() else TICK)

    def move(self, receivers: Sequence[Receiver], made: list[Maker]) -> None:
        self.ways = made
        self.feed(rules.Moved(tuple(receiver.name for receiver in receivers)))

    def flushed(self) -> bool:
        return self.delivery.kept() or self.delivery.idle()

    def close(self) -> None:
        self.closed = True
        self.timer.cancel()
        if self.line and self.line.way:
            self.line.way.close()
        for task in self.tasks:
            task.cancel()
        if self.disk:
            self.disk.close()

    # Actions

    def _connect(self, action: rules.Connect) -> None:
        line = Line(self, action.connection)
        line.way = self.ways[action.receiver](line)
        self.line = line
        task = self.loop.create_task(self._open(line, line.way))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _open(self, line: Line, way: Way) -> None:
        try:
            await way.open()
        except OSError as error:
            way.close()
            line.lost(reason(error))
        except Exception as error:  # a name that cannot be encoded, say
            way.close()
            line.lost(reason(error))

    def _close(self, action: rules.Close) -> None:
        if self.line and self.line.number == action.connection and self.line.way:
            self.line.way.close()

    def _encoded(self, messages: Sequence[bytes | Gap | Queued]) -> list[bytes]:
        return [self._one(message) for message in messages]

    def _one(self, message: bytes | Gap | Queued) -> bytes:
        if isinstance(message, Gap):
            return self.sender.gap(message, self.delivery.queue.dropped)
        data = message.data if isinstance(message, Queued) else message
        return data if isinstance(data, bytes) else data.encode()

    def _write(self, action: rules.Write) -> None:
        if self.line and self.line.number == action.connection and self.line.way:
            self.line.way.write(self._encoded(action.messages))

    def _store(self, action: rules.Store) -> None:
        rows = []
        for message in action.messages:
            rank, sequence = (2, 0) if isinstance(message, Gap) else (message.rank, message.sequence)
            rows.append((rank, sequence, self._one(message)))
        self._disk("append", rows)

    def _disk(self, *call: Any) -> None:  # noqa: ANN401
        if self.disk:
            self.disk.calls.put(call)


class Disk:
    """The spool in a thread of its own: calls go in by a queue, and answers come back as events.

    At most one `append` and one `fetch` are in the queue at a time; `delivery` sees to that.
    """

    def __init__(self, folder: Path, most: int, channel: Channel) -> None:
        self.channel = channel
        try:
            self.folder = Folder(str(folder))
        except FolderInUseError:  # while one process takes over from another, both have one
            try:
                self.folder = Folder(f"{folder}.1")
            except FolderInUseError:
                raise SyslogError(f"syslog.spool: two other processes have {folder}") from None
        try:
            self.spool = Spool(self.folder, most)
        except BaseException:
            self.folder.close()
            raise
        self.calls: queue.SimpleQueue[tuple[Any, ...]] = queue.SimpleQueue()
        self.thread = threading.Thread(target=self._run, name=f"syslog {channel.key}", daemon=True)
        self.thread.start()

    def _run(self) -> None:
        while True:
            name, *arguments = self.calls.get()
            if name == "close":
                return
            event = getattr(self, f"_{name}")(*arguments)
            if event is not None:
                with suppress(RuntimeError):  # the loop has ended
                    self.channel.loop.call_soon_threadsafe(self.channel.feed, event)

    def _append(self, rows: list[tuple[int, int, bytes]]) -> rules.Event:
        try:
            return rules.Stored(True, self.spool.append(rows))
        except OSError as error:
            return rules.Stored(False, why=error.strerror or str(error))

    def _fetch(self, connection: int, size: int) -> rules.Event:
        damaged = self.spool.damaged
        try:
            messages = self.spool.fetch(size)
            if self.spool.damaged > damaged:
                log.warning(
                    "syslog: %d damaged places of the spool passed over", self.spool.damaged - damaged
                )
            return rules.Fetched(connection, messages)
        except OSError as error:
            log.error("syslog: the spool cannot be read: %s", error.strerror)
            return rules.Fetched(connection, ())

    def _advance(self, count: int) -> None:
        try:
            self.spool.advance(count)
        except OSError as error:  # it is done with all the same; after a kill it would be sent again
            log.error("syslog: the spool cannot be written: %s", error.strerror)

    def _rewind(self) -> None:
        self.spool.rewind()

    def close(self) -> None:
        """Ends the thread, which gets a second for what it was given."""
        self.calls.put(("close",))
        self.thread.join(1.0)
        with suppress(OSError):
            self.spool.close()
        self.folder.close()


def accounts(sender: Sender) -> Counter[str]:
    """What became of the answers so far, over all channels: gone, waiting, dropped, and told of none yet."""
    total = Counter[str]()
    for channel in sender.channels:
        gone, waiting, dropped = channel.delivery.queue.accounts()
        total += Counter(gone=gone, waiting=waiting, dropped=dropped)
    total["pending"] = sender.sampler.pending()
    return total


__all__ = ["Sender", "SyslogError", "accounts"]
