"""The operators' server: statistics, hosts in maintenance, and callers that keep connections open."""

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
from coralvale.net.figures import RequestStats
from coralvale.net.marks import MaintenanceSet
from coralvale.net.node import Node


async def call(port: int, text: str) -> tuple[int, str]:
    """Sends one request to the operators' server; returns status and body. The server closes the connection."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(f"{text} HTTP/1.1\r\nHost: door\r\n\r\n".encode())
    data = (await soon(reader.read())).decode()
    writer.close()
    head, _, body = data.partition("\r\n\r\n")
    return int(head.split(" ")[1]), body


async def read_stats(port: int) -> dict[str, int]:
    status, body = await call(port, "GET /stats")
    assert status == 200
    return {key: int(value) for key, _, value in (line.partition("=") for line in body.split())}


@contextlib.asynccontextmanager
async def running_gateway(folder: Path | None, *known: object) -> AsyncIterator[tuple[Node, Registry, int]]:
    """A gateway with its own decision module and an operators' server."""
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


async def ask_status(node: Node, name: str) -> int:
    reader, writer = await asyncio.open_connection("127.0.0.1", node.server.port)
    writer.write(request(name))
    line = await soon(reader.readline())
    writer.close()
    return int(line.split()[1])


def test_unknown_or_invalid_requests_are_rejected(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_gateway(tmp_path, entry("s-1", 1)) as (node, _, port):
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


def test_healthcheck_fails_before_ready_and_during_shutdown(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_gateway(tmp_path) as (node, _, port):
            assert (await call(port, "GET /healthcheck"))[0] == 503 or node.ready
            await until(lambda: node.ready)
            assert (await call(port, "GET /healthcheck"))[0] == 200
            node.stop()
            assert (await call(port, "GET /healthcheck"))[0] == 503

    run(test())


def test_statistics_agree_with_what_clients_and_hosts_saw(tmp_path: Path) -> None:
    async def test() -> None:
        host = await Peer().start()
        async with running_gateway(tmp_path, entry("s-1", host.port)) as (node, _, port):
            await until(lambda: node.ready)
            waiting = [asyncio.ensure_future(ask_status(node, f"r{i}")) for i in range(3)]
            arrived = [await host.next() for _ in range(3)]
            told = await read_stats(port)
            assert (told["in_flight"], told["attempts"], told["requests.read.served"]) == (3, 3, 0)
            for one in arrived:
                one.reply(answer(200))
            assert [await soon(w) for w in waiting] == [200] * 3
            told = await read_stats(port)
            assert (told["in_flight"], told["attempts"], told["requests.read.served"]) == (0, 3, 3)
            assert (told["hosts_known"], told["hosts_excluded"]) == (1, 0)
            assert (await call(port, "POST /hosts/s-1/maint"))[0] == 200
            assert await ask_status(node, "r9") == 503
            told = await read_stats(port)
            assert (told["requests.read.refused"], told["hosts_excluded"], told["attempts"]) == (1, 1, 3)
        host.stop()

    run(test())


def test_statistics_count_each_outcome_once() -> None:
    counts = RequestStats(["a", "b"])
    for status in (200, 429, 503, 500, 499):
        counts.started()
        counts.finished(1, status)
    counts.rejected(0, 400)
    text = counts.lines(7, 2)
    assert "requests.b.served=1\nrequests.b.refused=2\nrequests.b.failed=2\n" in text
    assert "requests.a.failed=1\n" in text and "in_flight=0\n" in text and "hosts_known=7\n" in text


def test_idle_connections_do_not_lock_out_a_caller(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_gateway(tmp_path) as (node, _, port):
            await until(lambda: node.ready)
            idle = [await asyncio.open_connection("127.0.0.1", port) for _ in range(3 * MAX_CONNECTIONS)]
            for _, writer in idle[::2]:
                writer.write(b"POST /hosts/s-1/maint HTTP/1.1\r\nX-Slow: ")
            for _ in range(5):
                assert (await soon(call(port, "GET /healthcheck")))[0] == 200
            assert node.management_server and len(node.management_server.connections) <= MAX_CONNECTIONS
            for _, writer in idle:
                writer.close()

    run(test())


def test_host_in_maintenance_gets_no_request_whatever_the_list_says(tmp_path: Path) -> None:
    async def test() -> None:
        first, second = await Peer(auto=answer(200)).start(), await Peer(auto=answer(200)).start()
        entries = entry("s-1", first.port), entry("s-2", second.port)
        async with running_gateway(tmp_path, *entries) as (node, registry, port):
            await until(lambda: node.ready)
            assert (await call(port, "POST /hosts/s-1/maint"))[0] == 200
            assert (await call(port, "POST /hosts/s-1/maint"))[0] == 200
            while not first.arrived.empty():
                first.arrived.get_nowait()
            registry_list = {"index": 50, "snapshot": True, "endpoints": list(entries)}
            node.discovery.apply(registry_list)
            node.discovery.apply({**registry_list, "endpoints": [entries[1]]})  # s-1 is removed, then back
            node.discovery.apply(registry_list)
            assert [await ask_status(node, f"r{i}") for i in range(20)] == [200] * 20
            assert first.arrived.empty() and second.arrived.qsize() == 20
            assert (await call(port, "POST /hosts/s-1/ready"))[0] == 200  # one `ready` reverts two `maint`
            assert node.gateway.fleet.hosts["s-1"].warmup(node.settings, node.clock.now()) < 1
            for i in range(200):
                assert await ask_status(node, f"q{i}") == 200
            assert not first.arrived.empty()
        first.stop()
        second.stop()

    run(test())


def test_queued_attempt_is_not_sent_to_a_host_taken_out(tmp_path: Path) -> None:
    async def test() -> None:
        host = await Peer().start()
        async with running_gateway(tmp_path, entry("s-1", host.port)) as (node, _, port):
            await until(lambda: node.ready)
            chosen = node.discovery.endpoints["s-1"]
            assert node._may_send(chosen)
            await call(port, "POST /hosts/s-1/maint")
            assert not node._may_send(chosen)
        host.stop()

    run(test())


def test_maintenance_marks_persist_and_are_seen_by_another_process(tmp_path: Path) -> None:
    names = ["s-1", "a/b", "..", "ñandú", "x" * 79, ""]
    one, other = MaintenanceSet(tmp_path), MaintenanceSet(tmp_path)
    for name in names:
        assert one.set(name, True) and one.set(name, True)
    assert other.refresh() == dict.fromkeys(names, True) and other.refresh() == {}
    assert MaintenanceSet(tmp_path).hosts == set(names)
    assert other.set("a/b", False) and other.set("a/b", False)
    assert one.refresh() == {"a/b": False}
    assert MaintenanceSet(tmp_path).hosts == set(names) - {"a/b"}


def test_mark_that_cannot_be_written_holds_in_this_process_and_is_reported(tmp_path: Path) -> None:
    marks = MaintenanceSet(tmp_path / "f")
    assert not marks.set("x" * 1000, True)
    assert marks.refresh() == {} and marks.hosts == {"x" * 1000}
    assert not marks.set("x" * 1000, False) and not marks.hosts
    (tmp_path / "f").rmdir()
    assert not marks.set("s-1", True) and marks.set("s-2", True) is False
    (tmp_path / "f").mkdir()  # the folder is readable but lacks the marks
    assert marks.refresh() == {} and marks.hosts == {"s-1", "s-2"}
    assert marks.set("s-1", False) and marks.refresh() == {} and marks.hosts == {"s-2"}


def test_number_of_hosts_in_maintenance_is_bounded(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("coralvale.net.marks.MAX_HOSTS", 2)
    marks = MaintenanceSet(tmp_path)
    marks.set("a", True)
    marks.set("b", True)
    with pytest.raises(ValueError, match="2 hosts"):
        marks.set("c", True)
    assert marks.set("a", False) and marks.set("c", True)


def test_no_operators_server_without_an_address() -> None:
    async def test() -> None:
        async with world() as w:
            assert (
                isinstance(w, World) and w.node.management_server is None and w.node.takeover_server is None
            )
            assert not w.script.of(api.Maintained)

    run(test())
