"""Which hosts operators have taken out: one empty file a host, so that a new process knows it too.

Two processes may share the folder while one takes over from the other. To make a file and to remove it are
one step each, whole or not at all, and both may be said twice; so there is nothing to lock and to repair.
"""

from __future__ import annotations

import contextlib
import os
from pathlib import Path
from urllib.parse import quote, unquote

PREFIX = "out-"
MAX_FILE_NAME_BYTES = 240  # bytes of a file's name, under every file system's 255
MAX_HOSTS = 10_000  # hosts that may be out: what operators can name must be bounded as well


class MaintenanceSet:
    """The set of hosts that are out, kept in `folder`; without a folder it lasts as long as the process."""

    def __init__(self, folder: Path | None) -> None:
        self.folder = folder
        self.hosts: set[str] = set()
        self.unsaved: dict[str, bool] = {}  # what could not be written, which holds in this process alone
        if folder is not None:
            folder.mkdir(mode=0o700, parents=True, exist_ok=True)
            self.refresh()

    def _path(self, host: str) -> str | None:
        name = PREFIX + quote(host, safe="")
        return (
            str(self.folder / name) if self.folder is not None and len(name) <= MAX_FILE_NAME_BYTES else None
        )

    def set(self, host: str, out: bool) -> bool:
        """Takes a host out or gives it back; whether a new process will know that too.

        Raises ValueError if too many hosts are out.
        """
        if out and host not in self.hosts and len(self.hosts) >= MAX_HOSTS:
            raise ValueError(f"{MAX_HOSTS} hosts are out already")
        (self.hosts.add if out else self.hosts.discard)(host)
        if self.folder is None:
            return True
        self.unsaved[host] = out
        if (path := self._path(host)) is None:
            return False
        try:
            if out:
                os.close(os.open(path, os.O_CREAT | os.O_WRONLY | os.O_CLOEXEC, 0o600))
            else:
                with contextlib.suppress(FileNotFoundError):
                    os.unlink(path)
        except OSError:
            return False
        del self.unsaved[host]
        return True

    def refresh(self) -> dict[str, bool]:
        """What another process has changed since: hosts that are out now (True) or given back (False)."""
        if self.folder is None:
            return {}
        try:
            names = os.listdir(self.folder)
        except OSError:
            return {}
        now = {unquote(name[len(PREFIX) :]) for name in names if name.startswith(PREFIX)}
        for host, out in self.unsaved.items():
            (now.add if out else now.discard)(host)
        changed = {host: True for host in now - self.hosts} | {host: False for host in self.hosts - now}
        self.hosts = now
        return changed
