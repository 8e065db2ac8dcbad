"""A network in memory that behaves as TCP does where programs can tell: order, windows, halves, resets,
silence.

Chance (how a write is cut into pieces, how long each takes) comes from one named stream. Faults are
methods: `cut`, `mend`, `reset`, `stall`. What is written goes into a window of bounded size, travels,
and waits at the other end until it is read; a reader that pauses fills the window, then the writer's
buffer, which tells its protocol to pause.
"""

from __future__ import annotations

import asyncio
import itertools
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from coralvale.lab.streams import Lots
from coralvale.net.config import Address
from coralvale.net.sockets import Sockets

if TYPE_CHECKING:
    from coralvale.lab.virtual.loop import VirtualLoop

WINDOW = 64 * 1024  # bytes on their way and unread at the other end, at most
LEAST = 4096  # bytes of room in the window that are worth a segment (RFC 9293, 3.8.6.2.1)
LOW = 16 * 1024  # bytes in a writer's buffer at which it may go on
FIRST_PORT = 20_000
AGAIN = 0.2  # s after which what was lost to a cut is sent again


@dataclass(frozen=True)
class Weather:
    """How the network behaves for all that is not under a fault."""

    delay: float = 0.001  # s one way
    jitter: float = 0.5  # of the delay, more at most
    pieces: float = 0.1  # share of writes that arrive in several pieces


class MemorySocket:
    """What `get_extra_info("socket")` and `accept` give: enough of a socket for those who look at it."""

    def __init__(self, end: End) -> None:
        self.end = end

    def fileno(self) -> int:
        return -1 if self.end.over else self.end.number

    def getsockname(self) -> Address:
        return self.end.local

    def setblocking(self, flag: bool) -> None:
        pass

    def setsockopt(self, *told: Any) -> None:  # noqa: ANN401
        pass

    def getsockopt(self, *asked: Any) -> int:  # noqa: ANN401
        """No error is ever pending: this network tells a reset apart from an end by itself."""
        return 0

    def close(self) -> None:
        self.end.abort()


class End(asyncio.Transport):
    """One end of a connection, and the transport of whoever holds it."""

    def __init__(self, network: Network, local: Address, remote: Address, dialled: Address) -> None:
        super().__init__()
        self.network, self.local, self.remote, self.dialled = network, local, remote, dialled
        self.number = next(network.numbers)
        self.protocol: Any = None
        self.other: End = self
        self.buffer: deque[bytes] = deque()  # written, and not yet in the window
        self.size = 0
        self.in_window = 0  # bytes of ours on their way or unread at the other end
        self.high = WINDOW
        self.arrived: deque[bytes] = deque()  # come, and not yet given to the protocol
        self.last_at = 0.0  # when the last that was sent arrives: nothing overtakes it
        self.under_way: deque[tuple[float, Callable[..., None], tuple[bytes, ...]]] = deque()
        self.reading, self.told_paused = True, False
        self.closing = self.ended = self.finished = self.over = False  # see `close`, `write_eof`, `_lost`
        self.end_came = self.end_told = False
        self.stalled_until = 0.0

    # The transport's words

    def get_extra_info(self, name: str, default: Any = None) -> Any:  # noqa: ANN401
        told = {"socket": MemorySocket(self), "sockname": self.local, "peername": self.remote}
        return told.get(name, default)

    def is_closing(self) -> bool:
        return self.closing or self.over

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        self.protocol = protocol

    def get_protocol(self) -> asyncio.BaseProtocol:
        made: asyncio.BaseProtocol = self.protocol
        return made

    def is_reading(self) -> bool:
        return self.reading and not self.over

    def pause_reading(self) -> None:
        self.reading = False

    def resume_reading(self) -> None:
        if not self.reading:
            self.reading = True
            self.network.loop.call_soon(self._give)

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        self.high = WINDOW if high is None else high

    def get_write_buffer_size(self) -> int:
        return self.size

    def can_write_eof(self) -> bool:
        return True

    def write(self, data: Any) -> None:  # noqa: ANN401
        if self.over or self.closing or self.ended or not data:
            return
        self.buffer.append(bytes(data))
        self.size += len(data)
        self._push()
        if self.size > self.high and not self.told_paused:
            self.told_paused = True
            self.protocol.pause_writing()

    def writelines(self, list_of_data: Iterable[Any]) -> None:
        self.write(b"".join(list_of_data))

    def write_eof(self) -> None:
        """No more is written; what is under way still goes, and reading goes on."""
        if not self.ended:
            self.ended = True
            self._push()

    def close(self) -> None:
        """What is in the buffer still goes, then the end; nothing is read any more."""
        if not self.closing and not self.over:
            self.closing = True
            self.reading = False
            if not self.finished:
                self._push()
                return
            if self.arrived:
                self.network.travel(self, self.other._reset)
            self.network.loop.call_soon(self._lost, None)

    def abort(self) -> None:
        """The other end sees a reset, as soon as that arrives."""
        if not self.over:
            self.network.travel(self, self.other._reset)
            self._lost(None)

    # The way

    def attach(self, protocol: asyncio.BaseProtocol) -> tuple[asyncio.Transport, asyncio.BaseProtocol]:
        self.protocol = protocol
        if self.over:  # it was reset before it was taken
            raise ConnectionAbortedError("reset before it was accepted")
        self.network.loop.call_soon(protocol.connection_made, self)
        self.network.loop.call_soon(self._give)
        return self, protocol

    def _push(self) -> None:
        """Moves what fits from the buffer into the window, and the end behind the last byte."""
        if self.over:
            return
        network = self.network
        while self.buffer:
            room = WINDOW - self.in_window
            if room < min(len(self.buffer[0]), LEAST):
                break
            data = self.buffer.popleft()
            if len(data) > room:
                self.buffer.appendleft(data[room:])
                data = data[:room]
            self.size -= len(data)
            self.in_window += len(data)
            for piece in network.pieces(data):
                network.travel(self, self.other._arrive, piece)
        if self.told_paused and self.size <= min(LOW, self.high):
            self.told_paused = False
            network.loop.call_soon(self.protocol.resume_writing)
        if not self.buffer and (self.ended or self.closing) and not self.finished:
            self.finished = True
            # A kernel whose program closes what it has not read tells the peer by a reset.
            unread = self.closing and self.arrived
            network.travel(self, self.other._reset if unread else self.other._end)
            if self.closing:
                network.loop.call_soon(self._lost, None)

    def _arrive(self, data: bytes) -> None:
        if self.over or self.closing:
            self.network.travel(self, self.other._reset)  # there is nobody to read it
            return
        self.arrived.append(data)
        self._give()

    def _end(self) -> None:
        self.end_came = True
        self._give()

    def _give(self) -> None:
        """Hands what has come to the protocol, as far as it reads."""
        while self.protocol is not None and self.reading and self.arrived and not self.over:
            data = self.arrived.popleft()
            self.other.in_window -= len(data)
            self.other._push()
            self.protocol.data_received(data)
        if self.protocol is None or not self.reading or self.arrived or self.over:
            return
        if self.end_came and not self.end_told:
            self.end_told = True
            if not self.protocol.eof_received():
                self.close()

    def _reset(self) -> None:
        if not self.over:
            self._lost(ConnectionResetError("connection reset by peer"))

    def _lost(self, error: Exception | None) -> None:
        if self.over:
            return
        self.over = True
        self.buffer.clear()
        self.size = 0
        self.network.ends.pop(self.number, None)
        if self.protocol is not None:
            self.network.loop.call_soon(self.protocol.connection_lost, error)

    def unread(self) -> bool:
        """Whether something has come that the protocol has not been told of."""
        return bool(self.arrived) or (self.end_came and not self.end_told) or self.over


class Listener:
    """A bound socket: backlog, and whoever watches it."""

    def __init__(self, network: Network, address: Address) -> None:
        self.network, self.address = network, address
        self.number = next(network.numbers)
        self.waiting: deque[End] = deque()
        self.callback: Callable[[], None] | None = None
        self.open = self.bound = True

    def fileno(self) -> int:
        return self.number if self.bound else -1

    def getsockname(self) -> Address:
        return self.address

    def listen(self, backlog: int) -> None:
        pass

    def setblocking(self, flag: bool) -> None:
        pass

    def accept(self) -> tuple[MemorySocket, Address]:
        if not self.waiting:
            raise BlockingIOError
        end = self.waiting.popleft()
        return MemorySocket(end), end.remote

    def watch(self, callback: Callable[[], None] | None) -> bool:
        before, self.callback = self.callback, callback
        if callback and self.waiting:
            self.network.loop.call_soon(self._tell)
        return before is not None

    def come(self, end: End) -> None:
        self.waiting.append(end)
        self._tell()

    def _tell(self) -> None:
        if self.callback and self.waiting and self.open:
            self.callback()

    def close(self) -> None:
        """Who has not been accepted is reset."""
        self.open = self.bound = False
        self.network.listeners.pop(self.number, None)
        if self.network.bound.get(self.address) is self:
            del self.network.bound[self.address]
        while self.waiting:
            self.waiting.popleft().abort()


class Server(asyncio.AbstractServer):
    """What `create_server` gives."""

    def __init__(self, listener: Listener, loop: asyncio.AbstractEventLoop) -> None:
        self.listener, self.loop = listener, loop

    @property
    def sockets(self) -> tuple[Listener, ...]:
        return (self.listener,) if self.listener.bound else ()

    def get_loop(self) -> asyncio.AbstractEventLoop:
        return self.loop

    def is_serving(self) -> bool:
        return self.listener.bound

    def close(self) -> None:
        self.listener.close()

    async def start_serving(self) -> None:
        pass

    async def serve_forever(self) -> None:
        await self.loop.create_future()

    async def wait_closed(self) -> None:
        pass


class Network(Sockets):
    """All addresses and connections of one run; also the `Sockets` that a node is handed."""

    loop: VirtualLoop

    def __init__(self, seed: int, weather: Weather | None = None) -> None:
        self.lots, self.weather = Lots(seed, "network"), weather or Weather()
        self.numbers = itertools.count(1 << 20)
        self.ports = itertools.count(FIRST_PORT)
        self.bound: dict[Address, Listener] = {}
        self.listeners: dict[int, Listener] = {}
        self.ends: dict[int, End] = {}
        self.cut_off: set[Address] = set()  # addresses that nothing reaches
        self.connects = self.carried = 0  # connections made, bytes that arrived

    # What programs do

    def _bind(self, address: Address) -> Listener:
        host, port = address[0] or "127.0.0.1", address[1] or next(self.ports)
        if (host, port) in self.bound:
            raise OSError(98, "address already in use")
        made = Listener(self, (host, port))
        self.bound[host, port] = self.listeners[made.number] = made
        return made

    def bind(self, address: Address, shared: bool) -> Any:  # noqa: ANN401
        return self._bind(address)

    def waiting(self, listener: Any) -> bool:  # noqa: ANN401
        return bool(listener.waiting)

    def unread(self, transport: Any) -> Callable[[], bool]:  # noqa: ANN401
        end: End = transport
        return end.unread

    def unacknowledged(self, transport: Any) -> int:  # noqa: ANN401
        end: End = transport
        return sum(len(data) for _, _, data_of in end.under_way for data in data_of)

    def was_reset(self, transport: Any) -> bool:  # noqa: ANN401
        end: End = transport
        return end.over

    def closed_by_peer(self, transport: Any) -> bool:  # noqa: ANN401
        end: End = transport
        return end.end_came or end.over

    def serve(self, factory: Callable[[], asyncio.BaseProtocol], address: Address) -> Server:
        listener = self._bind(address)

        def accept() -> None:
            while listener.waiting:
                listener.waiting.popleft().attach(factory())

        listener.watch(accept)
        return Server(listener, self.loop)

    async def connect(
        self, factory: Callable[[], asyncio.BaseProtocol], address: Address
    ) -> tuple[asyncio.Transport, asyncio.BaseProtocol]:
        """Raises ConnectionRefusedError where nobody listens; where that is cut off it waits without an end."""
        await asyncio.sleep(self.delay(address))
        while self.blocked(address):
            await asyncio.sleep(1.0)  # as a SYN is sent again
        listener = self.bound.get(self.resolve(address))
        if listener is None:
            await asyncio.sleep(self.delay(address))
            raise ConnectionRefusedError(111, f"connect to {address} refused")
        local = "127.0.0.1", next(self.ports)
        here, there = End(self, local, address, address), End(self, address, local, address)
        here.other, there.other = there, here
        self.ends[here.number], self.ends[there.number] = here, there
        self.connects += 1
        listener.come(there)
        await asyncio.sleep(self.delay(address))
        if here.over:
            raise ConnectionResetError(104, "reset while connecting")
        here.protocol = factory()
        here.protocol.connection_made(here)
        self.loop.call_soon(here._give)
        return here, here.protocol

    # The way

    def resolve(self, address: Address) -> Address:
        """Where what is dialled really listens."""
        return address

    def blocked(self, address: Address) -> bool:
        """Whether nothing passes between who dialled an address and who listens there."""
        return address in self.cut_off

    def delay(self, address: Address) -> float:
        """s one way between who dialled an address and who listens there."""
        return self.weather.delay * (1 + self.weather.jitter * self.lots.random())

    def pieces(self, data: bytes) -> list[bytes]:
        """A write as it arrives: whole, or cut at random places."""
        if len(data) < 2 or self.lots.random() >= self.weather.pieces:
            return [data]
        cuts = sorted({1 + int(self.lots.random() * (len(data) - 1)) for _ in range(3)})
        return [data[a:b] for a, b in itertools.pairwise([0, *cuts, len(data)])]

    def travel(self, sender: End, arrives: Callable[..., None], *given: bytes) -> None:
        """Plans an arrival behind all that was sent before; nothing arrives while an address is cut off."""
        at = max(self.loop.now + self.delay(sender.dialled), sender.last_at, sender.stalled_until)
        sender.last_at = at
        sender.under_way.append((at, arrives, given))
        if len(sender.under_way) == 1:
            self.loop.call_at(at, self._deliver, sender)

    def _deliver(self, sender: End) -> None:
        """The first that is under way arrives; what is behind it waits for it, also over a cut."""
        if self.blocked(sender.dialled):
            self.loop.call_later(AGAIN, self._deliver, sender)
            return
        _, arrives, given = sender.under_way.popleft()
        if sender.under_way:
            self.loop.call_at(max(self.loop.now, sender.under_way[0][0]), self._deliver, sender)
        self.carried += sum(map(len, given))
        arrives(*given)

    # Faults

    def cut(self, address: Address) -> None:
        """Nothing to or from what listens there arrives, and connects hang, until `mend`."""
        self.cut_off.add(address)

    def mend(self, address: Address) -> None:
        self.cut_off.discard(address)

    def between(self, address: Address) -> list[End]:
        """The accepted ends of all connections to an address."""
        return [end for end in self.ends.values() if end.local == address]

    def reset(self, end: End) -> None:
        """A connection breaks: both ends see a reset."""
        end._reset()
        end.other._reset()

    def stall(self, end: End, seconds: float) -> None:
        """What an end sends arrives that much later, in order."""
        end.stalled_until = max(end.stalled_until, self.loop.now + seconds)
