"""Hosts whose answers keep to no limits, at a real process: it lives, stays within its machine, and goes on."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Iterator
from dataclasses import dataclass

import pytest
from crowd import Gateway, Kind, head, in_chunks, run_scene

from coralvale.standins.cluster import StandIn
from coralvale.standins.wire import read_message

REQUESTS = 100  # in hand at once, each on a connection of its own


def short_lines(id_: bytes) -> Iterator[bytes]:
    yield b"HTTP/1.1 200 OK\r\nX-Myrtlehatch-Request-Id: " + id_ + b"\r\n"
    yield b"ab:\r\n" * 12_000


def tiny_chunks(id_: bytes) -> Iterator[bytes]:
    yield chunked(id_)
    yield from in_chunks(60_000, 2)


def unended_trailer(id_: bytes) -> Iterator[bytes]:
    yield chunked(id_) + b"0\r\nX-Sum: "
    for _ in range(64):
        yield b"A" * 65536


def unended_extension(id_: bytes) -> Iterator[bytes]:
    yield chunked(id_) + b"5;"
    for _ in range(64):
        yield b"e" * 65536


def chunked(id_: bytes) -> bytes:
    return (
        b"HTTP/1.1 200 OK\r\nX-Myrtlehatch-Request-Id: " + id_ + b"\r\nX-Myrtlehatch-Seal: a\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n"
    )


@dataclass
class Hostile(StandIn):
    """A host that answers each request with `pieces` and nothing behind them, and is sound without."""

    pieces = None

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.pieces is None:
            await super()._serve(reader, writer)
            return
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            request = await read_message(reader)
            for piece in self.pieces(request.headers[b"x-myrtlehatch-request-id"]):
                writer.write(piece)
                await writer.drain()
            await reader.read()
        writer.close()


def request() -> Iterator[bytes]:
    yield head("GET /schedule/read/1") + b"\r\n"


@pytest.mark.parametrize("pieces", [short_lines, tiny_chunks, unended_trailer, unended_extension])
def test_answers_that_do_not_end_leave_the_process_within_its_machine(pieces: object) -> None:
    async def scene(gateway: Gateway) -> None:
        for host in gateway.cluster.hosts:
            host.pieces = pieces  # type: ignore[attr-defined]
        await gateway.play(Kind("ordinary requests", request, REQUESTS))
        for host in gateway.cluster.hosts:
            host.pieces = None  # type: ignore[attr-defined]
        await gateway.check()

    run_scene(scene, host=Hostile)
