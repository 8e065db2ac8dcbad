"""Durable state of one member: a sqlite database in WAL mode, synced at every write.

It has three tables:

- `host`: a recent copy of the host register, so that after the loss of all processes hosts are known before
  their next heartbeats;
- `entry`: the entries of the replicated log;
- `fact`: single values by name: `id` of the disk, `layout` number, `view` and the `vote` in it, `commit`
  index, and as `saved` the snapshot that replaces older entries.

A `Write` is applied within one transaction: after a loss of power it is there as a whole or not at all.
"""

from __future__ import annotations

import os
import sqlite3
from pathlib import Path

import msgspec

from coralvale.cluster.consensus.messages import Entry, Snapshot, Write
from coralvale.cluster.consensus.state import DurableState
from coralvale.cluster.registry.register import Row

DATABASE_FILE = "orchard.sqlite"  # the name on existing disks; under another, they would count as empty
# Number of the tables' layout. Older layouts are read, layouts newer than this program are refused.
# 2: entries may begin before the snapshot. 3: entries and the snapshot contain the table of quota shares.
# 4: entries and the snapshot also contain locks, counters and keys.
LAYOUT_VERSION = 4
_row = msgspec.msgpack.Decoder(Row).decode
_snapshot = msgspec.msgpack.Decoder(Snapshot).decode


class StoreError(OSError):
    """The contents of the disk cannot be used; the message names the file."""


class DamagedStoreError(StoreError):
    """The file is not a database of this program, or its contents are inconsistent: it is treated as lost."""


def set_aside(folder: str) -> str:
    """Renames a damaged database, so that it is kept for analysis; returns its new name."""
    path = Path(folder) / DATABASE_FILE
    number = 1 + len(list(path.parent.glob(f"{DATABASE_FILE}.refused-*")))
    aside = path.with_name(f"{DATABASE_FILE}.refused-{number}")
    path.rename(aside)
    # The write-ahead log and the shared-memory file belong to the renamed database, not to one that is
    # created under the old name.
    for more in ("-wal", "-shm"):
        path.with_name(DATABASE_FILE + more).unlink(missing_ok=True)
    return str(aside)


class Store:
    """The database of one member; opening creates it if it does not exist.

    Raises StoreError if the file is damaged or of a newer layout, sqlite3.OperationalError or OSError if it
    cannot be opened at the moment.
    """

    def __init__(self, folder: str) -> None:
        self.path = Path(folder) / DATABASE_FILE
        self.path.parent.mkdir(parents=True, exist_ok=True)
        try:
            self.db = self._open()
            self.id = self._prepare()
        except sqlite3.OperationalError:
            raise  # a fault of the disk, which may be temporary
        except sqlite3.DatabaseError as error:
            raise DamagedStoreError(f"{self.path}: {error}") from error

    def _open(self) -> sqlite3.Connection:
        db = sqlite3.connect(self.path, isolation_level=None, check_same_thread=False, timeout=1.0)
        db.execute("PRAGMA locking_mode=EXCLUSIVE")  # avoids the shared-memory file
        db.execute("PRAGMA journal_mode=WAL")
        db.execute("PRAGMA synchronous=FULL")  # syncs the write-ahead log at each commit
        db.execute("PRAGMA wal_autocheckpoint=200")  # pages in the write-ahead log
        return db

    def _prepare(self) -> str:
        db = self.db
        db.execute("BEGIN IMMEDIATE")
        db.execute("CREATE TABLE IF NOT EXISTS fact (name TEXT PRIMARY KEY, value BLOB) WITHOUT ROWID")
        db.execute(
            "CREATE TABLE IF NOT EXISTS entry (seq INTEGER PRIMARY KEY, view INTEGER, kind INTEGER, body BLOB)"
        )
        db.execute("CREATE TABLE IF NOT EXISTS host (id TEXT PRIMARY KEY, row BLOB) WITHOUT ROWID")
        layout = self._get_fact("layout")
        if layout is None:
            self._set_fact("layout", LAYOUT_VERSION)
        elif int(str(layout)) > LAYOUT_VERSION:
            raise StoreError(f"{self.path}: layout {layout}, this program knows up to {LAYOUT_VERSION}")
        elif int(str(layout)) < LAYOUT_VERSION:
            # Older data needs no conversion; older versions of the program refuse the file from now on.
            self._set_fact("layout", LAYOUT_VERSION)
        disk_id = self._get_fact("id")
        if disk_id is None:
            disk_id = os.urandom(8).hex()
            self._set_fact("id", disk_id)
        db.execute("COMMIT")
        self._sync_folder()
        return str(disk_id)

    def _sync_folder(self) -> None:
        fd = os.open(self.path.parent, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)

    def _get_fact(self, name: str) -> object:
        row = self.db.execute("SELECT value FROM fact WHERE name = ?", (name,)).fetchone()
        return row[0] if row else None

    def _set_fact(self, name: str, value: object) -> None:
        self.db.execute("INSERT OR REPLACE INTO fact VALUES (?, ?)", (name, value))

    def load(self) -> DurableState:
        """Reads the stored state.

        Raises DamagedStoreError if the contents are not what was written, sqlite3.OperationalError if the
        disk cannot be read at the moment.
        """
        try:
            saved = self._get_fact("saved")
            rows = self.db.execute("SELECT seq, view, kind, body FROM entry ORDER BY seq").fetchall()
            state = DurableState(
                int(str(self._get_fact("view") or 0)),
                str(self._get_fact("vote") or ""),
                int(str(self._get_fact("commit") or 0)),
                _snapshot(saved) if isinstance(saved, bytes) else None,
                [Entry(*row) for row in rows],
            )
        except sqlite3.OperationalError:
            raise  # a fault of the disk, which may be temporary
        except (sqlite3.DatabaseError, msgspec.MsgspecError) as error:
            raise DamagedStoreError(f"{self.path}: {error}") from error
        self._check(state)
        return state

    def _check(self, state: DurableState) -> None:
        """Raises DamagedStoreError if entries are missing within the log, or between the snapshot and the
        log."""
        following = (state.snapshot.seq if state.snapshot else 0) + 1
        first = min(following, state.entries[0].seq) if state.entries else following
        if [e.seq for e in state.entries] != list(range(first, first + len(state.entries))):
            raise DamagedStoreError(f"{self.path}: entries are missing between {first} and the last")

    def write(self, writes: list[Write]) -> None:
        """Applies all writes in one synced transaction. Raises sqlite3.Error if it was not committed."""
        db = self.db
        if db.in_transaction:
            db.execute("ROLLBACK")
        db.execute("BEGIN IMMEDIATE")
        try:
            for write in writes:
                self._apply_write(write)
            db.execute("COMMIT")
        except sqlite3.Error:
            if db.in_transaction:
                db.execute("ROLLBACK")
            raise

    def _apply_write(self, write: Write) -> None:
        if write.truncate_from is not None:
            self.db.execute("DELETE FROM entry WHERE seq >= ?", (write.truncate_from,))
        if write.snapshot is not None:
            self.db.execute("DELETE FROM entry WHERE seq < ?", (write.trim_below,))
            self._set_fact("saved", msgspec.msgpack.encode(write.snapshot))
        self.db.executemany(
            "INSERT OR REPLACE INTO entry VALUES (?, ?, ?, ?)",
            [(e.seq, e.view, e.kind, e.body) for e in write.entries],
        )
        for name, value in (("view", write.view), ("vote", write.vote), ("commit", write.commit)):
            self._set_fact(name, value)

    def load_hosts(self) -> list[Row]:
        """The hosts of the last `save_hosts`, none if they cannot be read: they only help at the start."""
        try:
            found = self.db.execute("SELECT row FROM host").fetchall()
            return [_row(row) for (row,) in found]
        except (sqlite3.DatabaseError, msgspec.MsgspecError, TypeError):
            return []

    def save_hosts(self, rows: list[Row]) -> None:
        """Replaces the stored hosts by `rows`. Raises sqlite3.Error."""
        db = self.db
        if db.in_transaction:
            db.execute("ROLLBACK")
        db.execute("BEGIN IMMEDIATE")
        db.execute("DELETE FROM host")
        db.executemany("INSERT INTO host VALUES (?, ?)", [(r.id, msgspec.msgpack.encode(r)) for r in rows])
        db.execute("COMMIT")

    def close(self) -> None:
        """Closes the database."""
        self.db.close()
