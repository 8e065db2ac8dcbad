"""Example application: books airtime slots under a lock, with a store that checks fences.

    python experiments/coordination/book_slots.py IP:PORT... --folder FOLDER --slots 30 --workers 3

Workers are processes. Each takes the lock, reads which slot is free, and books it. At random a worker kills
itself while it holds the lock, or sleeps until another worker has taken the lock over and then does its
pending write. The store keeps the highest fence that it was shown and refuses a lower one, so the late write
changes nothing. A holder shows its fence already when it reads: after that no earlier holder can change what
it has read. The driver restarts dead workers until all slots are booked, and prints a summary as JSON; the
exit code is 1 if the summary's `well` is false.

Only the standard library is used. An application needs just `Gateways` and `Lock`.
"""

from __future__ import annotations

import argparse
import json
import os
import random
import signal
import sqlite3
import subprocess
import sys
import time
import urllib.error
import urllib.request
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

HOLD_MS = 1500
REQUEST_TIMEOUT_S = 1.0  # then another gateway is tried
RETRY_S = 60.0  # how long a call is retried
PAUSE_S = 0.05  # between attempts
KILLED_SHARE = 0.15  # fraction of the holds in which a worker kills itself
OVERSLEPT_SHARE = 0.25  # fraction of the holds in which a worker sleeps beyond its lease
LOCK = "airtime"


class Gateways:
    """Calls any gateway until one gives a clear answer."""

    def __init__(self, addresses: list[str]) -> None:
        self.addresses = addresses

    def call(self, name: str, of: str, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Status and body of a clear answer. The call may have reached more than one gateway, so only calls
        that may be repeated are allowed here, as lock calls are."""
        ends = time.monotonic() + RETRY_S
        while time.monotonic() < ends:
            status, answer = self._attempt(random.choice(self.addresses), name, of, body)
            if status in (200, 404, 409, 412):
                return status, answer
            time.sleep(PAUSE_S)
        raise TimeoutError(f"{name}: no clear answer")

    def _attempt(self, at: str, name: str, of: str, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        url = f"http://{at}/rpc?call={name}&of={of}"
        request = urllib.request.Request(url, json.dumps(body).encode(), {"Content-Type": "application/json"})
        try:
            with urllib.request.urlopen(request, timeout=REQUEST_TIMEOUT_S) as answer:
                return answer.status, json.loads(answer.read())
        except urllib.error.HTTPError as error:
            with error:
                return error.code, {}
        except (OSError, ValueError):
            return 0, {}


class Lock:
    """A lock, held until `ends` by the steady clock of this process."""

    def __init__(self, gateways: Gateways, name: str, owner: str) -> None:
        self.gateways, self.name, self.owner = gateways, name, owner
        self.fence = 0
        self.ends = 0.0

    def acquire(self) -> None:
        """Waits until the lock is held."""
        while True:
            sent = time.monotonic()
            body = {"Owner": self.owner, "HoldMs": HOLD_MS}
            status, answer = self.gateways.call("locks.begin", self.name, body)
            # Attempts were sent after `sent`, so this end is never later than the gateway's.
            if status == 200 and time.monotonic() < sent + HOLD_MS / 1000:
                self.fence, self.ends = answer["fence"], sent + HOLD_MS / 1000
                return
            time.sleep(PAUSE_S)

    @property
    def held(self) -> bool:
        """Whether the lease has time left."""
        return time.monotonic() < self.ends

    def release(self) -> None:
        """Releases the lock."""
        self.ends = 0.0
        self.gateways.call("locks.finish", self.name, {"Owner": self.owner, "fence": self.fence})


class LateError(Exception):
    """A higher fence was shown to the store: the caller does not hold the lock any more."""


class Store:
    """Slots and their bookings. Stands for any store that can compare a number as part of a call."""

    def __init__(self, file: Path) -> None:
        self.db = sqlite3.connect(file, timeout=30.0, isolation_level=None)
        self.db.execute("CREATE TABLE IF NOT EXISTS slots (slot INTEGER, station TEXT, fence INTEGER)")
        self.db.execute("CREATE TABLE IF NOT EXISTS shown (lock TEXT PRIMARY KEY, fence INTEGER)")

    def read_free_slot(self, fence: int) -> int:
        """The first free slot, read by a holder of the lock. Raises LateError."""
        with self._shown(fence):
            return self.booked()

    def book(self, slot: int, station: str, fence: int) -> None:
        """Books a slot as a holder of the lock. Raises LateError."""
        with self._shown(fence):
            self.db.execute("INSERT INTO slots VALUES (?, ?, ?)", (slot, station, fence))

    def booked(self) -> int:
        """The first slot that is not booked; needs no lock."""
        (slot,) = self.db.execute("SELECT COALESCE(MAX(slot) + 1, 0) FROM slots").fetchone()
        return int(slot)

    def highest_fence(self) -> int:
        """The highest fence shown, 0 if none was."""
        row = self.db.execute("SELECT fence FROM shown WHERE lock = ?", (LOCK,)).fetchone()
        return int(row[0]) if row else 0

    def bookings(self) -> list[tuple[int, str, int]]:
        """Slot, station and fence of all bookings, in order."""
        return self.db.execute("SELECT slot, station, fence FROM slots ORDER BY rowid").fetchall()

    @contextmanager
    def _shown(self, fence: int) -> Iterator[None]:
        """A transaction under a fence: the comparison and the following statements are atomic."""
        self.db.execute("BEGIN IMMEDIATE")
        try:
            if fence < self.highest_fence():
                raise LateError(f"fence {fence} is below {self.highest_fence()}")
            self.db.execute("INSERT OR REPLACE INTO shown VALUES (?, ?)", (LOCK, fence))
            yield
        except BaseException:
            self.db.execute("ROLLBACK")
            raise
        self.db.execute("COMMIT")


class Worker:
    """One application host. Its owner name stays the same when it is restarted."""

    def __init__(self, gateways: Gateways, folder: Path, number: int, slots: int) -> None:
        self.lock = Lock(gateways, LOCK, f"host-{number}")
        self.store, self.log = Store(folder / "store.sqlite"), folder / "events"
        self.slots = slots
        self.chance = random.Random()

    def run(self) -> None:
        """Books slots until all are booked."""
        while self.store.booked() < self.slots:
            self.lock.acquire()
            try:
                self.hold()
            except LateError:
                self.log_event("late-refused")

    def hold(self) -> None:
        """Uses the held lock: books a slot, crashes, or writes late."""
        slot = self.store.read_free_slot(self.lock.fence)
        ending = self.choose_ending()
        if slot >= self.slots:
            self.lock.release()
        elif ending == "killed":
            self.log_event("killed")
            os.kill(os.getpid(), signal.SIGKILL)
        elif ending == "overslept":
            self.write_late(slot)
        elif self.lock.held:
            self.store.book(slot, self.lock.owner, self.lock.fence)
            self.lock.release()

    def choose_ending(self) -> str:
        """How a hold ends: first once in each way, then at random."""
        seen = self.log.read_text() if self.log.exists() else ""
        if "killed" not in seen:
            return "killed"
        if "late" not in seen:
            return "overslept"
        drawn = self.chance.random()
        return (
            "killed"
            if drawn < KILLED_SHARE
            else "overslept"
            if drawn < KILLED_SHARE + OVERSLEPT_SHARE
            else "well"
        )

    def write_late(self, slot: int) -> None:
        """Writes after the lock was taken over, as a process paused between checking the clock and writing
        would."""
        while self.store.highest_fence() <= self.lock.fence:
            if self.store.booked() >= self.slots:
                return
            time.sleep(PAUSE_S)
        self.store.book(slot, self.lock.owner, self.lock.fence)
        self.log_event("late-taken")

    def log_event(self, event: str) -> None:
        """Appends a line to the event log."""
        with self.log.open("a") as file:
            file.write(f"{event}\n")


def drive(addresses: list[str], folder: Path, slots: int, workers: int, seconds: float) -> dict[str, Any]:
    """Keeps the workers running until all slots are booked; returns the summary."""
    ends = time.monotonic() + seconds
    store = Store(folder / "store.sqlite")
    running: dict[int, subprocess.Popen[bytes]] = {}
    try:
        while store.booked() < slots and time.monotonic() < ends:
            for number in range(workers):
                if number not in running or running[number].poll() is not None:
                    running[number] = start_worker(addresses, folder, slots, number)
            time.sleep(PAUSE_S)
        for process in running.values():
            process.wait(max(1.0, ends - time.monotonic()))
    finally:
        for process in running.values():
            process.kill()
            process.wait()
    return summarize(store, folder / "events", slots)


def start_worker(addresses: list[str], folder: Path, slots: int, number: int) -> subprocess.Popen[bytes]:
    """Starts a worker process."""
    words = [sys.executable, __file__, *addresses, "--folder", str(folder), "--slots", str(slots)]
    return subprocess.Popen([*words, "--worker", str(number)])


def summarize(store: Store, log: Path, slots: int) -> dict[str, Any]:
    """The summary that the driver prints; `well` tells whether all went as it should."""
    bookings = store.bookings()
    events = Counter(log.read_text().split()) if log.exists() else Counter()
    fences = [fence for _, _, fence in bookings]
    twice = len(bookings) - len({slot for slot, _, _ in bookings})
    found = {
        "booked": len(bookings),
        "twice": twice,
        "fences_in_order": all(a <= b for a, b in zip(fences, fences[1:], strict=False)),
        "killed": events["killed"],
        "late_refused": events["late-refused"],
        "late_taken": events["late-taken"],
    }
    well = found["booked"] == slots and not twice and found["fences_in_order"] and not events["late-taken"]
    return {**found, "well": well}


def main() -> int:
    parser = argparse.ArgumentParser(description="Books slots under a lock, with a store that checks fences.")
    parser.add_argument("addresses", nargs="+", help="Ctl addresses of gateways, ip:port")
    parser.add_argument("--folder", type=Path, required=True, help="for the store, empty at first")
    parser.add_argument("--slots", type=int, default=30)
    parser.add_argument("--workers", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=120.0, help="at most")
    parser.add_argument("--worker", type=int, default=-1, help="run one worker; by the driver")
    args = parser.parse_args()
    if args.worker >= 0:
        Worker(Gateways(args.addresses), args.folder, args.worker, args.slots).run()
        return 0
    found = drive(args.addresses, args.folder, args.slots, args.workers, args.seconds)
    print(json.dumps(found))
    return 0 if found["well"] else 1


if __name__ == "__main__":
    sys.exit(main())
