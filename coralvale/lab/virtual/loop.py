"""An event loop whose time passes only while it has nothing to do.

asyncio's own loop with another clock, another selector and no descriptors: what runs on it cannot tell,
and a minute takes as long as its work. Everything is in order of time and then of planning, so a run is
a function of its seed.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from coralvale.lab.virtual.network import MemorySocket, Network, Server
from coralvale.net.clock import Clock

START = 1_000_000.0  # of the virtual clock, s: no run may depend on where it begins


class Stuck(RuntimeError):
    """Nothing is planned any more, and what is waited for can never come."""


class _Selector:
    """Where a real loop would wait, this one moves its clock."""

    def __init__(self, loop: VirtualLoop) -> None:
        self.loop = loop

    def select(self, timeout: float | None) -> list[Any]:
        if timeout is None:
            raise Stuck("nothing is planned any more")
        if timeout > 0:
            self.loop.now += timeout
        return []


class VirtualLoop(asyncio.BaseEventLoop):
    """Made for one run on one `Network`."""

    def __init__(self, network: Network) -> None:
        super().__init__()
        self.now = START
        self.network = network
        self._selector = _Selector(self)
        self._clock_resolution = 1e-9
        network.loop = self

    def time(self) -> float:
        return self.now

    def _process_events(self, event_list: list[Any]) -> None:
        pass

    def _write_to_self(self) -> None:
        pass

    # What a real loop does with descriptors

    async def create_connection(  # type: ignore[override]
        self,
        protocol_factory: Callable[[], asyncio.BaseProtocol],
        host: str,
        port: int,
        **more: Any,  # noqa: ANN401
    ) -> tuple[asyncio.Transport, asyncio.BaseProtocol]:
        """Connects as TCP does: refused where nobody listens, without an end where a zone is cut off."""
        return await self.network.connect(protocol_factory, (host, port))

    async def create_server(  # type: ignore[override]
        self,
        protocol_factory: Callable[[], asyncio.BaseProtocol],
        host: str,
        port: int,
        **more: Any,  # noqa: ANN401
    ) -> Server:
        """Accepts by itself, as asyncio's does."""
        return self.network.serve(protocol_factory, (host, port))

    async def connect_accepted_socket(  # type: ignore[override]
        self,
        protocol_factory: Callable[[], asyncio.BaseProtocol],
        sock: MemorySocket,
        **more: Any,  # noqa: ANN401
    ) -> tuple[asyncio.Transport, asyncio.BaseProtocol]:
        """For those who accept by themselves."""
        return sock.end.attach(protocol_factory())

    def add_reader(self, fd: Any, callback: Callable[..., Any], *args: Any) -> None:  # type: ignore[override]  # noqa: ANN401
        self.network.listeners[fd].watch(lambda: callback(*args))

    def remove_reader(self, fd: Any) -> bool:  # noqa: ANN401
        listener = self.network.listeners.get(fd)
        return listener is not None and listener.watch(None)


class VirtualClock(Clock):
    """The loop's time as the program's clock. Unix time and monotonic time are one."""

    def __init__(self, loop: VirtualLoop) -> None:
        self.loop, self.offset = loop, 0.0

    def monotonic(self) -> float:
        return self.loop.now


def run(network: Network, main: Callable[[VirtualLoop], Coroutine[Any, Any, Any]]) -> Any:  # noqa: ANN401
    """Runs `main(loop)` to its end on virtual time, and ends what it has left. Raises what it raises."""
    with asyncio.Runner(loop_factory=lambda: VirtualLoop(network)) as runner:
        loop = runner.get_loop()
        assert isinstance(loop, VirtualLoop)
        return runner.run(main(loop))
