"""The gateway as a process: configuration, signals, exit codes."""

from __future__ import annotations

import asyncio
import json
import os
import resource
import signal
import socket
import sys
import time
from pathlib import Path
from typing import Any

import pytest
from net_helpers import (
    LIMIT,
    Client,
    Peer,
    Registry,
    answer,
    chunk,
    entry,
    line,
    request,
    run,
    settings,
    soon,
)

from coralvale.adapter import read_settings
from coralvale.net.clock import Clock
from coralvale.net.config import ConfigError, flatten, parse_config, read_config

ROOT = Path(__file__).resolve().parent.parent


def config(**more: Any) -> dict[str, Any]:
    data = {
        "name": "n1",
        "listen": "127.0.0.1:1",
        "discovery": "127.0.0.1:2",
        "counter": "127.0.0.1:3",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
        "known": {"index": 41, "snapshot": True, "endpoints": []},
        "settings": settings(),
    }
    return {**data, **more}


async def start_gateway(path: Path, descriptors: int = 1024) -> asyncio.subprocess.Process:
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "coralvale",
        cwd=ROOT,
        env={**os.environ, "LB_CONFIG": str(path)},
        stderr=asyncio.subprocess.PIPE,
        preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, descriptors)),
    )


async def connect_when_ready(port: int) -> Client:
    """Connects to a gateway once it is ready."""
    async with asyncio.timeout(LIMIT):
        while True:
            try:
                client = Client(*await asyncio.open_connection("127.0.0.1", port))
                if (await client.ask(b"GET /up HTTP/1.1\r\n\r\n")).status == 200:
                    return client
                client.close()
            except (ConnectionError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.02)


def free_port() -> int:
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        return int(free.getsockname()[1])


def test_nested_settings_are_flattened_to_the_paths_of_the_messages() -> None:
    objects = [{"x": "y z"}, {"x": ""}]
    pairs = flatten({"a": {"b": 1.5, "on": True}, "list": objects, "words": ["p", "q"], "no": []})
    assert pairs == {
        "a.b": "1.5",
        "a.on": "true",
        "list.count": "2",
        "list.0.x": "y z",
        "list.1.x": "",
        "words": "p,q",
        "no": "",
    }
    assert read_settings(flatten(settings())) == parse_config(config()).settings


@pytest.mark.parametrize(
    ("changes", "named"),
    [
        ({"listen": "nowhere"}, "nowhere"),
        ({"listen": None}, "config.json"),
        ({"seed": "xyz"}, "xyz"),
        ({"settings": {}}, "classes.count"),
        ({"settings": settings(ceilings={"send_cap": "many"})}, "send_cap"),
        ({"settings": settings(ceilings={"conn_idle_s": 0.0})}, "conn_idle"),
        ({"limits": {"sockets": 3}}, "sockets"),
    ],
)
def test_invalid_setting_is_named_in_the_error(tmp_path: Path, changes: dict[str, Any], named: str) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config(**changes)))
    with pytest.raises(ConfigError, match=named):
        read_config(str(path))


def test_clock_agrees_with_unix_time_and_never_steps_back(monkeypatch: pytest.MonkeyPatch) -> None:
    clock = Clock()
    assert abs(clock.now() - time.time()) < 5
    before = clock.now()
    monkeypatch.setattr(time, "time", lambda: 0.0)
    assert clock.now() >= before


@pytest.mark.parametrize("text", ["{", "{}", None])
def test_invalid_configuration_ends_the_program_with_a_one_line_error(
    tmp_path: Path, text: str | None
) -> None:
    async def test() -> None:
        path = tmp_path / "config.json"
        if text is not None:
            path.write_text(text)
        process = await start_gateway(path)
        _, err = await soon(process.communicate())
        assert process.returncode == 2
        assert err.startswith(b"coralvale: ") and err.count(b"\n") == 1

    run(test())


def test_address_in_use_ends_the_program_with_a_one_line_error(tmp_path: Path) -> None:
    async def test() -> None:
        with socket.socket() as taken:
            taken.bind(("127.0.0.1", 0))
            taken.listen()
            path = tmp_path / "config.json"
            path.write_text(json.dumps(config(listen=f"127.0.0.1:{taken.getsockname()[1]}")))
            process = await start_gateway(path)
            _, err = await soon(process.communicate())
            assert process.returncode == 1
            assert err.startswith(b"coralvale: ") and err.count(b"\n") == 1

    run(test())


def test_program_serves_and_ends_on_sigterm(tmp_path: Path) -> None:
    async def test() -> None:
        host, registry = await Peer(answer(body=b"served")).start(), Registry()
        await registry.start()
        port = free_port()
        known = {"index": 1, "snapshot": True, "endpoints": [entry("s-1", host.port)]}
        path = tmp_path / "config.json"
        more = {"listen": f"127.0.0.1:{port}", "discovery": f"127.0.0.1:{registry.port}", "known": known}
        path.write_text(json.dumps(config(**more)))
        process = await start_gateway(path)
        client = await connect_when_ready(port)
        assert (await client.ask(request())).body == b"served"
        threads = [p.read_text() for p in Path(f"/proc/{process.pid}/task").glob("*/comm")]
        assert not [name for name in threads if name.startswith("iou-")]  # kernel threads that poll
        process.send_signal(signal.SIGTERM)
        assert await client.at_end()
        await soon(process.communicate())
        assert process.returncode == 0
        host.stop()
        registry.stop()

    run(test())


@pytest.mark.parametrize("sockets", [64, 1024])
def test_gateway_survives_a_flood_of_connections(tmp_path: Path, sockets: int) -> None:
    """With `sockets` 64 its own limits keep it under RLIMIT_NOFILE; with 1,024 accept() fails, then recovers."""

    async def test() -> None:
        host, registry, port = await Peer(answer(body=b"served")).start(), Registry(), free_port()
        await registry.start()
        more = {
            "listen": f"127.0.0.1:{port}",
            "discovery": f"127.0.0.1:{registry.port}",
            "known": {"index": 1, "snapshot": True, "endpoints": [entry("s-1", host.port)]},
            "limits": {"sockets": sockets},
        }
        path = tmp_path / "config.json"
        path.write_text(json.dumps(config(**more)))
        process = await start_gateway(path, descriptors=64)
        first = await connect_when_ready(port)
        first.send(request("first")[:-2])  # an incomplete request, so that it is not closed as idle
        flood = [Client(*await asyncio.open_connection("127.0.0.1", port)) for _ in range(150)]
        for client in flood:
            client.send(request()[:-2])
        if sockets > 64:
            assert process.stderr is not None
            await soon(process.stderr.readuntil(b"cannot accept"))
        for client in flood:
            client.writer.transport.abort()
        assert (await (await connect_when_ready(port)).ask(request("after"))).body == b"served"
        first.send(b"\r\n")
        assert (await first.receive()).body == b"served"
        process.send_signal(signal.SIGTERM)
        _, err = await soon(process.communicate())
        assert process.returncode == 0 and b"Traceback" not in err
        host.stop()
        registry.stop()

    run(test())


def test_sighup_changes_discovery_and_counter_without_disturbing_requests(tmp_path: Path) -> None:
    """An invalid file changes nothing, a request in flight is answered, the list follows the new agent."""

    async def test() -> None:
        host, other = await Peer().start(), await Peer(answer(body=b"other")).start()
        registry, moved = Registry(), Registry()
        await registry.start()
        await moved.start()
        port = free_port()
        known = {"index": 1, "snapshot": True, "endpoints": [entry("s-1", host.port)]}
        path = tmp_path / "config.json"
        more = {"listen": f"127.0.0.1:{port}", "discovery": f"127.0.0.1:{registry.port}", "known": known}
        path.write_text(json.dumps(config(**more)))
        process = await start_gateway(path)
        assert process.stderr is not None
        client = await connect_when_ready(port)
        client.send(request())
        arrived = await host.next()
        path.write_text("{")
        process.send_signal(signal.SIGHUP)
        await soon(process.stderr.readuntil(b"keeping the old configuration"))
        path.write_text(json.dumps(config(**more)))
        process.send_signal(signal.SIGHUP)  # the file is unchanged
        more |= {"discovery": f"127.0.0.1:{moved.port}", "counter": f"127.0.0.1:{free_port()}"}
        path.write_text(json.dumps(config(**more)))
        process.send_signal(signal.SIGHUP)
        watch = await moved.watch()
        process.send_signal(signal.SIGHUP)
        watch.reply(chunk(line(1, entry("s-2", other.port), snapshot=True)))
        arrived.reply(answer(body=b"served"))
        assert (await client.receive()).body == b"served"
        async with asyncio.timeout(LIMIT):
            while (await client.ask(request(os.urandom(4).hex()))).body != b"other":
                await asyncio.sleep(0.01)
        assert moved.connections == 1
        process.send_signal(signal.SIGTERM)
        process.send_signal(signal.SIGHUP)
        await soon(process.communicate())
        assert process.returncode == 0
        for peer in (host, other, registry, moved):
            peer.stop()

    run(test())
