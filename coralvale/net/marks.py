"""Hosts in maintenance by an operator: one empty file per host, so that a new process knows them too.

Two processes may use the folder at once while one takes over from the other. Creating and removing a file are
atomic and idempotent, so no lock and no recovery is needed.
"""

from __future__ import annotations

import contextlib
import os
from pathlib import Path
from urllib.parse import quote, unquote

PREFIX = "out-"
MAX_FILE_NAME_BYTES = 240  # file systems allow 255
MAX_HOSTS = 10_000  # in maintenance at once: the set that operators can fill must be bounded as well


class MaintenanceSet:
    """The set of hosts in maintenance, stored in `folder`; without a folder it ends with the process."""

    def __init__(self, folder: Path | None) -> None:
        self.folder = folder
        self.hosts: set[str] = set()
        self.unsaved: dict[str, bool] = {}  # changes that could not be written: valid in this process only
        if folder is not None:
            folder.mkdir(mode=0o700, parents=True, exist_ok=True)
            self.refresh()

    def _path(self, host: str) -> str | None:
        name = PREFIX + quote(host, safe="")
        return (
            str(self.folder / name) if self.folder is not None and len(name) <= MAX_FILE_NAME_BYTES else None
        )

    def set(self, host: str, out: bool) -> bool:
        """Puts a host into maintenance or back into service; returns whether a new process will know it too.

        Raises ValueError if too many hosts are in maintenance.
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
        """Reads other processes' changes: hosts now in maintenance (True) or back in service (False)."""
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
