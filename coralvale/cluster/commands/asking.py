"""What commands share: one line for what cannot be carried out, calls of a gateway, files of logs."""

from __future__ import annotations

import json
from collections.abc import Iterator
from pathlib import Path
from typing import Any


class CommandError(Exception):
    """A command cannot be carried out; one line."""


def call_gateway(address: str, name: str) -> Any:  # noqa: ANN401
    """What a gateway answers to a call without a body. Raises Fault where that is not 200."""
    from coralvale.cluster.sending import post

    try:
        status, body = post(address, f"/rpc?call={name}", b"")
        if status != 200:
            raise CommandError(f"{address}: {status} {body.decode(errors='replace')}")
        return json.loads(body)
    except (OSError, ValueError) as error:
        raise CommandError(f"{address}: {error}") from None


def call_for_object(address: str, name: str) -> dict[str, Any]:
    """The same, of a call that is answered by an object."""
    found = call_gateway(address, name)
    if not isinstance(found, dict):
        raise CommandError(f"{address}: not an answer of a gateway")
    return found


def read_logs(paths: tuple[Path, ...]) -> Iterator[tuple[Path, list[str]]]:
    """Files of logs, with those of folders, and their lines."""
    for file in [f for path in paths for f in (sorted(path.iterdir()) if path.is_dir() else [path])]:
        try:
            yield file, file.read_text(errors="replace").splitlines()
        except OSError as error:
            raise CommandError(f"{file}: {error.strerror}") from None
