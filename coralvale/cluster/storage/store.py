"""The disk of one member: a sqlite database in write-ahead mode, synced at every write.

Three tables. `host`: the register of hosts as it was lately, so that after the loss of all processes hosts
are known before their next beats. `entry`: the order's entries that are kept one by one. `fact`: the disk's
id, the layout's number, the view with the vote in it, up to where all is delivered, and the snapshot that
takes the place of older entries. A `Write` is one transaction: it is there whole, or not at all, whatever is
lost with the power.
"""

from __future__ import annotations

import os
import sqlite3
from pathlib import Path

import msgspec

from coralvale.cluster.consensus.messages import Entry, Snapshot, Write
from coralvale.cluster.consensus.state import DurableState
from coralvale.cluster.registry.register import Row

DATABASE_FILE = "orchard.sqlite"
# Of the tables; a newer program reads older ones, and refuses what is newer than itself. 2: entries may begin
# before the snapshot. 3: entries, and the snapshot, hold the table of shares. 4: and locks, numbers and keys.
LAYOUT_VERSION = 4
_row = msgspec.msgpack.Decoder(Row).decode
_snapshot = msgspec.msgpack.Decoder(Snapshot).decode


class StoreError(OSError):
    """The disk's contents cannot be used; the message names the file."""


class DamagedStoreError(StoreError):
    """It is no database of ours, or what it holds does not hang together: as good as lost."""


def set_aside(folder: str) -> str:
    """Takes a damaged database out of the way, for later analysis; returns its new name."""
    path = Path(folder) / DATABASE_FILE
    number = 1 + len(list(path.parent.glob(f"{DATABASE_FILE}.refused-*")))
    aside = path.with_name(f"{DATABASE_FILE}.refused-{number}")
    path.rename(aside)
    for more in ("-wal", "-shm"):
        path.with_name(DATABASE_FILE + more).unlink(missing_ok=True)
    return str(aside)


class Store:
    """Opens the database, or makes it. Raises StoreError if it is there and is not ours, OSError
    otherwise."""

    def __init__(self, folder: str) -> None:
        self.path = Path(folder) / DATABASE_FILE
        self.path.parent.mkdir(parents=True, exist_ok=True)
        try:
            self.db = self._open()
            self.id = self._prepare()
        except sqlite3.OperationalError:
            raise  # of the disk, and it may pass
        except sqlite3.DatabaseError as error:
            raise DamagedStoreError(f"{self.path}: {error}") from error

    def _open(self) -> sqlite3.Connection:
        db = sqlite3.connect(self.path, isolation_level=None, check_same_thread=False, timeout=1.0)
        db.execute("PRAGMA locking_mode=EXCLUSIVE")  # no file of shared memory is needed then
        db.execute("PRAGMA journal_mode=WAL")
        db.execute("PRAGMA synchronous=FULL")
        db.execute("PRAGMA wal_autocheckpoint=200")
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
        elif (
            int(str(layout)) < LAYOUT_VERSION
        ):  # what is there is read as it is; the version before refuses it from now on
            self._set_fact("layout", LAYOUT_VERSION)
        name = self._get_fact("id")
        if name is None:
            name = os.urandom(8).hex()
            self._set_fact("id", name)
        db.execute("COMMIT")
        self._sync_folder()
        return str(name)

    def _sync_folder(self) -> None:
        number = os.open(self.path.parent, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(number)
        finally:
            os.close(number)

    def _get_fact(self, name: str) -> object:
        row = self.db.execute("SELECT value FROM fact WHERE name = ?", (name,)).fetchone()
        return row[0] if row else None

    def _set_fact(self, name: str, value: object) -> None:
        self.db.execute("INSERT OR REPLACE INTO fact VALUES (?, ?)", (name, value))

    def load(self) -> DurableState:
        """Reads the stored state.

        Raises DamagedStoreError if the contents are not what was written, sqlite3.OperationalError if the disk
        cannot be read at the moment.
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
            raise  # of the disk, and it may pass
        except (sqlite3.DatabaseError, msgspec.MsgspecError) as error:
            raise DamagedStoreError(f"{self.path}: {error}") from error
        self._check(state)
        return state

    def _check(self, state: DurableState) -> None:
        """Raises DamagedStoreError if entries are missing within the log, or between the snapshot and the log."""
        following = (state.snapshot.seq if state.snapshot else 0) + 1
        first = min(following, state.entries[0].seq) if state.entries else following
        if [e.seq for e in state.entries] != list(range(first, first + len(state.entries))):
            raise DamagedStoreError(f"{self.path}: entries are missing between {first} and the last")

    def write(self, writes: list[Write]) -> None:
        """All of them in one transaction, synced. Raises sqlite3.Error if it is not there then."""
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
        """The register as it was last put here: a help at the start, nothing that must be right."""
        try:
            found = self.db.execute("SELECT row FROM host").fetchall()
            return [_row(row) for (row,) in found]
        except (sqlite3.DatabaseError, msgspec.MsgspecError, TypeError):
            return []

    def save_hosts(self, rows: list[Row]) -> None:
        """All that are known, in place of those put here before. Raises sqlite3.Error."""
        db = self.db
        if db.in_transaction:
            db.execute("ROLLBACK")
        db.execute("BEGIN IMMEDIATE")
        db.execute("DELETE FROM host")
        db.executemany("INSERT INTO host VALUES (?, ?)", [(r.id, msgspec.msgpack.encode(r)) for r in rows])
        db.execute("COMMIT")

    def close(self) -> None:
        self.db.close()
