"""A plan service as a process, callers of it, and a line to it that can be cut."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

from coralvale.standins.gateways import free_port

ROOT = Path(__file__).resolve().parent.parent.parent


class PlansProcess:
    """`coralvale plans serve`, on the same port and folder after each start."""

    def __init__(self, folder: Path, terms: str) -> None:
        self.port, self.log = free_port(), folder / "plans.log"
        self.operator = folder / "plans.toml"
        self.operator.write_text(
            f'[plan_service]\nlisten = "127.0.0.1:{self.port}"\ndirectory = "{folder}/book"\n{terms}'
        )

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    async def start(self) -> PlansProcess:
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "coralvale", "plans", "serve", "--operator", str(self.operator),
                cwd=ROOT, stderr=log,
            )  # fmt: skip
        async with asyncio.timeout(20):
            while True:
                try:
                    _, writer = await asyncio.open_connection("127.0.0.1", self.port)
                    writer.close()
                    return self
                except OSError:
                    await asyncio.sleep(0.02)

    async def end(self, number: int = signal.SIGTERM) -> int:
        self.process.send_signal(number)
        async with asyncio.timeout(20):
            return await self.process.wait()


async def plans(address: str, *words: str, json_: bool = True) -> tuple[int, Any, str]:
    """`coralvale plans`: exit code, what was printed, standard error; everything else goes on meanwhile."""
    told = [sys.executable, "-m", "coralvale", "plans", *words, "--service", address]
    clean = {k: v for k, v in os.environ.items() if not k.startswith("CORALVALE")}
    said = await asyncio.to_thread(
        subprocess.run, told + ["--json"] * json_, cwd=ROOT, env=clean, capture_output=True, text=True,
        timeout=60, check=False,
    )  # fmt: skip
    out: Any = said.stdout
    if json_:
        out = json.loads(said.stdout) if said.stdout.strip() else None
    return said.returncode, out, said.stderr


class Line:
    """Carries bytes to an address, until it is cut: then nothing comes through and nothing is closed."""

    def __init__(self, port: int) -> None:
        self.to, self.cut = port, False
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> Line:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def stop(self) -> None:
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            there, back = await asyncio.open_connection("127.0.0.1", self.to)
        except OSError:
            writer.transport.abort()
            return
        self.writers.add(back)
        await asyncio.gather(self._carry(reader, back), self._carry(there, writer))
        for one in (writer, back):
            self.writers.discard(one)
            one.transport.abort()

    async def _carry(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while data := await reader.read(65536):
                while self.cut:
                    await asyncio.sleep(0.02)
                writer.write(data)
        except OSError:
            pass
        writer.transport.abort()
