"""Real gateways as processes of their own, between the other stand-ins."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
import time
from pathlib import Path
from typing import Any

from coralvale.standins.clients import Client

READY = 15.0  # s that a gateway may take to start
ROOT = Path(__file__).resolve().parent.parent.parent


def free_port() -> int:
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        return int(free.getsockname()[1])


class GatewayProcess:
    """One gateway on a port of its own; `settings` is the object of that name in its configuration.

    `operator` is the text of an operator's file; without one the gateway is started as the platform does it.
    """

    def __init__(
        self,
        folder: Path,
        name: str,
        settings: dict[str, Any],
        discovery: str,
        counter: str,
        known: dict[str, Any],
        seed: int = 1,
        operator: str = "",
    ) -> None:
        self.name, self.port = name, free_port()
        self.log = folder / f"{name}.log"
        self.config = folder / f"{name}.json"
        data = {
            "name": name,
            "listen": f"127.0.0.1:{self.port}",
            "discovery": discovery,
            "counter": counter,
            "seed": f"{seed:x}",
            "limits": {"sockets": 1024},
            "known": known,
            "settings": settings,
        }
        self.config.write_text(json.dumps(data))
        self.environment = {**os.environ, "LB_CONFIG": str(self.config)}
        self.environment.pop("CORALVALE_OPERATOR", None)
        if operator:
            path = folder / f"{name}.toml"
            path.write_text(operator)
            self.environment["CORALVALE_OPERATOR"] = str(path)
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> GatewayProcess:
        """Starts it, and waits until it says that it is up."""
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "coralvale", cwd=ROOT, env=self.environment, stderr=log
            )
        await ready(self.port, self.process)
        return self

    async def end(self, number: int = signal.SIGTERM) -> int:
        """Ends it by a signal; returns its exit code."""
        assert self.process is not None
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)
        return await self.process.wait()

    def said(self) -> list[str]:
        """Its log so far, by lines."""
        return self.log.read_text(errors="replace").splitlines()


async def ready(port: int, process: asyncio.subprocess.Process) -> None:
    """Waits until `GET /up` says 200. Raises RuntimeError if the process ends or takes too long."""
    end = time.monotonic() + READY
    while time.monotonic() < end and process.returncode is None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            client = Client(*await asyncio.open_connection("127.0.0.1", port))
            status = (await client.ask(b"GET /up HTTP/1.1\r\n\r\n")).status
            client.close()
            if status == 200:
                return
        await asyncio.sleep(0.02)
    raise RuntimeError("the gateway did not become ready")
