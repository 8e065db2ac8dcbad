"""What an operator may do with a disk's contents while its process is down: look, check, carry out, bring
back."""

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
    OPENING,
    READ,
    SHARES,
    VOTERS,
    Member,
    Snapshot,
    VoterSet,
    Write,
)
from coralvale.cluster.consensus.voters import unpack_voters
from coralvale.cluster.coordination.model import unpack_batch
from coralvale.cluster.coordination.state import CoordinationState
from coralvale.cluster.rate_limit.shares import ShareTable
from coralvale.cluster.storage.store import NAME, Store, StoreError

FORMAT = 1  # of an export
LATER = 1000  # views by which a restored core is ahead of the one that was lost
SKIPPED = 2**32  # fences, numbers and revisions: more than the lost one can have given since the export
KINDS = {
    OPENING: "opening",
    CHANGE: "change",
    VOTERS: "voters",
    READ: "read",
    SHARES: "shares",
    COORDINATION: "coordination",
}
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
        state = store.load()
    except StoreError as error:
        raise KeeperError(str(error)) from None
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
        row: dict[str, Any] = {"seq": entry.seq, "view": entry.view, "kind": KINDS.get(entry.kind, "?")}
        if entry.kind == VOTERS:
            voters = unpack_voters(entry.body)
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
        "file": str(folder / NAME),
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
    """What `restore` takes: the newest configuration that this disk knows to be delivered."""
    found = look(folder)
    return {"format": FORMAT} | {
        name: found[name] for name in ("disk", "view", "delivered", "version", "image")
    }


def _skipped(body: bytes) -> bytes:
    """The image for a core that begins with it: what the lost one may have given since is left out. Raises
    ValueError or msgspec.MsgspecError where it cannot be used."""
    msgspec.msgpack.decode(body, type=Image)
    history, coordination = ChangeHistory(), CoordinationState()
    image = history.restore(body)
    coordination.restore(image.coordination)
    coordination.skip_ahead(SKIPPED)
    return history.image(image.shares, coordination.image())


def restore(kept: dict[str, Any], folder: Path, hostname: str, ip: str) -> str:
    """Makes an empty disk the only member of a new core that begins with an export; its id.

    For a loss beyond the budget only: members of the old core that are still there would not know of it.
    """
    if kept.get("format") != FORMAT:
        raise KeeperError(f"format: {kept.get('format')!r}, expected {FORMAT}")
    if (folder / NAME).exists():
        raise KeeperError(f"{folder / NAME}: is there already; a restore begins on an empty disk")
    try:
        body = _skipped(base64.b64decode(kept["image"]))
        view, seq = int(kept["view"]) + LATER, int(kept["delivered"])
    except (KeyError, ValueError, TypeError, msgspec.MsgspecError) as error:
        raise KeeperError(f"the export cannot be used: {error}") from None
    store = Store(str(folder))
    try:
        alone = VoterSet((Member(store.id, hostname, ip),))
        snapshot = Snapshot(max(1, seq), view, alone, body)
        store.write([Write(1, view, "", snapshot.seq, 0, (), snapshot, snapshot.seq)])
        return store.id
    finally:
        store.close()
