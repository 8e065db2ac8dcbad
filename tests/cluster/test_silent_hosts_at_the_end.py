"""Requests whose hosts stay silent as their gateway's process ends: each gets a whole answer."""

from __future__ import annotations

import asyncio
import contextlib
import re
import signal
import time

from test_processes import run_scene

from coralvale.standins.cluster import EDGE, LocalCluster, configuration
from coralvale.standins.wire import read_message

STOPPED = 3  # the gateway that is stopped; it has no disk
GRACE_S = 6.0  # from SIGTERM to SIGKILL, as the settings say
SIGTERM_AFTER_S = 0.5  # after clients have connected
FAILED = {502, 504}  # statuses of a request that may have run
PATIENCE_MS = 9000  # for which clients wait, longer than a process has after SIGTERM


def request(id_: str, path: str) -> bytes:
    method = "POST" if path == "book" else "GET"
    return (
        f"{method} /schedule/{path}/1 HTTP/1.1\r\nHost: demo.example\r\nX-Myrtlehatch-Request-Id: {id_}\r\n"
        f"X-Myrtlehatch-Time-Left: {PATIENCE_MS}\r\nAuthorization: Bearer demo-key\r\nContent-Length: 0\r\n\r\n"
    ).encode()


async def statuses(cluster: LocalCluster, sent_at: float, *requests: tuple[str, str]) -> list[int]:
    """Statuses of the answers to requests (id, path) of one connection, up to its end.

    `sent_at`: s after the connection is made. Until then it is not idle: a byte of the first one has come.
    """
    reader, writer = await asyncio.open_connection(cluster.ips[STOPPED], EDGE)
    data = b"".join(request(id_, path) for id_, path in requests)
    writer.write(data[:1])
    await asyncio.sleep(sent_at)
    writer.write(data[1:])
    found: list[int] = []
    with contextlib.suppress(OSError, asyncio.IncompleteReadError):
        while len(found) < len(requests):
            found.append((await read_message(reader)).status)
    writer.close()
    return found


async def prepare(cluster: LocalCluster) -> None:
    """Lets routes wait as long as the clients do."""
    whole = configuration(2, ["schedule"], 0.0)
    for route in whole["Routes"].values():
        route["TimeoutMs"] = PATIENCE_MS
    changed = await cluster.send("config.replace", whole, 1)
    assert changed and changed.status == 200
    await cluster.until(lambda: asyncio.sleep(0, "configuration 2 in force" in cluster.log(STOPPED)))
    for host in cluster.hosts:
        host.loses, host.hangs_on = ("lost",), ("hung",)


async def stop_under(
    cluster: LocalCluster, *requests: tuple[float, list[tuple[str, str]]]
) -> list[list[int]]:
    """Stops a gateway SIGTERM_AFTER_S after clients have connected to it; the statuses that each of them got."""
    asked = asyncio.gather(*(statuses(cluster, sent_at, *series) for sent_at, series in requests))
    await asyncio.sleep(SIGTERM_AFTER_S)
    ended = asyncio.create_task(cluster.kill(STOPPED, signal.SIGTERM))
    found = await asked
    assert await ended == 0
    return found


def check_each_is_answered(start_of_id: str, *sent: tuple[float, str]) -> None:
    """Each of several requests (s after the connection, path), one a connection, is answered before the end."""

    async def scene(cluster: LocalCluster) -> None:
        await prepare(cluster)
        requests = [(at, [(f"{start_of_id}-{n}", path)]) for n, (at, path) in enumerate(sent)]
        found = await stop_under(cluster, *requests)
        assert all(len(one) == 1 and set(one) <= FAILED for one in found), found
        assert "E517" not in cluster.log(STOPPED)
        handed = {id_: left for host in cluster.hosts for id_, left in host.time_left.items()}
        for n, (at, _) in enumerate(sent):
            if at > SIGTERM_AFTER_S:  # it is handed no more time than the process had
                assert handed.get(f"{start_of_id}-{n}", 0.0) <= GRACE_S - (at - SIGTERM_AFTER_S)

    run_scene(scene)


# Guards against LOST: a request whose host had run it, and lost its answer, was cut as its process ended.
def test_a_request_whose_answer_its_host_lost_is_answered_before_its_gateway_ends() -> None:
    check_each_is_answered("lost", (0.2, "read"), (2.0, "read"), (0.2, "book"), (2.0, "book"))


# Guards against LOST: a request that hung at a full host was cut as its gateway's process ended.
def test_a_request_that_hangs_at_a_full_host_is_answered_before_its_gateway_ends() -> None:
    check_each_is_answered("hung", (0.2, "read"), (2.0, "read"), (2.0, "book"))


# Guards against LOST: answers of sound hosts behind a request whose host was silent were dropped with it.
def test_answers_behind_a_silent_request_reach_their_client_before_its_gateway_ends() -> None:
    async def scene(cluster: LocalCluster) -> None:
        await prepare(cluster)
        series = [("lost-0", "read"), ("sound-1", "read"), ("sound-2", "book")]
        found = await stop_under(cluster, (0.2, series), (2.0, series))
        assert all(one[:1] and one[0] in FAILED and one[1:] == [200, 200] for one in found), found
        assert "E517" not in cluster.log(STOPPED)

    run_scene(scene)


# Guards against LOST: a process that was held up as SIGTERM came reckoned from its handler, and met SIGKILL.
def test_a_process_that_was_stopped_as_sigterm_came_answers_before_sigkill() -> None:
    async def scene(cluster: LocalCluster) -> None:
        await prepare(cluster)
        asked = asyncio.create_task(statuses(cluster, 0.2, ("lost-0", "read")))
        await asyncio.sleep(0.5)
        process = cluster.processes[STOPPED]
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(0.3)
        begun = time.monotonic()
        ended = asyncio.create_task(cluster.kill(STOPPED, signal.SIGTERM))
        await asyncio.sleep(1.2)
        process.send_signal(signal.SIGCONT)
        found = await asked
        assert len(found) == 1 and set(found) <= FAILED and time.monotonic() - begun < GRACE_S
        assert await ended == 0
        told = re.search(r"may have come ([\d.]+) s before", cluster.log(STOPPED))
        assert told and float(told[1]) >= 1.2

    run_scene(scene)
