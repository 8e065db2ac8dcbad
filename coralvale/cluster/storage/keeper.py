"""What an operator may do with a disk's contents while its process is down: look, check, carry out, bring
back."""

from __future__ import annotations

import base64
import sqlite3
from pathlib import Path
from typing import Any

import msgspec

from coralvale.cluster.configuration.history import Change, ChangeHistory, Image
from coralvale.cluster.consensus.messages import CHANGE, OPENING, READ, SEATS, Member, Saved, Seats, Write
from coralvale.cluster.consensus.voters import unpack_seats
from coralvale.cluster.storage.store import NAME, Store, StoreError

FORMAT = 1  # of an export
LATER = 1000  # views by which a restored core is ahead of the one that was lost
KINDS = {OPENING: "opening", CHANGE: "change", SEATS: "seats", READ: "read"}
_change = msgspec.msgpack.Decoder(Change).decode


class KeeperError(Exception):
    """Cannot be done; one line that names the place."""


def _open(folder: Path) -> Store:
    if not (folder / NAME).exists():
        raise KeeperError(f"{folder / NAME}: no such file")
    try:
        return Store(str(folder))
    except (StoreError, sqlite3.Error, OSError) as error:
        raise KeeperError(str(error)) from None


def look(folder: Path) -> dict[str, Any]:
    """All that a disk holds, in words. Raises KeeperError where it cannot be read."""
    store = _open(folder)
    try:
        record = store.load()
    except StoreError as error:
        raise KeeperError(str(error)) from None
    finally:
        store.close()
    history, seats = ChangeHistory(), record.saved.seats if record.saved else Seats(())
    if record.saved:
        history.restore(record.saved.body)
    entries = []
    for entry in record.entries:
        row: dict[str, Any] = {"seq": entry.seq, "view": entry.view, "kind": KINDS.get(entry.kind, "?")}
        if entry.kind == SEATS:
            seats = unpack_seats(entry.body)
            row["members"] = [m.name for m in seats.new]
        elif entry.kind == CHANGE:
            change = _change(entry.body)
            row |= {"base": change.base, "bytes": len(change.body)}
            if entry.seq <= record.commit:
                row["taken"] = history.deliver(entry.body)
                row["version"] = history.configuration.version
        entries.append(row)
    return {
        "file": str(folder / NAME),
        "disk": store.id,
        "view": record.view,
        "vote": record.vote,
        "delivered": record.commit,
        "snapshot": record.saved.seq if record.saved else 0,
        "entries": entries,
        "members": [{"id": m.id, "name": m.name, "ip": m.ip} for m in seats.new],
        "changing": bool(seats.old),
        "version": history.configuration.version,
        "routes": len(history.configuration.items.get("Routes", {})),
        "config": history.configuration.raw,
        "image": base64.b64encode(history.image()).decode(),
    }


def export(folder: Path) -> dict[str, Any]:
    """What `restore` takes: the newest configuration that this disk knows to be delivered."""
    found = look(folder)
    return {"format": FORMAT} | {
        name: found[name] for name in ("disk", "view", "delivered", "version", "image")
    }


def restore(kept: dict[str, Any], folder: Path, hostname: str, ip: str) -> str:
    """Makes an empty disk the only member of a new core that begins with an export; its id.

    For a loss beyond the budget only: members of the old core that are still there would not know of it.
    """
    if kept.get("format") != FORMAT:
        raise KeeperError(f"format: {kept.get('format')!r}, expected {FORMAT}")
    if (folder / NAME).exists():
        raise KeeperError(f"{folder / NAME}: is there already; a restore begins on an empty disk")
    try:
        body = base64.b64decode(kept["image"])
        msgspec.msgpack.decode(body, type=Image)
        ChangeHistory().restore(body)
        view, seq = int(kept["view"]) + LATER, int(kept["delivered"])
    except (KeyError, ValueError, TypeError, msgspec.MsgspecError) as error:
        raise KeeperError(f"the export cannot be used: {error}") from None
    store = Store(str(folder))
    try:
        saved = Saved(max(1, seq), view, Seats((Member(store.id, hostname, ip),)), body)
        store.write([Write(1, view, "", saved.seq, 0, (), saved)])
        return store.id
    finally:
        store.close()
