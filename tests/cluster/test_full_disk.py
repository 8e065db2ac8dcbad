"""A full disk: it refuses every write, also one that would free space.

The test runs in a separate process with a limit on the size of files (RLIMIT_FSIZE), so that the operating
system interrupts a write in the middle, as a full disk does.
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
STEP_BYTES = 700  # between the limits that are tried, from the size of the largest file on
MAX_BYTES = 40_000  # that the largest of the writes needs


def writes() -> dict[str, Write]:
    """The kinds of writes of a replica, by name, each to be applied after `first_write`."""
    more = tuple(Entry(seq, 3, 0, BODY) for seq in (5, 6, 7))
    snapshot = Snapshot(3, 2, VoterSet(()), BODY * 3)
    return {
        "vote": Write(2, 9, "another", 4),
        "append": Write(2, 3, "me", 6, None, more),
        "cut": Write(2, 4, "me", 4, 3, (Entry(3, 4, 0, BODY), Entry(4, 4, 0, BODY))),
        "snapshot": Write(2, 3, "me", 4, None, (), snapshot, 4),  # this one frees space
    }


def first_write() -> Write:
    return Write(1, 2, "me", 3, None, tuple(Entry(seq, 2, 0, BODY) for seq in (1, 2, 3, 4)))


def limit_file_size(size: int) -> None:
    resource.setrlimit(resource.RLIMIT_FSIZE, (size, resource.RLIM_INFINITY))


def summary(state: DurableState) -> list[object]:
    entries = [(e.seq, e.view, len(e.body)) for e in state.entries]
    return [state.view, state.vote, state.commit, state.snapshot.seq if state.snapshot else 0, entries]


def try_all_limits(folder: Path, write: Write) -> dict[str, int]:
    """Tries the write at each limit: a write takes effect exactly if it was acknowledged, also for the next
    process.

    Returns how many were refused and taken.
    """
    counts = {"refused": 0, "taken": 0}
    for number, size in enumerate([0, *range(STEP_BYTES, MAX_BYTES, STEP_BYTES)]):
        path = folder / str(number)
        path.mkdir()
        store = Store(str(path))
        store.write([first_write()])
        before = summary(store.load())
        limit_file_size(size + max(file.stat().st_size for file in path.iterdir()))
        try:
            store.write([write])
            taken = True
        except sqlite3.Error:
            taken = False
        if not taken:  # every further write is refused as well
            for other in writes().values():
                with pytest.raises(sqlite3.Error):
                    limit_file_size(0)
                    store.write([other])
        limit_file_size(resource.RLIM_INFINITY)
        after = summary(store.load())
        assert taken or after == before, size
        if not taken:
            store.write([write])  # there is space again: the same process retries
        wanted = summary(store.load())
        store.close()
        again = Store(str(path))
        assert summary(again.load()) == wanted != before, size
        again.close()
        counts["taken" if taken else "refused"] += 1
    return counts


def test_write_refused_by_a_full_disk_leaves_no_trace_and_succeeds_later(tmp_path: Path) -> None:
    """A write is acknowledged only if it is on disk; a vote that was refused does not count."""
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
        found[name] = try_all_limits(root / name, one)
    print(json.dumps(found))
