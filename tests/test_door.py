"""The operators' door: figures, hosts out by hand, and callers that hold it open."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from pathlib import Path

import pytest
from net_helpers import Peer, Registry, World, answer, entry, request, run, settings, soon, until, world

from coralvale import interface as api
from coralvale.net.config import parse_config
from coralvale.net.door import MAX_CONNECTIONS
from coralvale.net.figures import Figures
from coralvale.net.marks import Marks
from coralvale.net.node import Node


async def call(port: int, text: str) -> tuple[int, str]:
    """One call to the door: status and body. The door closes the connection."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(f"{text} HTTP/1.1\r\nHost: door\r\n\r\n".encode())
    data = (await soon(reader.read())).decode()
    writer.close()
    head, _, body = data.partition("\r\n\r\n")
    return int(head.split(" ")[1]), body


async def figures(port: int) -> dict[str, int]:
    status, body = await call(port, "GET /stats")
    assert status == 200
    return {key: int(value) for key, _, value in (line.partition("=") for line in body.split())}


@contextlib.asynccontextmanager
async def operated(folder: Path | None, *known: object) -> AsyncIterator[tuple[Node, Registry, int]]:
    """A real gateway with a door."""
    registry = await Registry().start()
    data = {
        "name": "n1",
        "listen": "127.0.0.1:0",
        "management": "127.0.0.1:0",
        "discovery": f"127.0.0.1:{registry.port}",
        "seed": "1",
        "limits": {"sockets": 256},
        "known": {"index": 41, "snapshot": True, "endpoints": list(known)},
        "settings": settings(family_info={"may_count": False}),
    }
    node = Node(parse_config(data), folder=folder)
    node.start()
    assert node.management_server
    try:
        yield node, registry, node.management_server.port
    finally:
        node.close()
        registry.stop()


async def asked(node: Node, name: str) -> int:
    reader, writer = await asyncio.open_connection("127.0.0.1", node.server.port)
    writer.write(request(name))
    line = await soon(reader.readline())
    writer.close()
    return int(line.split()[1])


def test_what_is_no_call_is_a_no(tmp_path: Path) -> None:
    async def test() -> None:
        async with operated(tmp_path, entry("s-1", 1)) as (node, _, port):
            await until(lambda: node.ready)
            for text, status in (
                ("GET /healthcheck", 200),
                ("GET /stats?x=1", 200),
                ("POST /stats", 405),
                ("GET /hosts/s-1/maint", 405),
                ("POST /hosts/s-1/other", 404),
                ("POST /hosts/nobody/maint", 404),
                ("POST /hosts/%ff/maint", 404),
                ("POST /hosts/nobody/ready", 404),
                ("GET /", 404),
                ("GET /api", 404),
                ("nonsense", 400),
                ("GET /" + "x" * 10_000, 400),
            ):
                assert (await call(port, text))[0] == status, text

    run(test())


def test_the_healthcheck_is_no_until_it_can_serve_and_when_it_ends(tmp_path: Path) -> None:
    async def test() -> None:
        async with operated(tmp_path) as (node, _, port):
            assert (await call(port, "GET /healthcheck"))[0] == 503 or node.ready
            await until(lambda: node.ready)
            assert (await call(port, "GET /healthcheck"))[0] == 200
            node.stop()
            assert (await call(port, "GET /healthcheck"))[0] == 503

    run(test())


def test_figures_tell_what_clients_and_hosts_saw(tmp_path: Path) -> None:
    async def test() -> None:
        host = await Peer().start()
        async with operated(tmp_path, entry("s-1", host.port)) as (node, _, port):
            await until(lambda: node.ready)
            waiting = [asyncio.ensure_future(asked(node, f"r{i}")) for i in range(3)]
            arrived = [await host.next() for _ in range(3)]
            told = await figures(port)
            assert (told["in_flight"], told["attempts"], told["requests.read.served"]) == (3, 3, 0)
            for one in arrived:
                one.reply(answer(200))
            assert [await soon(w) for w in waiting] == [200] * 3
            told = await figures(port)
            assert (told["in_flight"], told["attempts"], told["requests.read.served"]) == (0, 3, 3)
            assert (told["hosts_known"], told["hosts_excluded"]) == (1, 0)
            assert (await call(port, "POST /hosts/s-1/maint"))[0] == 200
            assert await asked(node, "r9") == 503
            told = await figures(port)
            assert (told["requests.read.refused"], told["hosts_excluded"], told["attempts"]) == (1, 1, 3)
        host.stop()

    run(test())


def test_figures_count_each_end_once() -> None:
    counts = Figures(["a", "b"])
    for status in (200, 429, 503, 500, 499):
        counts.taken()
        counts.ended(1, status)
    counts.turned_away(0, 400)
    text = counts.lines(7, 2)
    assert "requests.b.served=1\nrequests.b.refused=2\nrequests.b.failed=2\n" in text
    assert "requests.a.failed=1\n" in text and "in_flight=0\n" in text and "hosts_known=7\n" in text


def test_a_crowd_that_says_nothing_keeps_nobody_out(tmp_path: Path) -> None:
    async def test() -> None:
        async with operated(tmp_path) as (node, _, port):
            await until(lambda: node.ready)
            crowd = [await asyncio.open_connection("127.0.0.1", port) for _ in range(3 * MAX_CONNECTIONS)]
            for _, writer in crowd[::2]:
                writer.write(b"POST /hosts/s-1/maint HTTP/1.1\r\nX-Slow: ")
            for _ in range(5):
                assert (await soon(call(port, "GET /healthcheck")))[0] == 200
            assert node.management_server and len(node.management_server.connections) <= MAX_CONNECTIONS
            for _, writer in crowd:
                writer.close()

    run(test())


def test_a_host_that_is_out_gets_nothing_whatever_the_list_says(tmp_path: Path) -> None:
    async def test() -> None:
        first, second = await Peer(auto=answer(200)).start(), await Peer(auto=answer(200)).start()
        entries = entry("s-1", first.port), entry("s-2", second.port)
        async with operated(tmp_path, *entries) as (node, registry, port):
            await until(lambda: node.ready)
            assert (await call(port, "POST /hosts/s-1/maint"))[0] == 200
            assert (await call(port, "POST /hosts/s-1/maint"))[0] == 200
            while not first.arrived.empty():
                first.arrived.get_nowait()
            registry_list = {"index": 50, "snapshot": True, "endpoints": list(entries)}
            node.discovery.apply(registry_list)
            node.discovery.apply({**registry_list, "endpoints": [entries[1]]})  # gone, and listed again
            node.discovery.apply(registry_list)
            assert [await asked(node, f"r{i}") for i in range(20)] == [200] * 20
            assert first.arrived.empty() and second.arrived.qsize() == 20
            assert (await call(port, "POST /hosts/s-1/ready"))[0] == 200  # one call back for two out
            assert node.gateway.fleet.hosts["s-1"].warmup(node.settings, node.clock.now()) < 1
            for i in range(200):
                assert await asked(node, f"q{i}") == 200
            assert not first.arrived.empty()
        first.stop()
        second.stop()

    run(test())


def test_an_attempt_that_waits_is_not_written_to_a_host_that_was_taken_out(tmp_path: Path) -> None:
    async def test() -> None:
        host = await Peer().start()
        async with operated(tmp_path, entry("s-1", host.port)) as (node, _, port):
            await until(lambda: node.ready)
            chosen = node.discovery.endpoints["s-1"]
            assert node._may_go(chosen)
            await call(port, "POST /hosts/s-1/maint")
            assert not node._may_go(chosen)
        host.stop()

    run(test())


def test_marks_outlast_a_process_and_bind_the_one_beside(tmp_path: Path) -> None:
    names = ["s-1", "a/b", "..", "ñandú", "x" * 79, ""]
    one, other = Marks(tmp_path), Marks(tmp_path)
    for name in names:
        assert one.set(name, True) and one.set(name, True)
    assert other.refresh() == dict.fromkeys(names, True) and other.refresh() == {}
    assert Marks(tmp_path).out == set(names)
    assert other.set("a/b", False) and other.set("a/b", False)
    assert one.refresh() == {"a/b": False}
    assert Marks(tmp_path).out == set(names) - {"a/b"}


def test_a_mark_that_cannot_be_written_still_binds_here_and_is_told(tmp_path: Path) -> None:
    marks = Marks(tmp_path / "f")
    assert not marks.set("x" * 1000, True)
    assert marks.refresh() == {} and marks.out == {"x" * 1000}
    assert not marks.set("x" * 1000, False) and not marks.out
    (tmp_path / "f").rmdir()
    assert not marks.set("s-1", True) and marks.set("s-2", True) is False
    (tmp_path / "f").mkdir()  # the folder can be read, what was said is not in it
    assert marks.refresh() == {} and marks.out == {"s-1", "s-2"}
    assert marks.set("s-1", False) and marks.refresh() == {} and marks.out == {"s-2"}


def test_no_more_hosts_are_out_than_fit(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("coralvale.net.marks.MOST", 2)
    marks = Marks(tmp_path)
    marks.set("a", True)
    marks.set("b", True)
    with pytest.raises(ValueError, match="2 hosts"):
        marks.set("c", True)
    assert marks.set("a", False) and marks.set("c", True)


def test_without_an_address_there_is_no_door() -> None:
    async def test() -> None:
        async with world() as w:
            assert isinstance(w, World) and w.node.management_server is None and w.node.offer is None
            assert not w.script.of(api.Maintained)

    run(test())
