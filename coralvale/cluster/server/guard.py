"""Carries out a step whose error must not hold up the steps behind it."""

from __future__ import annotations

import traceback
from collections.abc import Callable

from coralvale.cluster.events import Event, log_event


def run_guarded(what: str, step: Callable[[], None]) -> None:
    """Carries out a step, and logs its error if it raises one. `what`: names the step in the log."""
    try:
        step()
    except Exception as error:  # noqa: BLE001
        where = traceback.extract_tb(error.__traceback__)[-1]
        log_event(Event.FAILED, reason=f"{what}: {error!r} at {where.name}:{where.lineno}")
