"""A disk that takes no more bytes, and then refuses every write, also the one that would free space.

Played in a process of its own, whose files may not grow past a bound (RLIMIT_FSIZE): the operating system then
refuses writes in the middle of one as a full disk does.
"""

from __future__ import annotations

import json
import os
import resource
import signal
import sqlite3
import subprocess
import sys
from pathlib import Path

import pytest

from coralvale.cluster.consensus.messages import Entry, Snapshot, VoterSet, Write
from coralvale.cluster.consensus.replica import DurableState
from coralvale.cluster.storage.store import Store

BODY = b"x" * 3000
STEP = 700  # bytes between the bounds that are tried, from the size of the largest file on
MOST = 40_000  # bytes that the largest of the writes needs


def writes() -> dict[str, Write]:
    """By name: what a replica has put on disk, each on top of `first`."""
    more = tuple(Entry(seq, 3, 0, BODY) for seq in (5, 6, 7))
    snapshot = Snapshot(3, 2, VoterSet(()), BODY * 3)
    return {
        "vote": Write(2, 9, "another", 4),
        "append": Write(2, 3, "me", 6, None, more),
        "cut": Write(2, 4, "me", 4, 3, (Entry(3, 4, 0, BODY), Entry(4, 4, 0, BODY))),
        "snapshot": Write(2, 3, "me", 4, None, (), snapshot, 4),  # the one that frees space
    }


def first() -> Write:
    return Write(1, 2, "me", 3, None, tuple(Entry(seq, 2, 0, BODY) for seq in (1, 2, 3, 4)))


def bound(size: int) -> None:
    resource.setrlimit(resource.RLIMIT_FSIZE, (size, resource.RLIM_INFINITY))


def told(state: DurableState) -> list[object]:
    entries = [(e.seq, e.view, len(e.body)) for e in state.entries]
    return [state.view, state.vote, state.commit, state.snapshot.seq if state.snapshot else 0, entries]


def play(folder: Path, write: Write) -> dict[str, int]:
    """Tries the write at each bound; whether it was answered, and what the next process finds, agree."""
    counts = {"refused": 0, "taken": 0}
    for number, size in enumerate([0, *range(STEP, MOST, STEP)]):
        path = folder / str(number)
        path.mkdir()
        store = Store(str(path))
        store.write([first()])
        before = told(store.load())
        bound(size + max(file.stat().st_size for file in path.iterdir()))
        try:
            store.write([write])
            taken = True
        except sqlite3.Error:
            taken = False
        if not taken:  # it stays so: every other write is refused as well, or is there whole
            for other in writes().values():
                with pytest.raises(sqlite3.Error):
                    bound(0)
                    store.write([other])
        bound(resource.RLIM_INFINITY)
        after = told(store.load())
        assert taken or after == before, size
        if not taken:
            store.write([write])  # space has come back: tried again, by the same process
        wanted = told(store.load())
        store.close()
        again = Store(str(path))
        assert told(again.load()) == wanted != before, size
        again.close()
        counts["taken" if taken else "refused"] += 1
    return counts


def test_what_a_full_disk_refuses_leaves_no_trace_and_is_taken_when_there_is_room(tmp_path: Path) -> None:
    """An answer is given only for what is there; a vote that was refused is worth nothing."""
    done = subprocess.run(
        [sys.executable, __file__, str(tmp_path)],
        capture_output=True,
        text=True,
        timeout=300,
        check=False,
        env=os.environ | {"PYTHONPATH": str(Path(__file__).resolve().parents[2])},
    )
    assert done.returncode == 0, done.stderr[-2000:]
    counts = json.loads(done.stdout)
    assert set(counts) == set(writes())
    assert all(found["refused"] >= 3 and found["taken"] >= 3 for found in counts.values()), counts


if __name__ == "__main__":
    signal.signal(signal.SIGXFSZ, signal.SIG_IGN)
    root = Path(sys.argv[1])
    found = {}
    for name, one in writes().items():
        (root / name).mkdir()
        found[name] = play(root / name, one)
    print(json.dumps(found))
