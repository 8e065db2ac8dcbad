"""Helpers that the commands share: their error, calls to a gateway, reading of log files."""

from __future__ import annotations

import json
from collections.abc import Iterator
from pathlib import Path
from typing import Any


class CommandError(Exception):
    """A command cannot be carried out. Its text is one line for the user."""


def call_gateway(address: str, name: str) -> Any:  # noqa: ANN401
    """A gateway's decoded JSON answer to a call without a body. Raises CommandError unless it is a 200."""
    from coralvale.cluster.sending import post

    try:
        status, body = post(address, f"/rpc?call={name}", b"")
        if status != 200:
            raise CommandError(f"{address}: {status} {body.decode(errors='replace')}")
        return json.loads(body)
    except (OSError, ValueError) as error:
        raise CommandError(f"{address}: {error}") from None


def call_for_object(address: str, name: str) -> dict[str, Any]:
    """Like `call_gateway`, for a call that is answered by a JSON object."""
    found = call_gateway(address, name)
    if not isinstance(found, dict):
        raise CommandError(f"{address}: the answer is not a JSON object; is this a gateway's Ctl address?")
    return found


def read_logs(paths: tuple[Path, ...]) -> Iterator[tuple[Path, list[str]]]:
    """Log files and their lines; a folder stands for all files in it. Raises CommandError."""
    for file in [f for path in paths for f in (sorted(path.iterdir()) if path.is_dir() else [path])]:
        try:
            yield file, file.read_text(errors="replace").splitlines()
        except OSError as error:
            raise CommandError(f"{file}: {error.strerror}") from None
