"""Results, appended to one SQLite file: what was played, by which code, and what came of it.

A run's key is the experiment's fingerprint, the point, the seed, the policy and the commit; a run that is
there is not played again. Rows are never changed.
"""

from __future__ import annotations

import contextlib
import hashlib
import json
import sqlite3
from collections.abc import Iterator
from pathlib import Path

import msgspec

from coralvale.lab.model import LabError, Outcome

SCHEMA = """
create table if not exists runs (
    key text primary key, experiment text not null, name text not null, point text not null,
    seed integer not null, policy text not null, code text not null, digest text not null,
    took real not null, outcome blob not null
) strict;
"""


def key(experiment: str, point: dict[str, float], seed: int, policy: str, code: str) -> str:
    """Of one run."""
    said = json.dumps([experiment, point, seed, policy, code], sort_keys=True)
    return hashlib.sha256(said.encode()).hexdigest()[:24]


def encode(outcome: Outcome) -> bytes:
    """The bytes that two equal runs have in common."""
    return msgspec.json.encode(outcome, order="sorted")


class Store:
    """One process writes at a time; a run is there whole or not at all."""

    def __init__(self, path: str) -> None:
        """Raises LabError if the file cannot be used."""
        self.path = path
        try:
            if path != ":memory:":
                Path(path).parent.mkdir(parents=True, exist_ok=True)
            self.base = sqlite3.connect(path, isolation_level=None)
            self.base.execute("pragma journal_mode = wal")
            self.base.executescript(SCHEMA)
        except (OSError, sqlite3.Error) as error:
            raise LabError(f"{path}: {error}") from None

    def put(self, name: str, experiment: str, code: str, outcome: Outcome, took: float) -> None:
        """Appends a run; one that is there already stays as it is."""
        body = encode(outcome)
        self.base.execute(
            "insert or ignore into runs values (?, ?, ?, ?, ?, ?, ?, ?, ?, ?)",
            (
                key(experiment, outcome.point, outcome.seed, outcome.policy, code), experiment, name,
                json.dumps(outcome.point, sort_keys=True), outcome.seed, outcome.policy, code,
                hashlib.sha256(body).hexdigest(), took, body,
            ),
        )  # fmt: skip

    def has(self, key: str) -> bool:
        return self.base.execute("select 1 from runs where key = ?", (key,)).fetchone() is not None

    def all(self, experiment: str, code: str | None = None) -> Iterator[Outcome]:
        """Runs of an experiment, of one state of the code or of any; their order does not depend on when."""
        rows = self.base.execute(
            "select outcome from runs where experiment = ? and (? is null or code = ?)"
            " order by point, policy, seed",
            (experiment, code, code),
        )
        for (body,) in rows:
            yield msgspec.json.decode(body, type=Outcome)

    def names(self) -> list[tuple[str, str, int, str]]:
        """Experiments that are here: name, fingerprint, runs, code."""
        return self.base.execute(
            "select name, experiment, count(*), code from runs"
            " group by name, experiment, code order by name, code"
        ).fetchall()

    def close(self) -> None:
        with contextlib.suppress(sqlite3.Error):
            self.base.close()
