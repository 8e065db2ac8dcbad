"""A back-end host that speaks gRPC: answers any unary call with its name, and counts. Needs gRPC."""

from __future__ import annotations

import asyncio
import time
from typing import Any

import grpc


def plain(data: bytes) -> bytes:
    return data


class GrpcHost:
    """Serves `/standins.Echo/Call` on a loopback port; `arrivals` holds (Unix time, class) for every call."""

    def __init__(self, name: str, delay: float = 0.0) -> None:
        self.name, self.delay = name, delay
        self.arrivals: list[tuple[float, str]] = []
        self.port = 0

    async def start(self) -> GrpcHost:
        self.server = grpc.aio.server()
        handler = grpc.unary_unary_rpc_method_handler(self._call, plain, plain)
        self.server.add_generic_rpc_handlers(
            (grpc.method_handlers_generic_handler("standins.Echo", {"Call": handler}),)
        )
        self.port = self.server.add_insecure_port("127.0.0.1:0")
        await self.server.start()
        return self

    async def _call(self, request: bytes, context: Any) -> bytes:  # noqa: ANN401
        told = dict(context.invocation_metadata())
        self.arrivals.append((time.time(), str(told.get("x-priority-class", ""))))
        if self.delay:
            await asyncio.sleep(self.delay)
        return self.name.encode()

    def since(self, moment: float) -> int:
        return sum(at > moment for at, _ in self.arrivals)

    async def stop(self) -> None:
        await self.server.stop(0)
