"""How a new process takes over from one that serves: the listener, then the state, then the work.

The old process listens on a socket in a folder that both have. In order:

    new connects                 old sends VERSION and, with it, its listener (SCM_RIGHTS, unix(7))
    new is ready: "take"         old accepts no more and sends its state, one line of JSON
    new accepts: "taken"         old closes its listener and answers what it has

The listener is one kernel object that never closes, so nothing that waits in it is lost: with two listeners
under SO_REUSEPORT the old one's queue is reset when it closes (socket(7)). If a side is lost before "taken"
the old process goes on as if nothing had been. A new one that finds nobody, or nobody who answers, listens
for itself.
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
ANSWER_TIMEOUT_S = 1.0  # s that the old process may take for its first word; one that hangs is not waited for
STATE_TIMEOUT_S = 3.0  # s for the state
MAX_STATE_BYTES = 64 * 1024 * 1024  # bytes of a state
MAX_PATH_BYTES = 100  # bytes of a path that a Unix socket takes, less some


class Predecessor:
    """The new process's side."""

    def __init__(self, link: socket.socket, listener: socket.socket) -> None:
        self.link, self.listener = link, listener

    @classmethod
    def find(cls, path: Path) -> Predecessor | None:
        """The process that serves now, if there is one. Blocks for `ANSWER` seconds at most."""
        link = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        link.settimeout(ANSWER_TIMEOUT_S)
        try:
            link.connect(os.fspath(path))
            message, descriptors, _, _ = socket.recv_fds(link, len(VERSION), 1)
            if message != VERSION or not descriptors:
                raise OSError("another form of handing over")
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
        """Asks for the state; None if the old process did not give it in time."""
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
                        raise ConnectionError("the state did not come whole")
                    parts.append(part)
            state = json.loads(b"".join(parts))
        except (OSError, TimeoutError, ValueError) as error:
            log.warning("no state from the process before: %s", error or "too late")
            return None
        return state if isinstance(state, dict) else None

    async def confirm(self) -> None:
        """The work goes on here."""
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                await asyncio.get_running_loop().sock_sendall(self.link, b"taken\n")
        self.link.close()


class TakeoverServer:
    """The side of the process that serves: waits for one that wants to follow it.

    `listener` gives the socket to hand on; `give` is asked for the state and ends accepting; `given` is told
    whether the other took it.
    """

    def __init__(
        self,
        path: Path,
        listener: Callable[[], socket.socket],
        export_state: Callable[[], dict[str, Any]],
        on_finished: Callable[[bool], None],
    ) -> None:
        """Raises OSError if `path` cannot be listened on."""
        self.path, self.listener, self.export_state, self.on_finished = (
            path,
            listener,
            export_state,
            on_finished,
        )
        if len(os.fspath(path)) > MAX_PATH_BYTES:
            raise OSError(f"{path}: too long for a socket's name")
        self.loop = asyncio.get_running_loop()
        self.tasks: set[asyncio.Task[None]] = set()
        self.handing_over = False
        self.socket = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        self.socket.setblocking(False)
        # Bound beside it and moved into place: who comes meanwhile finds the one before, or this one.
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
        state_sent = False
        try:
            socket.send_fds(link, [VERSION], [self.listener().fileno()])
            if await self._read_message(link) != b"take\n":
                return
            state_sent = True
            text = json.dumps(self.export_state(), separators=(",", ":")).encode() + b"\n"
            async with asyncio.timeout(STATE_TIMEOUT_S):
                await self.loop.sock_sendall(link, text)
                if await self._read_message(link) == b"taken\n":
                    state_sent = False
                    self.close()
                    self.on_finished(True)
        except (OSError, TimeoutError) as error:
            log.warning("handing over: %s", error or "too late")
        finally:
            link.close()
            self.handing_over = False
            if state_sent:
                self.on_finished(False)

    async def _read_message(self, link: socket.socket) -> bytes:
        message = b""
        while (
            not message.endswith(b"\n")
            and len(message) < 16
            and (part := await self.loop.sock_recv(link, 16))
        ):
            message += part
        return message

    def close(self) -> None:
        if self.socket.fileno() >= 0:
            self.loop.remove_reader(self.socket.fileno())
            self.socket.close()
