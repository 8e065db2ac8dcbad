"""The disk: a write is there whole or not at all, what is not ours is refused by name, and an export begins
anew."""

from __future__ import annotations

import base64
import json
import shutil
import sqlite3
from pathlib import Path

import msgspec
import pytest
from test_configuration import WHOLE, body

from coralvale.cluster import commands
from coralvale.cluster.configuration.history import Change, Image, pack
from coralvale.cluster.consensus import messages as m
from coralvale.cluster.consensus.voters import pack_voters
from coralvale.cluster.coordination.state import CoordinationState
from coralvale.cluster.registry.register import Row
from coralvale.cluster.storage.keeper import SKIPPED, KeeperError, export, look, restore
from coralvale.cluster.storage.store import NAME, Store, StoreError

VOTERS = m.VoterSet((m.Member("a", "gateway-a", "10.0.0.1"),))


def filled(folder: Path, upto: int = 3) -> Store:
    store = Store(str(folder))
    first = m.Entry(1, 1, m.VOTERS, pack_voters(VOTERS))
    change = m.Entry(2, 1, m.CHANGE, pack(Change(0, True, body(WHOLE))))
    later = body({"Ver": 7, "Remove": {"Routes": ["deep"]}})
    last = m.Entry(3, 1, m.CHANGE, pack(Change(2, False, later)))
    for number, entry in enumerate((first, change, last)[:upto], 1):
        store.write([m.Write(number, 1, "a", number, None, (entry,))])
    return store


def test_what_was_written_is_read_and_a_snapshot_takes_the_place_of_what_led_to_it(tmp_path: Path) -> None:
    store = filled(tmp_path)
    record = store.load()
    assert (record.view, record.vote, record.commit, [e.seq for e in record.entries]) == (
        1,
        "a",
        3,
        [1, 2, 3],
    )
    saved = m.Snapshot(2, 1, VOTERS, b"")
    store.write(
        [
            m.Write(4, 2, "b", 3, None, (), saved, 2),
            m.Write(5, 2, "b", 3, 3, (m.Entry(3, 2, m.OPENING),)),
        ]
    )
    store.close()
    again = Store(str(tmp_path))
    record = again.load()
    assert again.id == store.id and record.snapshot == saved
    assert [(e.seq, e.view) for e in record.entries] == [(2, 1), (3, 2)]  # one is kept behind the snapshot
    again.write(
        [m.Write(6, 3, "", 9, 0, (), m.Snapshot(9, 3, VOTERS, b""), 9)]
    )  # one that came from the leader
    assert again.load().entries == []


def test_a_write_that_fails_half_way_leaves_nothing(tmp_path: Path) -> None:
    store = filled(tmp_path)
    bad = m.Entry(4, 1, m.CHANGE, object())  # type: ignore[arg-type]
    with pytest.raises(sqlite3.Error):
        store.write([m.Write(4, 9, "z", 3, 2, (m.Entry(2, 9, m.OPENING), bad))])
    record = store.load()
    assert (record.view, [(e.seq, e.view) for e in record.entries]) == (1, [(1, 1), (2, 1), (3, 1)])
    store.write([m.Write(4, 1, "a", 3, None, (m.Entry(4, 1, m.OPENING),))])  # and it goes on
    assert len(store.load().entries) == 4


def test_power_lost_at_any_write_leaves_what_was_synced_before(tmp_path: Path) -> None:
    """Copies of the folder as it stands after each write, with the newest log torn off: what is read is a
    beginning of what was written, and never less than what the torn write came after."""
    source, seen = tmp_path / "source", []
    store = filled(source)
    log = source / f"{NAME}-wal"
    size = log.stat().st_size
    for cut in range(0, size, max(1, size // 60)):
        copy = tmp_path / "copy"
        shutil.rmtree(copy, ignore_errors=True)
        shutil.copytree(source, copy)
        with (copy / log.name).open("r+b") as file:
            file.truncate(cut)
        try:
            torn = Store(str(copy))
        except StoreError as error:
            raise AssertionError(f"cut at {cut}: {error}") from error
        seen.append([e.seq for e in torn.load().entries])
        torn.close()
    store.close()
    assert all(entries == list(range(1, len(entries) + 1)) for entries in seen)
    assert [len(e) for e in seen] == sorted(len(e) for e in seen) and {0, 1, 2} <= {len(e) for e in seen}


def test_a_disk_that_cannot_be_read_for_a_moment_is_not_taken_for_damaged(tmp_path: Path) -> None:
    store = filled(tmp_path)

    class Unreadable:
        def execute(self, *words: object) -> None:
            raise sqlite3.OperationalError("disk I/O error")

    right, store.db = store.db, Unreadable()  # type: ignore[assignment]
    with pytest.raises(sqlite3.OperationalError):
        store.load()
    store.db = right
    assert store.load().commit == 3


def test_what_is_not_ours_or_newer_is_refused_by_name(tmp_path: Path) -> None:
    (tmp_path / "foreign").mkdir()
    (tmp_path / "foreign" / NAME).write_bytes(b"not a database at all" * 400)
    with pytest.raises(StoreError, match=NAME):
        Store(str(tmp_path / "foreign"))
    store = filled(tmp_path / "newer")
    store.db.execute("UPDATE fact SET value = 99 WHERE name = 'layout'")
    store.close()
    with pytest.raises(StoreError, match="layout 99"):
        Store(str(tmp_path / "newer"))
    holed = filled(tmp_path / "holed")
    holed.db.execute("DELETE FROM entry WHERE seq = 2")
    with pytest.raises(StoreError, match="missing"):
        holed.load()


def test_hosts_are_remembered_and_no_harm_if_not(tmp_path: Path) -> None:
    store = filled(tmp_path)
    rows = [Row(f"i-{n}", "s", "10.0.0.1", 80 + n, "z", "v", 4, 0, 0.0, n) for n in range(30)]
    assert store.hosts() == []
    store.put_hosts(rows)
    store.put_hosts(rows[:20])
    store.close()
    again = Store(str(tmp_path))
    assert sorted(again.hosts(), key=lambda r: r.port) == rows[:20] and len(again.load().entries) == 3
    again.db.execute("UPDATE host SET row = 'torn'")
    assert again.hosts() == []


def test_an_export_begins_a_new_core_on_an_empty_disk_alone(tmp_path: Path) -> None:
    filled(tmp_path / "old").close()
    found = look(tmp_path / "old")
    assert found["version"] == 7 and set(found["config"]["Routes"]) == {"r"}
    kept = json.loads(json.dumps(export(tmp_path / "old")))
    with pytest.raises(KeeperError, match="there already"):
        restore(kept, tmp_path / "old", "gateway-b", "10.0.0.2")
    name = restore(kept, tmp_path / "new", "gateway-b", "10.0.0.2")
    again = look(tmp_path / "new")
    assert again["config"] == found["config"] and again["view"] > found["view"]
    image = msgspec.msgpack.decode(base64.b64decode(again["image"]), type=Image)
    coordination = CoordinationState()
    coordination.restore(image.coordination)
    assert coordination.last_fence >= SKIPPED  # what the lost core may have given is not given again
    assert [x["id"] for x in again["members"]] == [name]
    for wrong in ({}, {**kept, "image": "!"}, {**kept, "format": 2}):
        with pytest.raises(KeeperError):
            restore(wrong, tmp_path / "third", "gateway-c", "10.0.0.3")


def test_the_commands_say_what_is_wrong_and_end_with_their_codes(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    filled(tmp_path / "old").close()
    config = tmp_path / "config.json"
    config.write_bytes(body({**WHOLE, "Routes": {"r": {"Vhost": "a"}}}))
    assert commands.main(["check", str(config), "--configuration", "--as-json"]) == 1
    assert "PathPrefix" in json.loads(capsys.readouterr().out)["mistakes"][0]
    settings = tmp_path / "settings.yaml"
    settings.write_text(
        "Hostname: a\nIp: 10.0.0.1\nAz: z\nPortRange: [9]\nListen: {Edge: nowhere}\nSeeds: [x]"
    )
    assert commands.main(["check", str(settings)]) == 1
    told = capsys.readouterr().out
    assert "PortRange" in told and "Listen.Edge" in told and "Seeds[0]" in told
    example = Path(__file__).parents[2] / "deploy/cluster.example.yaml"
    assert commands.main(["check", str(example), "--as-json"]) == 0
    assert not json.loads(capsys.readouterr().out)["remarks"]
    settings.write_text(
        example.read_text().replace("Voting: true", "Votes: true").replace("zone-1: ", "zone-2: ")
    )
    assert commands.main(["check", str(settings)]) == 0
    told = capsys.readouterr().out
    assert (
        "Votes: not known" in told and "Datadir: not used" in told and "'zone-1' is not among Zones" in told
    )
    assert commands.main(["check", str(tmp_path / "none")]) == 2
    assert commands.main(["state", "show", str(tmp_path / "old"), "--as-json"]) == 0
    assert json.loads(capsys.readouterr().out)["version"] == 7
    assert commands.main(["state", "check", str(tmp_path / "none")]) == 2
    assert commands.main(["state", "export", str(tmp_path / "old")]) == 0
    (tmp_path / "kept").write_text(capsys.readouterr().out)
    words = [
        "state",
        "restore",
        str(tmp_path / "kept"),
        str(tmp_path / "new"),
        "--hostname",
        "b",
        "--ip",
        "10.0.0.2",
    ]
    assert commands.main(words) == 2 and "--all-others-are-lost" in capsys.readouterr().err
    assert commands.main([*words, "--all-others-are-lost"]) == 0
    capsys.readouterr()
    assert commands.main(["events"]) == 0
    page = Path(__file__).parents[2] / "docs" / "operate" / "cluster-events.md"
    assert capsys.readouterr().out in page.read_text(), (
        "docs/operate/cluster-events.md: make it anew from `events`"
    )
