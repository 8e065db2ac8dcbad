"""The spool: order, bounds, kills at any point, disks that fail in the middle of a write."""

from __future__ import annotations

import random
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from memory_disk import Disk

from coralvale.disk import Folder, encode_record
from coralvale.syslog.spool import HEADER, Spool


def drain(spool: Spool, size: int = 300) -> list[bytes]:
    found = list[bytes]()
    while batch := spool.fetch(size):
        found += batch
        spool.advance(len(batch))
    return found


def rows(first: int, count: int, rank: int = 2, size: int = 100) -> list[tuple[int, int, bytes]]:
    return [(rank, n, b"%d " % n + b"x" * size) for n in range(first, first + count)]


def numbers(found: list[bytes]) -> list[int]:
    return [int(data.split()[0]) for data in found]


@settings(max_examples=60, deadline=None)
@given(st.integers(0, 2**32))
def test_any_course_of_calls_kills_and_full_disks_loses_nothing_that_was_stored(seed: int) -> None:
    """Played against a list: what was stored and is not done with comes back, in order, whatever happens."""
    lots, disk = random.Random(seed), Disk()
    spool, owed, serial, out = Spool(disk, 1 << 20, 4096), list[int](), 0, 0
    for _ in range(120):
        lot = lots.random()
        if lot < 0.4:
            batch = rows(serial, lots.randrange(1, 12), size=lots.choice([5, 200, 3000]))
            serial += len(batch)
            if lots.random() < 0.2:
                disk.room = lots.randrange(0, 4000)
            try:
                assert not spool.append(batch)
                owed += [sequence for _, sequence, _ in batch]
            except OSError:
                # Part of it may be there, and is then sent: never out of order, never in place of another.
                spool.rewind()
                there = numbers(drain_all(disk))
                extra = [n for n in there if n >= batch[0][1]]
                assert there == [*owed, *extra] and extra == [n for _, n, _ in batch][: len(extra)]
                owed, out = there, 0
            disk.room = 1 << 40
        elif lot < 0.7:
            got = numbers(list(spool.fetch(lots.choice([1, 500, 9000]))))
            assert got == owed[out : out + len(got)]
            assert got or out == len(owed)
            out += len(got)
        elif lot < 0.85 and out:
            done = lots.randrange(1, out + 1)
            spool.advance(done)
            owed, out = owed[done:], out - done
        elif lot < 0.93:
            spool.rewind()
            out = 0
        else:  # a kill
            spool, out = Spool(disk, 1 << 20, 4096), 0
    spool.rewind()
    assert numbers(drain(spool)) == owed
    assert spool.damaged <= 120


def drain_all(disk: Disk) -> list[bytes]:
    """What another process would find."""
    copy = Disk()
    copy.files = dict(disk.files)
    return drain(Spool(copy, 1 << 20, 4096))


def test_a_flood_of_refusals_leaves_room_for_what_was_served() -> None:
    spool = Spool(Disk(), 64 * 1024, 8192)
    left = spool.append(rows(0, 1000, rank=0))
    assert left and min(left) == 1000 - len(left)  # the first ones are there, up to 60%
    assert spool.size <= 0.6 * 64 * 1024
    assert not spool.append(rows(2000, 50)) and spool.append(rows(3000, 500, rank=1))
    left = spool.append(rows(4000, 500, rank=2))
    assert left and 0.9 * 64 * 1024 < spool.size <= 64 * 1024
    found = drain(spool)
    assert numbers(found) == sorted(numbers(found)) and spool.size < 3 * 8192
    assert not spool.append(rows(5000, 20, rank=0))


def test_a_segment_cut_off_or_damaged_costs_what_was_damaged_alone(tmp_path: Path) -> None:
    folder = Folder(str(tmp_path))
    spool = Spool(folder, 1 << 20, 4096)
    for n in range(0, 100, 10):
        spool.append(rows(n, 10))
    spool.close()
    names = sorted(n for n in folder.names() if n.startswith("spool-"))
    assert len(names) > 2
    first, last = tmp_path / names[0], tmp_path / names[-1]
    data = bytearray(first.read_bytes())
    one = len(encode_record(rows(0, 1)[0][2]))
    data[len(HEADER) + 3 * one + 20] ^= 0xFF  # in the message of number 3
    first.write_bytes(bytes(data))
    with last.open("r+b") as file:
        file.truncate(last.stat().st_size - 7)  # a kill, or a power cut, in the middle of the last one
    again = Spool(folder, 1 << 20, 4096)
    again.append(rows(100, 5))
    assert numbers(drain(again)) == [n for n in range(105) if n not in (3, 99)]
    assert again.damaged == 2
    again.close()
    folder.close()
    with pytest.raises(ValueError, match="a spool of 10 bytes"):
        Spool(Folder(str(tmp_path)), 10)
