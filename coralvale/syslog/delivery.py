"""One stream of messages to one receiver, or to the first of several that is well. No I/O, no clock of its own.

`handle(now, event)` takes what happened and returns what is to be done, as the decisions of the gateway do.

  state        event                                 next         what is done
  -----------  ------------------------------------  -----------  ----------------------------------------------
  DOWN         Tick, `retry_at` has come             CONNECTING   Connect to `target`
  CONNECTING   Connected                             UP           batches are written, `window` bytes at most out
  CONNECTING   Lost, or Tick after `patience`        DOWN         `target` is the next one, at once; behind the
                                                                  last a pause, doubled with each round until
                                                                  one has been up for `steady`
  UP           Arrived                               UP           what has arrived is done with, the next goes
  UP           Lost                                  DOWN         what had not arrived goes out again, first
  UP           Tick, nothing arrived for `stall`     DOWN         Close, then as Lost: a receiver that reads
                 while something is out                           nothing is no better than one that is gone
  UP           Tick, `home` after a failover, and    DOWN         Close: the first receiver is tried again; what
                 nothing is out                                   waits goes on waiting

Where a message comes from:

  without a spool   the queue: bounded in memory, dropped by its rule
  with a spool      all that is put is stored, a batch at a time, and read back from there; what was out and had
                    not arrived is read again after a loss (`Rewind`), or by the next process
  the disk fails    what is stored already is read first; then the queue goes straight to the receiver, until the
                    disk is tried again after `disk_pause`. It is tried while nothing of the queue is out, so that
                    the order stays.

A message has *arrived* when the receiver's kernel has it, so far as the transport can tell: what a receiver loses
after that, no form of syslog can know. What was out when a connection was lost may come twice, the same bytes
with the same sequence id.
"""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass
from enum import Enum, auto

from coralvale.syslog.queue import Gap, Queue, Queued

GAP_SIZE = 400  # bytes that a message of a gap takes at most, about


class State(Enum):
    DOWN = auto()
    CONNECTING = auto()
    UP = auto()


class Source(Enum):
    QUEUE = auto()
    GAP = auto()
    SPOOL = auto()


@dataclass(frozen=True)
class Limits:
    """Bytes and seconds."""

    queue: int = 4 * 1024 * 1024
    batch: int = 16 * 1024  # of one step: encoding it takes under half a millisecond
    window: int = 1024 * 1024  # or a quarter of the queue, if that is less
    first_pause: float = 0.25
    most_pause: float = 30.0
    patience: float = 5.0
    stall: float = 30.0
    steady: float = 5.0
    home: float = 60.0
    disk_pause: float = 5.0


# Events


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed, or something was put."""


@dataclass(frozen=True, slots=True)
class Connected:
    connection: int


@dataclass(frozen=True, slots=True)
class Lost:
    """A connection failed, or did not come about."""

    connection: int
    why: str


@dataclass(frozen=True, slots=True)
class Arrived:
    """So many more messages have arrived."""

    connection: int
    count: int


@dataclass(frozen=True, slots=True)
class Stored:
    """What the last `Store` held is in the spool, but for the messages of these sequence ids; or it failed."""

    well: bool
    dropped: frozenset[int] = frozenset()
    why: str = ""


@dataclass(frozen=True, slots=True)
class Moved:
    """The receivers are others from now on; what waits goes to them."""

    names: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Fetched:
    """What the last `Fetch` gave: the next messages of the spool; none: it holds no more."""

    connection: int
    messages: tuple[bytes, ...]


Event = Tick | Connected | Lost | Arrived | Stored | Fetched | Moved

# Actions


@dataclass(frozen=True, slots=True)
class Connect:
    connection: int
    receiver: int


@dataclass(frozen=True, slots=True)
class Close:
    connection: int


@dataclass(frozen=True, slots=True)
class Write:
    connection: int
    messages: tuple[bytes | Gap | Queued, ...]


@dataclass(frozen=True, slots=True)
class Store:
    messages: tuple[Gap | Queued, ...]


@dataclass(frozen=True, slots=True)
class Fetch:
    connection: int
    size: int


@dataclass(frozen=True, slots=True)
class Advance:
    """So many more messages of the spool are done with."""

    count: int


@dataclass(frozen=True, slots=True)
class Rewind:
    """The next `Fetch` begins with the oldest message that is not done with."""


@dataclass(frozen=True, slots=True)
class Say:
    """For the log, once for each change."""

    text: str
    bad: bool = True


Action = Connect | Close | Write | Store | Fetch | Advance | Rewind | Say


class Delivery:
    """See the text above. `names` are the receivers', for the log. Raises ValueError for none."""

    def __init__(self, limits: Limits, names: tuple[str, ...], seed: int, spool: bool = False) -> None:
        if not names:
            raise ValueError("a delivery without a receiver")
        self.limits, self.names, self.random = limits, names, random.Random(seed)
        self.queue = Queue(limits.queue)
        # What is out cannot be dropped: most of the bound is kept for what the rule may choose among.
        self.window = min(limits.window, limits.queue // 4)
        self.state, self.target, self.connection = State.DOWN, 0, 0
        self.retry_at = self.since = self.moved_at = 0.0
        self.rounds = 0  # of all receivers, without one that was steady
        self.out: deque[tuple[Source, int, Gap | None]] = deque()  # written and not arrived; bytes of each
        self.out_bytes = self.queue_out = 0
        self.spool = spool
        self.unread = spool  # whether the spool may hold messages that have not been fetched
        self.fetching = self.storing = (
            0  # the connection of a fetch under way; messages of the queue being stored
        )
        self.storing_gap: Gap | None = None
        self.under_way = False  # a store
        self.disk_at = 0.0  # when the disk is tried again
        self.disk_bad = False
        self.said: dict[int, str] = {}

    def put(self, now: float, message: Queued) -> bool:
        """Takes a message; whether it waits now. `Tick` moves it on."""
        return self.queue.put(message)

    def ready(self) -> bool:
        """Whether a `Tick` would write or store more at once."""
        if self.under_way or not (self.queue.waiting or (self.queue.untold and not self.queue.flying)):
            return False
        if self.spool and not self.queue_out and not self.disk_bad:
            return True
        return self.state is State.UP and self.out_bytes < self.window and not self.unread

    def idle(self) -> bool:
        """Nothing waits, and nothing is out or on its way to the disk."""
        return not (self.queue.waiting or self.queue.untold or self.out or self.under_way or self.unread)

    def kept(self) -> bool:
        """Nothing is in memory alone."""
        return self.spool and not (
            self.queue.waiting or self.queue.untold or self.queue_out or self.under_way
        )

    def handle(self, now: float, event: Event) -> list[Action]:
        actions: list[Action] = []
        if isinstance(event, Connected):
            self._connected(now, event, actions)
        elif isinstance(event, Lost):
            if event.connection == self.connection and self.state is not State.DOWN:
                self._lost(now, event.why, actions)
        elif isinstance(event, Arrived):
            self._arrived(now, event, actions)
        elif isinstance(event, Stored):
            self._stored(now, event, actions)
        elif isinstance(event, Fetched):
            self._fetched(now, event, actions)
        elif isinstance(event, Moved):
            if self.state is not State.DOWN:
                actions.append(Close(self.connection))
                self._down(actions)
            self.names, self.target, self.rounds, self.retry_at = event.names, 0, 0, now
            self.said.clear()
        self._overdue(now, actions)
        self._move(now, actions)
        return actions

    # The connection

    def _connected(self, now: float, event: Connected, actions: list[Action]) -> None:
        if event.connection != self.connection or self.state is not State.CONNECTING:
            return
        self.state, self.since, self.moved_at = State.UP, now, now
        if self.said.pop(self.target, None) is not None:
            told = f", {self.queue.dropped} messages dropped so far" if self.queue.dropped else ""
            actions.append(Say(f"{self.names[self.target]}: well again{told}", bad=False))

    def _lost(self, now: float, why: str, actions: list[Action]) -> None:
        if self.said.get(self.target) != why:  # the same again is not said again
            self.said[self.target] = why
            actions.append(Say(f"{self.names[self.target]}: {why}; messages wait"))
        if self.state is State.UP and now - self.since >= self.limits.steady:
            self.rounds = 0
        if self.target + 1 == len(self.names):
            pause = min(self.limits.most_pause, self.limits.first_pause * 2.0 ** min(self.rounds, 20))
            self.retry_at = now + pause * (0.5 + self.random.random() / 2)  # many gateways lose it at once
            self.rounds += 1
        self.target = (self.target + 1) % len(self.names)
        self._down(actions)

    def _down(self, actions: list[Action]) -> None:
        self.state = State.DOWN
        gaps = [gap for _, _, gap in self.out if gap]
        if any(source is Source.SPOOL for source, _, _ in self.out) or self.fetching:
            actions.append(Rewind())
            self.unread = True
        if self.queue_out or gaps:
            self.queue.back()
            for gap in gaps:
                self.queue.tell_again(gap)
        self.out.clear()
        self.out_bytes = self.queue_out = self.fetching = 0

    def _overdue(self, now: float, actions: list[Action]) -> None:
        limits = self.limits
        if self.state is State.CONNECTING and now - self.since > limits.patience:
            actions.append(Close(self.connection))
            self._lost(now, f"no connection within {limits.patience:g} s", actions)
        elif self.state is State.UP and self.out and now - self.moved_at > limits.stall:
            actions.append(Close(self.connection))
            self._lost(now, f"takes nothing for {limits.stall:g} s", actions)
        elif self.state is State.UP and self.target and not self.out and now - self.since > limits.home:
            actions += [Close(self.connection), Say(f"{self.names[0]}: is tried again", bad=False)]
            self._down(actions)
            self.target, self.rounds, self.retry_at = 0, 0, now
        if self.state is State.DOWN and now >= self.retry_at:
            self.state, self.since = State.CONNECTING, now
            self.connection += 1
            actions.append(Connect(self.connection, self.target))

    # What goes out

    def _arrived(self, now: float, event: Arrived, actions: list[Action]) -> None:
        if event.connection != self.connection or self.state is not State.UP or not event.count:
            return
        self.moved_at, done = now, 0
        for _ in range(min(event.count, len(self.out))):
            source, size, _ = self.out.popleft()
            self.out_bytes -= size
            if source is Source.SPOOL:
                done += 1
            elif source is Source.QUEUE:
                self.queue.sent(1)
                self.queue_out -= 1
        if done:
            actions.append(Advance(done))

    def _move(self, now: float, actions: list[Action]) -> None:
        if self.spool and not self.under_way and not self.queue_out and now >= self.disk_at:
            self._store(actions)
        if self.state is not State.UP or self.out_bytes >= self.window:
            return
        if self.unread:
            if not self.fetching:
                self.fetching = self.connection
                actions.append(Fetch(self.connection, self.limits.batch))
        elif self.spool and (not self.disk_bad or self.under_way or now >= self.disk_at):
            return  # the queue goes by the disk
        else:
            self._write_queue(now, actions)

    def _write_queue(self, now: float, actions: list[Action]) -> None:
        gap, batch = self.queue.read(self.limits.batch)
        if not (gap or batch):
            return
        if not self.out:
            self.moved_at = now
        if gap:
            self._out(Source.GAP, GAP_SIZE, gap)
        for message in batch:
            self._out(Source.QUEUE, message.length)
        self.queue_out += len(batch)
        actions.append(Write(self.connection, (*([gap] if gap else []), *batch)))

    def _out(self, source: Source, size: int, gap: Gap | None = None) -> None:
        self.out.append((source, size, gap))
        self.out_bytes += size

    def _fetched(self, now: float, event: Fetched, actions: list[Action]) -> None:
        if event.connection != self.fetching:
            return  # of a connection that is gone: it is read again
        self.fetching = 0
        if not event.messages:
            self.unread = False
            return
        if not self.out:
            self.moved_at = now
        for data in event.messages:
            self._out(Source.SPOOL, len(data))
        actions.append(Write(self.connection, event.messages))

    def _store(self, actions: list[Action]) -> None:
        gap, batch = self.queue.read(self.limits.batch)
        if gap or batch:
            self.storing, self.storing_gap = len(batch), gap
            self.under_way = True
            actions.append(Store((*([gap] if gap else []), *batch)))

    def _stored(self, now: float, event: Stored, actions: list[Action]) -> None:
        count, gap = self.storing, self.storing_gap
        self.storing, self.storing_gap, self.under_way = 0, None, False
        if event.well:
            self.queue.sent(count, event.dropped)
            self.unread = True
            if self.disk_bad:
                self.disk_bad = False
                actions.append(Say("the spool's disk is well again", bad=False))
            return
        self.queue.back(gap)
        self.disk_at = now + self.limits.disk_pause
        if not self.disk_bad:
            self.disk_bad = True
            actions.append(Say(f"the spool's disk fails: {event.why}; messages stay in memory"))
