"""The control server: each call is answered, whatever becomes of it."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from coralvale.cluster.server.ctl import Control, ControlBackend, ControlServer
from coralvale.net.clock import Clock
from coralvale.standins.cluster import call


class FailingBackend(ControlBackend):
    """A backend whose every operation raises, also of the kinds that are not awaited."""

    def __init__(self) -> None:
        for name in ControlBackend.__annotations__:
            setattr(self, name, self._fail)

    def _fail(self, *arguments: Any) -> Any:
        raise KeyError("gone")


BEAT = b'{"Svc":"s","Address":"10.0.0.1:80"}'


# Guards against a caller that gets no answer at all, and waits for its own time-out, where the call raised.
@pytest.mark.parametrize(
    "target, body",
    [
        ("/rpc?call=instances.heartbeat&of=i-1", BEAT),
        ("/rpc?call=instances.deregister&of=i-1", b""),
        ("/rpc?call=config.replace", b"{}"),
        ("/rpc?call=config.read", b""),
        ("/rpc?call=gateway.status", b""),
        ("/rpc?call=gateway.history", b""),
        ("/rpc?call=cells.read&of=g.k", b"{}"),
        ("/numbers/n", b"{}"),
    ],
)
def test_a_call_that_raises_is_answered_and_so_is_the_next_one(target: str, body: bytes) -> None:
    async def scene() -> None:
        server = ControlServer(("127.0.0.1", 0), Control(FailingBackend()), Clock())
        server.start()
        port = server.port
        try:
            for _ in range(2):
                headers = {"X_Myrtlehatch_Base_Version": "0"}
                answer = await call("127.0.0.1", port, "POST", target, body, **headers)
                assert answer and answer.status == 500
        finally:
            server.close()

    asyncio.run(asyncio.wait_for(scene(), 20.0))
