"""A station's own authoriser: answers `envoy.service.auth.v3.Authorization/Check` by a script. Needs gRPC."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any

import grpc
from envoy.config.core.v3 import base_pb2
from envoy.service.auth.v3 import external_auth_pb2, external_auth_pb2_grpc

Script = Callable[[Any, Any], Awaitable[Any]]


def allowed(headers: dict[str, str] | None = None, remove: tuple[str, ...] = ()) -> Any:  # noqa: ANN401
    """A CheckResponse that allows, with headers for the host."""
    response = external_auth_pb2.CheckResponse()
    response.ok_response.headers.extend(options(headers or {}))
    response.ok_response.headers_to_remove.extend(remove)
    return response


def denied(status: int = 0, body: str = "", headers: dict[str, str] | None = None) -> Any:  # noqa: ANN401
    """A CheckResponse that denies; a status of 0 names none."""
    response = external_auth_pb2.CheckResponse()
    response.status.code = grpc.StatusCode.PERMISSION_DENIED.value[0]
    response.denied_response.body = body
    response.denied_response.headers.extend(options(headers or {}))
    if status:
        response.denied_response.status.code = status
    return response


def options(headers: dict[str, str]) -> list[Any]:
    return [
        base_pb2.HeaderValueOption(header=base_pb2.HeaderValue(key=key, value=value))
        for key, value in headers.items()
    ]


class Authoriser(external_auth_pb2_grpc.AuthorizationServicer):  # type: ignore[misc]
    """Allows all, unless `script(request, context)` says otherwise. `asked` counts checks by request id."""

    def __init__(self) -> None:
        self.asked: Counter[str] = Counter()
        self.out = 0
        self.port = 0
        self.server: Any = None
        self.stopping: asyncio.Task[None] | None = None
        self.ended: list[Any] = []  # kept: gRPC's servers do not like to be collected while their loop runs
        self.script: Script = self.allow

    async def allow(self, request: Any, context: Any) -> Any:  # noqa: ANN401
        return allowed()

    async def stall(self, request: Any, context: Any) -> Any:  # noqa: ANN401
        """Says nothing for as long as anyone may wait."""
        await asyncio.sleep(60.0)

    async def reset(self, request: Any, context: Any) -> Any:  # noqa: ANN401
        await context.abort(grpc.StatusCode.INTERNAL, "reset by script")

    async def start(self, credentials: Any = None) -> Authoriser:  # noqa: ANN401
        """Listens, on the port that it had before if it had one; with `grpc.ServerCredentials` by TLS."""
        self.server = grpc.aio.server(options=(("grpc.so_reuseport", 0),))
        external_auth_pb2_grpc.add_AuthorizationServicer_to_server(self, self.server)
        address = f"127.0.0.1:{self.port}"
        if credentials:
            self.port = self.server.add_secure_port(address, credentials)
        else:
            self.port = self.server.add_insecure_port(address)
        await self.server.start()
        return self

    async def stop(self, grace: float = 0.0) -> None:
        """Ends: GOAWAY, `grace` seconds for what is out, then resets. Stopped twice at once it stops once."""
        if self.server is not None:
            server, self.server = self.server, None
            self.ended.append(server)
            self.stopping = asyncio.ensure_future(server.stop(grace))
        if self.stopping is not None:
            await asyncio.shield(self.stopping)

    async def Check(self, request: Any, context: Any) -> Any:  # noqa: ANN401, N802
        self.asked[request.attributes.request.http.id] += 1
        self.out += 1
        try:
            return await self.script(request, context)
        finally:
            self.out -= 1
