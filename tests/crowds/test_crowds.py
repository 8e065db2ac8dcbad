"""Crowds of clients at a real process: it lives, stays within its machine, and answers ordinary requests.

Each is played alone, apart from other load (`make test` runs this folder after the other tests).
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from itertools import chain
from string import ascii_lowercase

import pytest
from crowd import Gateway, Kind, head, in_chunks, run_scene

from coralvale.standins.cluster import CTL, READY

SHORTEST_LINES = b"a:\r\n" * 3_950  # with an ordinary head and its end 16 kB
# Names of two letters, of which each comes several times, and of three, each once.
SHORT_LINES = (
    b"".join(
        b"%b:\r\n" % name.encode()
        for name in chain(
            (a + b for a in ascii_lowercase for b in ascii_lowercase),
            (a + b + c for a in "abc" for b in ascii_lowercase for c in ascii_lowercase),
        )
    )[:15_600].rpartition(b"\r\n")[0]
    + b"\r\n"
)
CHUNKED = head(Transfer_Encoding="chunked") + b"\r\n"
TRAILER = 4 * 1024 * 1024  # bytes of a trailer line that does not end


def one_byte_short(lines: bytes) -> Iterator[bytes]:
    yield head(Content_Length="9") + lines + b"\r\n12345678"


def unended_head() -> Iterator[bytes]:
    yield head() + SHORT_LINES


def pipelined() -> Iterator[bytes]:
    for _ in range(15):
        yield head("GET /schedule/read/1") + SHORT_LINES + b"\r\n"


def unended_chunks(size: int, chunk: int) -> Iterator[bytes]:
    yield CHUNKED
    yield from in_chunks(size, chunk)


def unended_trailer(first: bytes = CHUNKED) -> Iterator[bytes]:
    yield first
    yield from in_chunks(512 * 1024, 64 * 1024)
    yield b"0\r\nX-Sum: "
    for _ in range(TRAILER // 65536):
        yield bytes([65]) * 65536


def unended_extension() -> Iterator[bytes]:
    yield CHUNKED + b"5;"
    for _ in range(TRAILER // 65536):
        yield b"e" * 65536


def trailer_lines() -> Iterator[bytes]:
    yield CHUNKED + b"0\r\n"
    for _ in range(TRAILER // 65536):
        yield b"a: b\r\n" * 10_922


def many_pipelined() -> Iterator[bytes]:
    yield b"".join(head("GET /schedule/read/1") + b"\r\n" for _ in range(1_200))


def unread_answers() -> Iterator[bytes]:
    for _ in range(200):
        yield head("GET /schedule/read/1") + b"\r\n"


CONTROL = (
    b"POST /rpc?call=config.replace HTTP/1.1\r\nHost: a\r\nX-Myrtlehatch-Base-Version: 1\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)


def large_to(port_head: bytes) -> Iterator[bytes]:
    yield port_head
    yield from in_chunks(8 << 20, 1 << 20, 1 << 20)


KINDS = [
    Kind("short lines, body one byte short", lambda: one_byte_short(SHORT_LINES), 150),
    Kind("shortest lines, body one byte short", lambda: one_byte_short(SHORTEST_LINES), 150),
    Kind("short lines, head not ended", unended_head, 150),
    Kind("chunks of 2 bytes, 60 kB, not ended", lambda: unended_chunks(60_000, 2), 150),
    Kind("chunks of 4 bytes, 1 MB less 4, not ended", lambda: unended_chunks((1 << 20) - 4, 4), 40),
    Kind("chunks of 64 kB, 960 kB, not ended", lambda: unended_chunks(960 * 1024, 64 * 1024), 150),
    Kind("one chunk of 63 kB, not ended", lambda: unended_chunks(63_000, 63_000), 150),
    Kind("a trailer line that does not end", unended_trailer, 40),
    Kind("a chunk extension that does not end", unended_extension, 40),
    Kind("trailer lines that do not end", trailer_lines, 40),
    Kind("a trailer line that does not end, to Ctl", lambda: unended_trailer(CONTROL), 40, CTL),
    Kind("8 MB in chunks of 1 MB, to Ctl", lambda: large_to(CONTROL), 40, CTL),
    Kind("8 MB in chunks of 1 MB, to Readyz", lambda: large_to(CONTROL), 40, READY),
]


@pytest.mark.parametrize("kind", KINDS, ids=lambda kind: kind.name)
def test_a_crowd_leaves_the_process_within_its_machine(kind: Kind) -> None:
    async def scene(gateway: Gateway) -> None:
        for _ in range(2):
            await gateway.play(kind)
        await gateway.check()

    run_scene(scene)


@pytest.mark.parametrize(
    "kind",
    [Kind("15 GETs of short lines", pipelined, 40), Kind("1200 GETs", many_pipelined, 40)],
    ids=lambda kind: kind.name,
)
def test_pipelined_requests_at_slow_hosts(kind: Kind) -> None:
    async def scene(gateway: Gateway) -> None:
        for host in gateway.cluster.hosts:
            host.work = 5.0
        await gateway.play(kind)
        for host in gateway.cluster.hosts:
            host.work = 0.02
        await gateway.check()

    run_scene(scene)


def test_short_answers_that_are_not_read() -> None:
    kind = Kind("200 GETs in a row for answers of 60 kB", unread_answers, 40, reads=False)

    async def scene(gateway: Gateway) -> None:
        for host in gateway.cluster.hosts:
            host.work, host.padding = 0.0, bytes(60_000)
        await gateway.play(kind)
        await gateway.check()

    run_scene(scene)


def test_crowds_of_all_kinds_one_after_another() -> None:
    async def scene(gateway: Gateway) -> None:
        for kind in KINDS:
            await gateway.play(kind)
        await gateway.check()

    run_scene(scene)


def test_crowds_of_several_kinds_at_once() -> None:
    """Of each kind a seventh, so that the bound on connections lets all in."""

    def share(kind: Kind) -> Kind:
        return Kind(kind.name, kind.pieces, max(1, kind.clients // 7), kind.port)

    async def scene(gateway: Gateway) -> None:
        await asyncio.gather(*(gateway.play(share(kind)) for kind in KINDS))
        await gateway.check()

    run_scene(scene)
