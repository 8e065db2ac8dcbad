"""Takeover of a running process by a new one: first the listening socket, then the state, then the service.

The old process listens on a Unix socket in a folder that both use. The steps, in order:

    new connects                 old sends VERSION and, with it, its listener (SCM_RIGHTS, unix(7))
    new is ready: "take"         old accepts no more and sends its state, one line of JSON
    new accepts: "taken"         old closes its listener and answers what it has

The listener is one kernel object that stays open, so no connection in its queue is lost; with two listeners
under SO_REUSEPORT the queue of the old one would be reset when it closes (socket(7)). If either side is lost
before "taken", the old process goes on serving as before. A new process that finds no old one, or gets no
reply from it, opens a listener of its own.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import logging
import os
import socket
from collections.abc import Callable
from pathlib import Path
from typing import Any

log = logging.getLogger(__name__)

VERSION = b"coralvale takeover 1\n"
ANSWER_TIMEOUT_S = 1.0  # for the old process's first message: a hung process is not waited for
STATE_TIMEOUT_S = 3.0  # for the state
MAX_STATE_BYTES = 64 * 1024 * 1024
MAX_PATH_BYTES = 100  # of a Unix socket's path: just under the system's limit


class Predecessor:
    """The new process's connection to the old one, and the listener that it was given."""

    def __init__(self, link: socket.socket, listener: socket.socket) -> None:
        self.link, self.listener = link, listener

    @classmethod
    def find(cls, path: Path) -> Predecessor | None:
        """Connects to the running process, if there is one. Each step blocks for ANSWER_TIMEOUT_S at most."""
        link = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        link.settimeout(ANSWER_TIMEOUT_S)
        try:
            link.connect(os.fspath(path))
            message, descriptors, _, _ = socket.recv_fds(link, len(VERSION), 1)
            if message != VERSION or not descriptors:
                raise OSError("the running process uses another version of the takeover protocol")
        except OSError as error:
            link.close()
            if not isinstance(error, FileNotFoundError | ConnectionRefusedError):
                log.warning("cannot take over: %s", error)
            return None
        listener = socket.socket(fileno=descriptors[0])
        listener.setblocking(False)
        link.setblocking(False)
        return cls(link, listener)

    async def receive_state(self) -> dict[str, Any] | None:
        """Asks for the state; None if the old process did not send it in time or it is not valid JSON."""
        loop = asyncio.get_running_loop()
        parts: list[bytes] = []
        try:
            async with asyncio.timeout(STATE_TIMEOUT_S):
                await loop.sock_sendall(self.link, b"take\n")
                size = 0
                while not (parts and parts[-1].endswith(b"\n")):
                    part = await loop.sock_recv(self.link, 1 << 18)
                    size += len(part)
                    if not part or size > MAX_STATE_BYTES:
                        raise ConnectionError("the state is truncated or too large")
                    parts.append(part)
            state = json.loads(b"".join(parts))
        except (OSError, TimeoutError, ValueError) as error:
            log.warning("no state from the process before: %s", error or "timed out")
            return None
        return state if isinstance(state, dict) else None

    async def confirm(self) -> None:
        """Tells the old process that this one serves now, and closes the connection."""
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                await asyncio.get_running_loop().sock_sendall(self.link, b"taken\n")
        self.link.close()


class TakeoverServer:
    """The old process's side: waits for a new process and hands over to it.

    `listener` returns the socket to hand over; `export_state` returns the state and stops accepting;
    `on_end` gets whether the new process has taken over.
    """

    def __init__(
        self,
        path: Path,
        listener: Callable[[], socket.socket],
        export_state: Callable[[], dict[str, Any]],
        on_end: Callable[[bool], None],
    ) -> None:
        """Raises OSError if `path` cannot be listened on."""
        self.path, self.listener, self.export_state, self.on_end = path, listener, export_state, on_end
        if len(os.fspath(path)) > MAX_PATH_BYTES:
            raise OSError(f"{path}: too long for a Unix socket's path")
        self.loop = asyncio.get_running_loop()
        self.tasks: set[asyncio.Task[None]] = set()
        self.handing_over = False
        self.socket = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        self.socket.setblocking(False)
        # Bound under a temporary name and renamed, so that a new process finds either the old or this socket.
        temporary = path.with_name(f"{path.name}.{os.getpid()}")
        with contextlib.suppress(FileNotFoundError):
            temporary.unlink()
        self.socket.bind(os.fspath(temporary))
        self.socket.listen(4)
        temporary.rename(path)
        self.loop.add_reader(self.socket.fileno(), self._accept)

    def _accept(self) -> None:
        try:
            link, _ = self.socket.accept()
        except OSError:
            return
        link.setblocking(False)
        if self.handing_over:
            link.close()
            return
        self.handing_over = True
        task = self.loop.create_task(self._hand_over(link))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _hand_over(self, link: socket.socket) -> None:
        exported = False
        try:
            socket.send_fds(link, [VERSION], [self.listener().fileno()])
            if await self._read_line(link) != b"take\n":
                return
            exported = True
            text = json.dumps(self.export_state(), separators=(",", ":")).encode() + b"\n"
            async with asyncio.timeout(STATE_TIMEOUT_S):
                await self.loop.sock_sendall(link, text)
                if await self._read_line(link) == b"taken\n":
                    exported = False
                    self.close()
                    self.on_end(True)
        except (OSError, TimeoutError) as error:
            log.warning("handing over: %s", error or "timed out")
        finally:
            link.close()
            self.handing_over = False
            if exported:
                self.on_end(False)

    async def _read_line(self, link: socket.socket) -> bytes:
        """Reads one short line; less if the other side closes the connection."""
        line = b""
        while not line.endswith(b"\n") and len(line) < 16 and (part := await self.loop.sock_recv(link, 16)):
            line += part
        return line

    def close(self) -> None:
        if self.socket.fileno() >= 0:
            self.loop.remove_reader(self.socket.fileno())
            self.socket.close()
