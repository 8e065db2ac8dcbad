"""A kill and a loss of power at every disk operation.

A VFS of `apsw` under sqlite records each write, sync, truncation and removal while a store is used. Then, for
the point after each operation, the files are restored as they may be, and read by the store:

- killed: all operations so far are there;
- power lost: everything synced is there; of later writes none, or at random each is complete, missing or
  torn, as the deployment rules allow. A new file persists with its own sync, a removal once its folder was
  synced.

The state that is read must be the result of some write, never older than the newest acknowledged one.
"""

from __future__ import annotations

import random
from pathlib import Path
from typing import Any

import apsw
import pytest

from coralvale.cluster.consensus import messages as m
from coralvale.cluster.consensus.replica import DurableState
from coralvale.cluster.consensus.voters import encode_voters
from coralvale.cluster.registry.register import Row
from coralvale.cluster.storage.store import DATABASE_FILE, Store

Operation = tuple[str, str, int, bytes]  # kind, file, offset, bytes
recorders: list[Recorder] = []
VOTERS = m.VoterSet((m.Member("a", "gateway-a", "10.0.0.1"),))


class RecordedFile(apsw.VFSFile):
    def __init__(self, trace: list[Operation], name: Any, flags: Any) -> None:
        full = name.filename() if isinstance(name, apsw.URIFilename) else name
        self.trace, self.file = trace, Path(full).name
        super().__init__("", name, flags)

    def xWrite(self, data: bytes, offset: int) -> None:  # noqa: N802
        self.trace.append(("write", self.file, offset, bytes(data)))
        super().xWrite(data, offset)

    def xSync(self, flags: int) -> None:  # noqa: N802
        self.trace.append(("sync", self.file, 0, b""))
        super().xSync(flags)

    def xTruncate(self, size: int) -> None:  # noqa: N802
        self.trace.append(("cut", self.file, size, b""))
        super().xTruncate(size)


class Recorder(apsw.VFS):
    def __init__(self, name: str) -> None:
        self.trace: list[Operation] = []
        super().__init__(name, "")

    def xOpen(self, name: Any, flags: Any) -> RecordedFile:  # noqa: N802
        return RecordedFile(self.trace, name, flags)

    def xDelete(self, name: str, sync_folder: bool) -> None:  # noqa: N802
        self.trace.append(("remove", Path(name).name, 0, b""))
        if sync_folder:
            self.trace.append(("folder", "", 0, b""))
        super().xDelete(name, sync_folder)


class RecordedStore(Store):
    """The unmodified store, on the recorder."""

    pragmas: tuple[str, ...] = ()

    def _open(self) -> Any:  # noqa: ANN401
        db = apsw.Connection(str(self.path), vfs="recorder")
        for pragma in (
            "locking_mode=EXCLUSIVE",
            "journal_mode=WAL",
            "synchronous=FULL",
            "wal_autocheckpoint=200",
        ):
            db.execute(f"PRAGMA {pragma}").fetchall()
        for pragma in self.pragmas:
            db.execute(f"PRAGMA {pragma}").fetchall()
        return db

    def _sync_folder(self) -> None:
        super()._sync_folder()
        recorders[-1].trace.append(("folder", "", 0, b""))


class WithoutFolderSync(RecordedStore):
    """Mutant: the folder is not synced after the database was created, so its first journal may reappear and
    undo everything."""

    def _sync_folder(self) -> None: ...


class WithoutCommitSync(RecordedStore):
    """Mutant: a commit is not synced before it is acknowledged."""

    pragmas = ("synchronous=NORMAL",)


def writes() -> list[m.Write | list[Row]]:
    """Typical writes of a member: large entries, truncations by a new view, snapshots, and hosts in
    between."""
    chance, found, seq = random.Random(5), [], 0
    rows = [Row(f"i-{n}", "s", "10.0.0.1", 80 + n, "z", "v", 4, 0, 0.0, n) for n in range(40)]
    for step in range(46):
        if step and not step % 9:
            saved = m.Snapshot(seq, step, VOTERS, chance.randbytes(9000))
            found.append(m.Write(step + 1, step, "a", seq, None, (), saved))
        elif step % 5 == 3 and (step - 1) % 9:
            entry = m.Entry(seq, step, m.NO_OP)  # replaces the last entry
            found.append(m.Write(step + 1, step, "b", max(0, seq - 1), seq, (entry,)))
        else:
            seq += 1
            kind, body = (
                (m.VOTERS, encode_voters(VOTERS)) if seq == 1 else (m.CHANGE, chance.randbytes(30000))
            )
            found.append(m.Write(step + 1, step, "a", seq, None, (m.Entry(seq, step, kind, body),)))
        if step % 7 == 3:
            found.append(rows[: 5 + step % 30])
    return found


def record_trace(
    folder: Path, kind: type[RecordedStore]
) -> tuple[list[Operation], list[int], list[DurableState]]:
    """The trace, its length when each write was acknowledged, and the state after each write."""
    recorder = Recorder("recorder")
    recorders.append(recorder)
    store, answered, led = kind(str(folder)), [len(recorder.trace)], [DurableState()]
    for write in writes():
        if isinstance(write, list):
            store.save_hosts(write)
            continue
        store.write([write])
        answered.append(len(recorder.trace))
        led.append(store.load())
    trace = list(recorder.trace)
    store.close()
    recorder.unregister()
    recorders.pop()
    return trace, answered, led


class Disk:
    """Files as the process sees them, and as they may be after a loss of power."""

    def __init__(self) -> None:
        self.visible: dict[str, bytearray] = {}
        self.synced: dict[str, bytes] = {}
        self.unsynced: dict[str, list[Operation]] = {}

    def record(self, op: Operation) -> None:
        what, file, _, _ = op
        if what == "sync":
            self.synced[file] = bytes(self.visible.setdefault(file, bytearray()))
            self.unsynced[file] = []
        elif what == "remove":
            self.visible.pop(file, None)
        elif what == "folder":  # removals persist from now on
            self.synced = {name: data for name, data in self.synced.items() if name in self.visible}
        else:
            apply_operation(self.visible.setdefault(file, bytearray()), op)
            self.unsynced.setdefault(file, []).append(op)

    def after_power_loss(self, chance: random.Random | None) -> dict[str, bytes]:
        """With `chance`, each unsynced write is complete, missing or torn at random; without, all of them are
        missing."""
        found = {}
        for file, data in self.synced.items():
            new = bytearray(data)
            for op in self.unsynced.get(file, []) if chance else []:
                lot = chance.random() if chance else 0.0
                if lot < 0.4:
                    apply_operation(new, op)
                elif lot < 0.6 and op[0] == "write":
                    apply_operation(new, (*op[:3], op[3][: chance.randrange(len(op[3]))] if chance else b""))
            found[file] = bytes(new)
        return found


def apply_operation(data: bytearray, op: Operation) -> None:
    what, _, at, more = op
    if what == "cut":
        del data[at:]
    else:
        data.extend(bytes(max(0, at - len(data))))
        data[at : at + len(more)] = more


def same(one: DurableState, other: DurableState) -> bool:
    return (one.view, one.vote, one.commit, one.snapshot, one.entries) == (
        other.view, other.vote, other.commit, other.snapshot, other.entries,
    )  # fmt: skip


def read(folder: Path, files: dict[str, bytes]) -> DurableState:
    for file in folder.iterdir():
        file.unlink()
    for name, data in files.items():
        (folder / name).write_bytes(data)
    store = Store(str(folder))
    try:
        return store.load()
    finally:
        store.close()


def check_all_operations(folder: Path, kind: type[RecordedStore]) -> int:
    """Reads the files after each operation, in each state they may be in; returns how many were read."""
    (folder / "used").mkdir()
    trace, answered, led = record_trace(folder / "used", kind)
    again, disk, count = folder / "again", Disk(), 0
    again.mkdir()
    assert {"write", "sync"} <= {op[0] for op in trace} and {DATABASE_FILE, f"{DATABASE_FILE}-wal"} <= {
        op[1] for op in trace
    }
    assert any(op[:2] == ("write", DATABASE_FILE) for op in trace[answered[5] :])  # a checkpoint took place
    for place, op in enumerate(trace):
        disk.record(op)
        done = sum(at <= place + 1 for at in answered) - 1  # the newest acknowledged write
        chance = random.Random(place)
        for how, files in (
            ("killed", {name: bytes(data) for name, data in disk.visible.items()}),
            ("all unsynced writes are gone", disk.after_power_loss(None)),
            ("some are there or torn", disk.after_power_loss(chance)),
            ("others are there or torn", disk.after_power_loss(chance)),
        ):
            found = read(again, files)
            may = led[max(0, done) : done + 2]
            assert any(same(found, one) for one in may), f"operation {place} {op[:3]}, {how}: {found.commit}"
            count += 1
    return count


def test_acknowledged_writes_survive_a_kill_or_power_loss_at_any_operation(tmp_path: Path) -> None:
    assert check_all_operations(tmp_path, RecordedStore) > 1000


@pytest.mark.parametrize("kind", [WithoutCommitSync, WithoutFolderSync])
def test_each_missing_sync_is_detected(tmp_path: Path, kind: type[RecordedStore]) -> None:
    with pytest.raises(AssertionError, match="gone|torn"):
        check_all_operations(tmp_path, kind)
