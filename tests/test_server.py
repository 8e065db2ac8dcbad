"""The HTTP server over sockets: valid and invalid requests, limits and timeouts of connections."""

from __future__ import annotations

import errno
import socket

import pytest
from net_helpers import Client, World, entry, request, run, until, world

from coralvale import interface as api


def refuse_all(w: World) -> None:
    w.script.on(api.Request, lambda e: [api.Refuse(e.id, 0.25)])


def test_request_fields_reach_the_decision_module_unchanged() -> None:
    async def test() -> None:
        async with world() as w:
            refuse_all(w)
            before = w.node.clock.now()
            message = await w.ask(request("r7", "write", body=b"x", X_Timeout="0.480"))
            assert message.status == 503 and message.headers[b"retry-after"] == b"0.250"
            (event,) = w.script.of(api.Request)
            assert (event.id, event.cls, event.plan, event.customer) == ("r7", 1, 0, 0xB4D65521)
            assert (event.entry_gateways, event.units) == (2, 1.0)
            assert before < event.expires_at < w.node.clock.now() + 0.480

    run(test())


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"nonsense\r\n\r\n", 400),
        (b"GET /api HTTP/1.1\r\nno colon\r\n\r\n", 400),
        (b"GET /api HTTP/1.1\r\nX: " + b"x" * 70_000, 400),
        (request(X_Request_ID=None), 400),
        (request(X_Request_ID="two words"), 400),
        (request(X_Priority_Class=None), 400),
        (request(X_Priority_Class="other"), 400),
        (request(Plan=None), 400),
        (request(Plan="other"), 400),
        (request(Cookie=None), 400),
        (request(Cookie="client=12"), 400),
        (request(Cookie="client=ffffffffffffffff"), 400),
        (request(X_Timeout=None), 400),
        (request(X_Timeout="0"), 400),
        (request(X_Timeout="-1"), 400),
        (request(X_Timeout="nan"), 400),
        (request(X_Timeout="soon"), 400),
        (request(Quota_Info=None), 400),
        (request(Quota_Info="spread=2,first=1"), 400),
        (request(Quota_Info="units=x,spread=2,first=1"), 400),
        (request(Quota_Info="units=1,spread=0,first=1"), 400),
        (request(Quota_Info="units=1,spread=4,first=1"), 400),
        (request(Quota_Info="units=1,spread=2,first=3"), 400),
        (request().replace(b"GET", b"POST"), 400),
        (request(cls="write").replace(b"POST", b"GET"), 400),
        (request().replace(b"Plan: team\r\n", b"Plan: team\r\nPlan: team\r\n"), 400),
        (request(cls="write", Content_Length=str(32 * 1024 * 1024 + 1)), 413),
        (request(cls="write", Content_Length="99999999999"), 413),
        (request(cls="write", Content_Length="-1"), 400),
        (request(cls="write", Content_Length="+1") + b"x", 400),
        (request(cls="write", Content_Length="1, 1") + b"x", 400),
        (request(cls="write", Content_Length="1\r\nContent-Length: 1") + b"x", 400),
        (request(cls="write", Content_Length="5", Transfer_Encoding="chunked") + b"0\r\n\r\n", 400),
        (request(cls="write", Transfer_Encoding="chunked", Content_Length="5") + b"0\r\n\r\n", 400),
        (request(cls="write", Transfer_Encoding="gzip, chunked") + b"0\r\n\r\n", 400),
        (request(Quota_Info="units=1e9,spread=2,first=1"), 400),
        (request(Quota_Info="units=4.5,spread=2,first=1"), 400),
        (request(Quota_Info="units=0.001,spread=2,first=1"), 400),
        (request(Quota_Info="units=-1,spread=2,first=1"), 400),
        (request(target="/other"), 404),
        (request(target="/api/more"), 404),
        (request(target="/"), 404),
    ],
)
def test_invalid_request_is_rejected_and_not_passed_to_the_module(data: bytes, status: int) -> None:
    async def test() -> None:
        async with world(entry("s-1", 1)) as w:
            assert (await w.ask(data)).status == status
            assert not w.script.of(api.Request)

    run(test())


def test_request_in_pieces_is_read_and_connection_is_reused() -> None:
    async def test() -> None:
        async with world() as w:
            refuse_all(w)
            client = await w.client()
            data = request(cls="write", body=b"12345")
            for i in range(len(data)):
                client.send(data[i : i + 1])
                await client.writer.drain()
            assert (await client.receive()).status == 503
            chunked = request("r2", "write", Transfer_Encoding="chunked") + b"2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"
            assert (await client.ask(chunked)).status == 503
            assert len(w.script.of(api.Request)) == 2 and len(w.node.server.connections) == 1

    run(test())


def test_pipelined_requests_are_answered_in_order() -> None:
    async def test() -> None:
        async with world() as w:
            w.script.on(
                api.Request, lambda e: [api.Refuse("r2", 2.0), api.Refuse("r1", 1.0)][: e.id == "r2" and 2]
            )
            client = await w.client()
            client.send(request("r1") + request("r2") + request("r3", target="/no"))
            assert (await client.receive()).headers[b"retry-after"] == b"1.000"
            assert (await client.receive()).headers[b"retry-after"] == b"2.000"
            assert (await client.receive()).status == 404

    run(test())


def test_many_pipelined_requests_are_all_answered() -> None:
    async def test() -> None:
        async with world() as w:
            refuse_all(w)
            client = await w.client()
            client.send(b"".join(request(f"r{i}") for i in range(60)))
            for _ in range(60):
                assert (await client.receive()).status == 503

    run(test())


def test_connection_close_from_the_client_closes_the_connection() -> None:
    async def test() -> None:
        async with world() as w:
            refuse_all(w)
            client = await w.client()
            message = await client.ask(request(Connection="close"))
            assert message.status == 503 and message.headers[b"connection"] == b"close"
            assert await client.at_end()

    run(test())


def test_client_disconnect_is_reported_to_the_module_once() -> None:
    async def test() -> None:
        async with world() as w:
            client = await w.client()
            client.send(request("r1"))
            await until(lambda: w.script.of(api.Request))
            client.close()
            await until(lambda: w.script.of(api.Abandoned))
            assert w.script.of(api.Abandoned) == [api.Abandoned("r1")]
            assert not w.node.pending
            half = await w.client()
            half.send(request("r2")[:-10])
            half.close()
            await until(lambda: not w.node.server.connections)
            assert len(w.script.of(api.Request)) == len(w.script.of(api.Abandoned)) == 1

    run(test())


def test_request_with_an_id_in_use_is_rejected() -> None:
    async def test() -> None:
        async with world() as w:
            client = await w.client()
            client.send(request("r1"))
            await until(lambda: w.script.of(api.Request))
            assert (await w.ask(request("r1"))).status == 400
            assert len(w.script.of(api.Request)) == 1

    run(test())


def test_requests_above_the_limit_in_flight_are_refused_at_once() -> None:
    async def test() -> None:
        async with world(ceilings={"most_held": 2}) as w:
            client = await w.client()
            client.send(request("r1") + request("r2"))
            await until(lambda: len(w.node.pending) == 2)
            message = await w.ask(request("r3"))
            assert message.status == 503 and message.headers[b"retry-after"] == b"0.500"
            assert len(w.script.of(api.Request)) == 2

    run(test())


def test_idle_connections_are_evicted_at_the_limit_and_further_ones_refused() -> None:
    async def test() -> None:
        async with world() as w:
            refuse_all(w)
            w.node.server.max_connections, w.node.server.max_surplus = 2, 1
            first, second = await w.client(), await w.client()
            await first.ask(request("r1"))
            await second.ask(request("r2"))
            third = await w.client()
            assert (await third.ask(request("r3"))).status == 503
            assert await first.at_end()  # it was idle the longest
            w.script.on(api.Request, lambda e: [])
            second.send(request("r4"))
            third.send(request("r5"))
            await until(lambda: len(w.node.pending) == 2)
            surplus = await w.client()
            message = await surplus.ask(request("r6"))
            assert message.status == 503 and message.headers[b"connection"] == b"close"
            assert await surplus.at_end() and len(w.node.pending) == 2

    run(test())


def test_accepting_resumes_after_a_failed_accept() -> None:
    class Exhausted:
        """A listening socket on a machine that runs out of descriptors once."""

        def __init__(self, inner: socket.socket) -> None:
            self.inner, self.failures = inner, 1

        def accept(self) -> tuple[socket.socket, object]:
            if self.failures:
                self.failures -= 1
                raise OSError(errno.EMFILE, "Too many open files")
            return self.inner.accept()

        def __getattr__(self, name: str) -> object:
            return getattr(self.inner, name)

    async def test() -> None:
        async with world() as w:
            exhausted = Exhausted(w.node.server.socket)
            w.node.server.socket = exhausted  # type: ignore[assignment]
            assert (await w.ask(request(target="/no"))).status == 404
            assert exhausted.failures == 0

    run(test())


def test_idle_connections_and_incomplete_requests_time_out(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        async with world() as w:
            refuse_all(w)
            silent, slow, body, usual = [await w.client() for _ in range(4)]
            slow.send(request()[:-10])
            body.send(request(cls="write", Content_Length="9") + b"x")
            assert (await usual.ask(request("r1"))).status == 503
            for client in (slow, body):  # incomplete requests are answered with 408
                assert (await client.receive()).status == 408
                assert await client.at_end()
            assert await silent.at_end()
            assert (await usual.ask(request("r2"))).status == 503  # kept open between requests
            monkeypatch.setattr("coralvale.net.server.IDLE_TIMEOUT_S", 0.01)
            assert await usual.at_end()
            assert len(w.script.of(api.Request)) == 2

    for name in ("HEAD_TIMEOUT_S", "SWEEP_INTERVAL_S"):
        monkeypatch.setattr(f"coralvale.net.server.{name}", 0.01)
    monkeypatch.setattr("coralvale.net.closing.LINGER_S", 0.01)
    run(test())


def test_idle_timeout_is_shorter_when_few_connections_are_free(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        async with world() as w:
            refuse_all(w)
            w.node.server.max_connections = 3
            first, second = await w.client(), await w.client()
            await first.ask(request("r1"))
            await second.ask(request("r2"))
            assert await first.at_end()

    monkeypatch.setattr("coralvale.net.server.SHORT_IDLE_TIMEOUT_S", 0.01)
    monkeypatch.setattr("coralvale.net.server.SWEEP_INTERVAL_S", 0.01)
    run(test())


def test_connections_without_a_request_are_evicted_for_new_ones(monkeypatch: pytest.MonkeyPatch) -> None:
    """A hundred connections without a request must not lock out a client that sends one."""

    async def test() -> None:
        async with world() as w:
            refuse_all(w)
            w.node.server.max_connections, w.node.server.max_surplus = 4, 0
            silent = [await w.client() for _ in range(100)]
            assert (await w.ask(request())).headers[b"retry-after"] == b"0.250"
            assert len(w.node.server.connections) <= 4
            assert await silent[0].at_end()

    monkeypatch.setattr("coralvale.net.server.NEW_CONNECTION_GRACE_S", 0.0)
    run(test())


def test_invalid_request_closes_its_connection() -> None:
    """An invalid client must not retry at full speed on one connection; requests pipelined behind are ignored."""

    async def test() -> None:
        async with world() as w:
            refuse_all(w)
            bad = await w.client()
            assert (await bad.ask(request("bad", Plan="other") + request("r2"))).status == 400
            assert await bad.at_end()
            assert not w.script.of(api.Request)

    run(test())


def test_body_after_a_rejected_head_is_not_read_and_the_answer_arrives() -> None:
    async def test() -> None:
        async with world() as w:
            bad = await w.client()
            bad.send(request(cls="write", Content_Length="60000000"))
            assert (await bad.receive()).status == 413
            (connection,) = w.node.server.connections
            assert connection.transport is not None and not connection.transport.is_reading()
            bad.send(b"x" * 1_000_000)
            assert await bad.at_end()
            await until(lambda: not w.node.server.connections)  # the connection does not stay open

    run(test())


def test_number_of_lingering_connections_is_bounded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        async with world() as w:
            for _ in range(5):
                assert (await w.ask(b"nonsense\r\n\r\n")).status == 400
            await until(lambda: len(w.node.server.connections) == 2)

    monkeypatch.setattr("coralvale.net.closing.LINGER_S", 60.0)
    monkeypatch.setattr("coralvale.net.server.MAX_LINGERING", 2)
    run(test())


def test_up_answers_200_only_after_the_list_of_hosts_is_known() -> None:
    async def up(client: Client) -> int:
        return (await client.ask(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n")).status

    async def test() -> None:
        async with world() as w:
            client = await w.client()
            w.node.ready = False
            assert await up(client) == 503
            watch = await w.registry.watch()
            watch.reply(b"1e\r\n" + b'{"index":42,"endpoints":[{}]}\n' + b"\r\n")
            watch.reply(b"39\r\n" + b'{"index":43,"snapshot":true,"endpoints":[]}'.ljust(56) + b"\n\r\n")
            await until(lambda: w.node.ready)
            assert await up(client) == 200

    run(test())
