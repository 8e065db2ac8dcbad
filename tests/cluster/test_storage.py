"""The store: writes are atomic, foreign databases are refused with their file name, and an export can be
restored."""

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
from coralvale.cluster.consensus.voters import encode_voters
from coralvale.cluster.coordination.state import CoordinationState
from coralvale.cluster.registry.register import Row
from coralvale.cluster.storage.keeper import COUNTER_SKIP, DiskStateError, export, inspect_state, restore
from coralvale.cluster.storage.store import DATABASE_FILE, Store, StoreError

VOTERS = m.VoterSet((m.Member("a", "gateway-a", "10.0.0.1"),))


def filled(folder: Path, upto: int = 3) -> Store:
    store = Store(str(folder))
    first = m.Entry(1, 1, m.VOTERS, encode_voters(VOTERS))
    change = m.Entry(2, 1, m.CHANGE, pack(Change(0, True, body(WHOLE))))
    later = body({"Ver": 7, "Remove": {"Routes": ["deep"]}})
    last = m.Entry(3, 1, m.CHANGE, pack(Change(2, False, later)))
    for number, entry in enumerate((first, change, last)[:upto], 1):
        store.write([m.Write(number, 1, "a", number, None, (entry,))])
    return store


def test_writes_are_read_back_and_a_snapshot_replaces_entries(tmp_path: Path) -> None:
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
            m.Write(5, 2, "b", 3, 3, (m.Entry(3, 2, m.NO_OP),)),
        ]
    )
    store.close()
    again = Store(str(tmp_path))
    record = again.load()
    assert again.id == store.id and record.snapshot == saved
    assert [(e.seq, e.view) for e in record.entries] == [
        (2, 1),
        (3, 2),
    ]  # one entry is kept behind the snapshot
    # A snapshot from the leader.
    again.write([m.Write(6, 3, "", 9, 0, (), m.Snapshot(9, 3, VOTERS, b""), 9)])
    assert again.load().entries == []


def test_failed_write_leaves_no_partial_data(tmp_path: Path) -> None:
    store = filled(tmp_path)
    bad = m.Entry(4, 1, m.CHANGE, object())  # type: ignore[arg-type]
    with pytest.raises(sqlite3.Error):
        store.write([m.Write(4, 9, "z", 3, 2, (m.Entry(2, 9, m.NO_OP), bad))])
    record = store.load()
    assert (record.view, [(e.seq, e.view) for e in record.entries]) == (1, [(1, 1), (2, 1), (3, 1)])
    store.write([m.Write(4, 1, "a", 3, None, (m.Entry(4, 1, m.NO_OP),))])  # later writes succeed
    assert len(store.load().entries) == 4


def test_truncated_wal_yields_a_prefix_of_the_writes(tmp_path: Path) -> None:
    """Copies the folder and truncates the write-ahead log at many places: what is read must be a prefix of
    what was written, and longer logs must not yield fewer entries."""
    source, seen = tmp_path / "source", []
    store = filled(source)
    log = source / f"{DATABASE_FILE}-wal"
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


def test_temporary_read_error_is_not_reported_as_damage(tmp_path: Path) -> None:
    store = filled(tmp_path)

    class Unreadable:
        def execute(self, *words: object) -> None:
            raise sqlite3.OperationalError("disk I/O error")

    right, store.db = store.db, Unreadable()  # type: ignore[assignment]
    with pytest.raises(sqlite3.OperationalError):
        store.load()
    store.db = right
    assert store.load().commit == 3


def test_foreign_newer_or_incomplete_databases_are_refused(tmp_path: Path) -> None:
    (tmp_path / "foreign").mkdir()
    (tmp_path / "foreign" / DATABASE_FILE).write_bytes(b"not a database at all" * 400)
    with pytest.raises(StoreError, match=DATABASE_FILE):
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


def test_stored_hosts_are_loaded_and_unreadable_ones_are_ignored(tmp_path: Path) -> None:
    store = filled(tmp_path)
    rows = [Row(f"i-{n}", "s", "10.0.0.1", 80 + n, "z", "v", 4, 0, 0.0, n) for n in range(30)]
    assert store.load_hosts() == []
    store.save_hosts(rows)
    store.save_hosts(rows[:20])
    store.close()
    again = Store(str(tmp_path))
    assert sorted(again.load_hosts(), key=lambda r: r.port) == rows[:20] and len(again.load().entries) == 3
    again.db.execute("UPDATE host SET row = 'torn'")
    assert again.load_hosts() == []


def test_export_can_be_restored_only_on_an_empty_disk(tmp_path: Path) -> None:
    filled(tmp_path / "old").close()
    found = inspect_state(tmp_path / "old")
    assert found["version"] == 7 and set(found["config"]["Routes"]) == {"r"}
    kept = json.loads(json.dumps(export(tmp_path / "old")))
    with pytest.raises(DiskStateError, match="there already"):
        restore(kept, tmp_path / "old", "gateway-b", "10.0.0.2")
    name = restore(kept, tmp_path / "new", "gateway-b", "10.0.0.2")
    again = inspect_state(tmp_path / "new")
    assert again["config"] == found["config"] and again["view"] > found["view"]
    image = msgspec.msgpack.decode(base64.b64decode(again["image"]), type=Image)
    coordination = CoordinationState()
    coordination.restore(image.coordination)
    assert coordination.last_fence >= COUNTER_SKIP  # values that the lost core may have given out are skipped
    assert [x["id"] for x in again["members"]] == [name]
    for wrong in ({}, {**kept, "image": "!"}, {**kept, "format": 2}):
        with pytest.raises(DiskStateError):
            restore(wrong, tmp_path / "third", "gateway-c", "10.0.0.3")


def test_commands_report_mistakes_and_exit_codes(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
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
