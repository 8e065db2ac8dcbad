"""One request at the limits of the users' pages, alone at a process with the memory of their machines: served."""

from __future__ import annotations

from collections.abc import Callable, Iterator

import pytest
from crowd import Gateway, head, in_chunks, resident_peak, run_scene, send_whole

MACHINE_MB = 200  # of the users' machines
BODY_BYTES = 64 * 1024 * 1024  # BodyBytes of the users' pages
HEAD_BYTES = 16_384  # HeaderBytes of the users' pages
CHUNKED = head(Transfer_Encoding="chunked") + b"\r\n"


def shortest_lines() -> Iterator[bytes]:
    first = head()
    yield first + b"a:\r\n" * ((HEAD_BYTES - len(first) - 2) // 4) + b"\r\n"


def with_length() -> Iterator[bytes]:
    yield head(Content_Length=str(BODY_BYTES)) + b"\r\n"
    for _ in range(BODY_BYTES >> 20):
        yield bytes(1 << 20)


def large_chunks() -> Iterator[bytes]:
    yield CHUNKED
    yield from in_chunks(BODY_BYTES, 1 << 20, 1 << 20)
    yield b"0\r\n\r\n"


def small_chunks() -> Iterator[bytes]:
    yield CHUNKED
    yield from in_chunks(2 << 20, 4)
    yield b"0\r\n\r\n"


def extensions_and_trailers() -> Iterator[bytes]:
    yield CHUNKED
    yield b"5;ab=cdefgh\r\n12345\r\n" * 20_000
    yield b"0;ab\r\n" + b"a: b\r\n" * 1_000 + b"X-Sum: " + b"c" * 8_000 + b"\r\n\r\n"


@pytest.mark.parametrize(
    "pieces", [shortest_lines, with_length, large_chunks, small_chunks, extensions_and_trailers]
)
def test_a_request_at_the_limits_is_served(pieces: Callable[[], Iterator[bytes]]) -> None:
    async def scene(gateway: Gateway) -> None:
        answer = await send_whole(gateway.cluster.ips[0], pieces())
        assert answer and answer.status == 200
        assert resident_peak(gateway.process.pid) <= MACHINE_MB * 1e6

    run_scene(scene, memory_mb=MACHINE_MB, body_bytes=BODY_BYTES)
