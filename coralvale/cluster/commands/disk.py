"""Commands for the state on a gateway's disk while its process is stopped."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

from coralvale.cluster.commands.asking import CommandError


def _inspect(folder: Path) -> dict[str, Any]:
    from coralvale.cluster.storage.keeper import DiskStateError, inspect_state

    try:
        return inspect_state(folder)
    except DiskStateError as error:
        raise CommandError(str(error)) from None


def show(datadir: Path, *, as_json: bool = False) -> int:
    """Show the state on a disk whose process is stopped.

    :param datadir: the settings' Datadir
    :param as_json: print one JSON object, which includes the configuration
    """
    found = _inspect(datadir)
    if as_json:
        print(json.dumps({name: value for name, value in found.items() if name != "image"}))
        return 0
    members = ", ".join(m["name"] for m in found["members"]) or "none"
    print(f"{found['file']}: disk {found['disk']}, view {found['view']}, members {members}")
    print(f"version {found['version']} ({found['routes']} routes), delivered up to {found['delivered']}")
    for row in found["entries"]:
        more = {k: v for k, v in row.items() if k not in ("seq", "view", "kind")}
        print(f"{row['seq']:>8} view {row['view']:<5} {row['kind']:<8} {more or ''}")
    return 0


def check_state(datadir: Path) -> int:
    """Check whether the state on a disk is readable and intact.

    :param datadir: the settings' Datadir
    """
    found = _inspect(datadir)
    print(f"{found['file']}: well, version {found['version']}, delivered up to {found['delivered']}")
    return 0


def export(datadir: Path) -> int:
    """Print the input of `restore`: the newest configuration that this disk knows to be delivered.

    :param datadir: the settings' Datadir
    """
    from coralvale.cluster.storage import keeper

    try:
        print(json.dumps(keeper.export(datadir)))
    except keeper.DiskStateError as error:
        raise CommandError(str(error)) from None
    return 0


def restore(file: Path, datadir: Path, *, hostname: str, ip: str, all_others_are_lost: bool = False) -> int:
    """Start a new core from an export, after a loss beyond the fault budget.

    :param file: the output of `export`
    :param datadir: an empty Datadir of the machine that founds the new core
    :param hostname: that machine's Hostname
    :param ip: that machine's Ip
    :param all_others_are_lost: required: a surviving member of the old core would run beside the new one
    """
    from coralvale.cluster.storage import keeper

    if not all_others_are_lost:
        raise CommandError(
            "refused: empty the disks of all other members first, then give --all-others-are-lost"
        )
    try:
        name = keeper.restore(json.loads(file.read_bytes()), datadir, hostname, ip)
    except (keeper.DiskStateError, OSError, ValueError) as error:
        raise CommandError(str(error)) from None
    print(
        f"{datadir}: disk {name} is the only member of a new core; start it, then the others on empty disks"
    )
    return 0
