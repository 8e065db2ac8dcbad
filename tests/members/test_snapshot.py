"""What a member keeps: whole or as it was before, whatever operation the machine stops at."""

from __future__ import annotations

import random

import pytest
from attempts.disk import Crash, Disk

from coralvale.members.model import MembersError
from coralvale.members.snapshot import LATER, MOST, NAME, TRUST, load, save

OTHERS = [("10.0.0.2", 18300), ("10.0.0.3", 18300)]


class Kept(Disk):
    """With what `coralvale.disk.Folder` does to put a file in another's place."""

    def read(self, name: str) -> bytes:
        if name not in self.files:
            raise FileNotFoundError(2, "No such file")
        return super().read(name)

    def replace(self, name: str, data: bytes) -> None:
        handle = self.create(f"{name}.new")
        handle.write(data)
        self.rename(f"{name}.new", name)


def keep(disk: Disk, incarnation: int, at: float = 1000.0) -> None:
    save(disk, "litoral", "g1", incarnation, at, OTHERS)  # type: ignore[arg-type]


def found(disk: Disk, now: float = 1001.0, name: str = "g1") -> tuple[int, list[tuple[str, int]]]:
    return load(disk, "litoral", name, now)  # type: ignore[arg-type]


def test_what_is_kept_is_found_again_and_nothing_is_found_in_an_empty_folder() -> None:
    disk = Kept()
    assert found(disk) == (0, [])
    keep(disk, 7)
    assert found(disk) == (7, OTHERS)


@pytest.mark.parametrize("stop_at", range(4))
@pytest.mark.parametrize("seed", range(6))
def test_at_whatever_operation_it_stops_the_old_or_the_new_is_found_or_none(stop_at: int, seed: int) -> None:
    disk = Kept()
    keep(disk, 7)
    for content in disk.files.values():
        content.synced = len(content.data)
    disk.operations, disk.crash_at = 0, stop_at
    crashed = False
    try:
        keep(disk, 8)
    except Crash:
        crashed = True
    assert crashed is (stop_at < 3)  # three operations in all
    left = Kept(files=disk.after_crash(random.Random(seed)).files)
    told = found(left)
    assert told in ((7, OTHERS), (8, OTHERS)) or (told == (0, []) and not crashed)
    keep(left, 9)
    assert found(left) == (9, OTHERS)


def test_a_full_disk_leaves_what_was_kept() -> None:
    disk = Kept()
    keep(disk, 7)
    disk.writes_fail = True
    with pytest.raises(OSError):
        keep(disk, 8)
    assert found(disk) == (7, OTHERS)


@pytest.mark.parametrize(
    ("now", "trusted"), [(1000.0 + TRUST, True), (1001.0 + TRUST, False), (999.0 - LATER, False)]
)
def test_addresses_are_trusted_for_a_while_the_incarnation_for_good(now: float, trusted: bool) -> None:
    disk = Kept()
    keep(disk, 7)
    assert found(disk, now) == (7, OTHERS if trusted else [])


def test_another_members_folder_is_refused_and_damage_counts_as_none() -> None:
    disk = Kept()
    keep(disk, 7)
    with pytest.raises(MembersError, match="directory: belongs to 'g1'"):
        found(disk, name="g2")
    data = disk.files[NAME].data
    for place in range(len(data)):
        data[place] ^= 0x41
        assert found(disk) == (0, [])
        data[place] ^= 0x41
    assert found(disk) == (7, OTHERS)


def test_what_is_kept_is_bounded() -> None:
    disk = Kept()
    save(disk, "litoral", "g1", 1, 0.0, [("h" * 60, 1 + n) for n in range(5000)])  # type: ignore[arg-type]
    assert len(found(disk, 0.0)[1]) == MOST
