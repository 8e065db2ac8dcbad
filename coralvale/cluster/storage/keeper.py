"""Offline operations on a gateway's database while its process is stopped: inspect, check, export,
restore."""

from __future__ import annotations

import base64
import sqlite3
from pathlib import Path
from typing import Any

import msgspec

from coralvale.cluster.configuration.history import Change, ChangeHistory, Image
from coralvale.cluster.consensus.messages import (
    CHANGE,
    COORDINATION,
    NO_OP,
    READ,
    SHARES,
    VOTERS,
    Member,
    Snapshot,
    VoterSet,
    Write,
)
from coralvale.cluster.consensus.voters import decode_voters
from coralvale.cluster.coordination.model import unpack_batch
from coralvale.cluster.coordination.state import CoordinationState
from coralvale.cluster.rate_limit.shares import ShareTable
from coralvale.cluster.storage.store import DATABASE_FILE, Store, StoreError

EXPORT_FORMAT = 1
VIEW_SKIP = 1000  # added to the exported view, so that the restored log is ahead of the lost one
# Added to fences, counters and revisions: more than the lost log can have given out since the export.
COUNTER_SKIP = 2**32
ENTRY_KIND_NAMES = {
    NO_OP: "opening",
    CHANGE: "change",
    VOTERS: "voters",
    READ: "read",
    SHARES: "shares",
    COORDINATION: "coordination",
}
_change = msgspec.msgpack.Decoder(Change).decode


class DiskStateError(Exception):
    """The operation is not possible; the message is one line that names the file or field."""


def _open(folder: Path) -> Store:
    if not (folder / DATABASE_FILE).exists():
        raise DiskStateError(f"{folder / DATABASE_FILE}: no such file")
    try:
        return Store(str(folder))
    except (StoreError, sqlite3.Error, OSError) as error:
        raise DiskStateError(str(error)) from None


def inspect_state(folder: Path) -> dict[str, Any]:
    """The contents of a gateway's database, as a dictionary for JSON. Raises DiskStateError if it cannot be
    read."""
    store = _open(folder)
    try:
        state = store.load()
    except StoreError as error:
        raise DiskStateError(str(error)) from None
    finally:
        store.close()
    history, shares, snapshot = ChangeHistory(), ShareTable(), state.snapshot
    coordination = CoordinationState()
    voters = snapshot.voters if snapshot else VoterSet(())
    if snapshot:
        image = history.restore(snapshot.body)
        shares = ShareTable.restored(image.shares)
        coordination.restore(image.coordination)
    entries = []
    for entry in state.entries:
        row: dict[str, Any] = {
            "seq": entry.seq,
            "view": entry.view,
            "kind": ENTRY_KIND_NAMES.get(entry.kind, "?"),
        }
        if entry.kind == VOTERS:
            voters = decode_voters(entry.body)
            row["members"] = [m.name for m in voters.new]
        elif entry.kind == CHANGE:
            change = _change(entry.body)
            row |= {"base": change.base, "bytes": len(change.body)}
            if (snapshot.seq if snapshot else 0) < entry.seq <= state.commit:
                row["taken"] = history.deliver(entry.body)
                row["version"] = history.configuration.version
        elif entry.kind == SHARES and (snapshot.seq if snapshot else 0) < entry.seq <= state.commit:
            row["taken"] = shares.deliver(entry.body) is not None
        elif entry.kind == COORDINATION and (snapshot.seq if snapshot else 0) < entry.seq <= state.commit:
            row["operations"] = len(coordination.apply(unpack_batch(entry.body)))
        entries.append(row)
    return {
        "file": str(folder / DATABASE_FILE),
        "disk": store.id,
        "view": state.view,
        "vote": state.vote,
        "delivered": state.commit,
        "snapshot": snapshot.seq if snapshot else 0,
        "entries": entries,
        "members": [{"id": m.id, "name": m.name, "ip": m.ip} for m in voters.new],
        "changing": bool(voters.old),
        "version": history.configuration.version,
        "routes": len(history.configuration.items.get("Routes", {})),
        "config": history.configuration.raw,
        "image": base64.b64encode(history.image(shares.image(), coordination.image())).decode(),
    }


def export(folder: Path) -> dict[str, Any]:
    """The input for `restore`: the newest state that this disk knows to be committed."""
    found = inspect_state(folder)
    return {"format": EXPORT_FORMAT} | {
        name: found[name] for name in ("disk", "view", "delivered", "version", "image")
    }


def _image_for_restore(body: bytes) -> bytes:
    """The image for a new log, with fences, counters and revisions that the lost log may have given out
    skipped.

    Raises ValueError or msgspec.MsgspecError if the image cannot be used.
    """
    msgspec.msgpack.decode(body, type=Image)
    history, coordination = ChangeHistory(), CoordinationState()
    image = history.restore(body)
    coordination.restore(image.coordination)
    coordination.skip_ahead(COUNTER_SKIP)
    return history.image(image.shares, coordination.image())


def restore(exported: dict[str, Any], folder: Path, hostname: str, ip: str) -> str:
    """Makes an empty disk the only voter of a new log that starts from an export; returns the disk's id.

    `exported`: the decoded output of `export`. Only for losses beyond the fault budget, the number of voters
    whose simultaneous loss is tolerated: surviving voters of the old log would not know of the new one.
    """
    if exported.get("format") != EXPORT_FORMAT:
        raise DiskStateError(f"format: {exported.get('format')!r}, expected {EXPORT_FORMAT}")
    if (folder / DATABASE_FILE).exists():
        raise DiskStateError(f"{folder / DATABASE_FILE}: is there already; a restore begins on an empty disk")
    try:
        body = _image_for_restore(base64.b64decode(exported["image"]))
        view, seq = int(exported["view"]) + VIEW_SKIP, int(exported["delivered"])
    except (KeyError, ValueError, TypeError, msgspec.MsgspecError) as error:
        raise DiskStateError(f"the export cannot be used: {error}") from None
    store = Store(str(folder))
    try:
        alone = VoterSet((Member(store.id, hostname, ip),))
        snapshot = Snapshot(max(1, seq), view, alone, body)
        store.write([Write(1, view, "", snapshot.seq, 0, (), snapshot, snapshot.seq)])
        return store.id
    finally:
        store.close()
