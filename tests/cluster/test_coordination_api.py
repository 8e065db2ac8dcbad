"""Parsing of applications' HTTP calls, refusal of invalid ones with 400, and the answer to each outcome."""

from __future__ import annotations

import json
from typing import Any

import pytest

from coralvale.cluster.coordination import model as c
from coralvale.cluster.errors import Kind, Problem
from coralvale.cluster.server.coordination import answer
from coralvale.cluster.server.coordination_api import read_call, read_number, read_watch
from coralvale.cluster.server.messages import CoordinationRequest, frame

LOCK = {"Owner": "a3.7", "HoldMs": 3000}
HELD = LOCK | {"fence": 41}
GIVEN_BACK = {"Owner": "a3.7", "fence": 41}
DEEP = b"[" * 100_000

GOOD: list[tuple[str, dict[str, Any], c.Call]] = [
    ("locks.begin", LOCK, c.Acquire("x", "a3.7", 3000)),
    ("locks.begin", LOCK | {"HoldMs": 1500.5, "More": [1]}, c.Acquire("x", "a3.7", 1500)),
    ("locks.heartbeat", HELD, c.Renew("x", "a3.7", 41, 3000)),
    ("locks.finish", GIVEN_BACK, c.Release("x", "a3.7", 41)),
    ("cells.replace", {"Val": "v", "Duty": 907}, c.Put("x", "v", 907)),
    ("cells.replace", {"Val": "v", "Duty": 0}, c.Put("x", "v", 0)),
    ("cells.replace", {"Val": "v"}, c.Put("x", "v", None)),
    ("cells.replace", {"Val": "é" * 512}, c.Put("x", "é" * 512)),
    ("cells.read", {}, c.Get("x")),
]

BAD: list[tuple[str, dict[str, Any]]] = [
    ("locks.begin", {"HoldMs": 3000}),
    ("locks.begin", {"Owner": "a"}),
    ("locks.begin", LOCK | {"Owner": ""}),
    ("locks.begin", LOCK | {"Owner": "a b"}),
    ("locks.begin", LOCK | {"Owner": "a" * 129}),
    ("locks.begin", LOCK | {"Owner": 7}),
    ("locks.begin", LOCK | {"HoldMs": 0}),
    ("locks.begin", LOCK | {"HoldMs": -1}),
    ("locks.begin", LOCK | {"HoldMs": 600_001}),
    ("locks.begin", LOCK | {"HoldMs": "3000"}),
    ("locks.heartbeat", LOCK),
    ("locks.heartbeat", HELD | {"fence": "41"}),
    ("locks.heartbeat", HELD | {"fence": 1.5}),
    ("locks.heartbeat", HELD | {"fence": None}),
    ("locks.heartbeat", HELD | {"fence": 2**70}),
    ("locks.finish", {"Owner": "a"}),
    ("locks.finish", {"fence": 41}),
    ("locks.finish", GIVEN_BACK | {"fence": 2**70}),
    ("cells.replace", {}),
    ("cells.replace", {"Val": 5}),
    ("cells.replace", {"Val": "é" * 513}),
    ("cells.replace", {"Val": "v", "Duty": -1}),
    ("cells.replace", {"Val": "v", "Duty": 1.5}),
    ("cells.replace", {"Val": "v", "Duty": True}),
    ("cells.replace", {"Val": "v", "Duty": 2**70}),
]

UNREADABLE = [
    b"",
    b"{",
    b"[]",
    b"\xff",
    b'{"Owner": "\\ud800", "HoldMs": 5, "fence": 1, "Val": "\\ud800"}',
    b'{"Owner": "a", "HoldMs": 1e999, "fence": 1e999, "Val": 1e999}',
    pytest.param(
        b'{"Owner": "a", "HoldMs": 5, "fence": 1, "Val": "v", "More": ' + DEEP, id="nested too deep"
    ),
]


@pytest.mark.parametrize(("call", "body", "expected"), GOOD)
def test_valid_calls_are_parsed(call: str, body: dict[str, Any], expected: c.Call) -> None:
    assert read_call(call, "x", json.dumps(body).encode()) == expected
    assert frame(CoordinationRequest(1, expected))  # and can be forwarded


@pytest.mark.parametrize(("call", "body"), BAD)
def test_calls_with_invalid_fields_are_answered_400(call: str, body: dict[str, Any]) -> None:
    read = read_call(call, "x", json.dumps(body).encode())
    assert isinstance(read, Problem) and read.status == 400 and read.reason


@pytest.mark.parametrize("body", UNREADABLE)
@pytest.mark.parametrize("call", ["locks.begin", "locks.heartbeat", "locks.finish", "cells.replace"])
def test_undecodable_bodies_are_answered_400(call: str, body: bytes) -> None:
    read = read_call(call, "x", body)
    assert isinstance(read, Problem) and read.status == 400 and read.reason


@pytest.mark.parametrize("name", ["", "a b", "a" * 129, "é", "x\n", "\0"])
def test_invalid_names_are_answered_400(name: str) -> None:
    for read in (read_call("cells.read", name, b""), read_number(name), read_watch(name, "after=1")):
        assert isinstance(read, Problem) and read.status == 400 and read.reason


def test_numbers_and_watches_are_parsed_from_path_and_query() -> None:
    assert read_number("n2") == c.NextNumber("n2")
    assert read_watch("g1.", "after=930&PollMs=2000") == c.Watch("g1.", 930, 2000)
    assert read_watch("g1.", "") == c.Watch("g1.", 0, 0)
    assert read_watch("g1.", "after=1&PollMs=999999") == c.Watch("g1.", 1, c.MAX_POLL_MS)


@pytest.mark.parametrize(
    "query",
    ["after=-1", "after=x", "after=1.5", "after=%D9%A3", f"after={2**53 + 1}", "after=" + "9" * 5000]
    + ["PollMs=-1", "PollMs=x", "after=1&PollMs=2.5"]
    + ["after=", "after=5&PollMs="],
)
def test_invalid_watch_queries_are_answered_400(query: str) -> None:
    read = read_watch("g1.", query)
    assert isinstance(read, Problem) and read.status == 400 and read.reason


EVENT = c.Event("g1.2d", "5c0e", 931, 77)
ANSWERS: list[tuple[c.Outcome, int, Any]] = [
    (c.Granted(41), 200, {"fence": 41}),
    (c.Renewed(), 200, {}),
    (c.Released(), 200, {}),
    (c.Number(5120), 200, {"Val": 5120}),
    (c.Stored(931), 200, {"Rev": 931}),
    (c.Found("5c0e", 931), 200, {"Val": "5c0e", "Rev": 931}),
    (
        c.Watched((EVENT,), 934),
        200,
        {"Events": [{"Name": "g1.2d", "Val": "5c0e", "Rev": 931}], "Rev": 934},
    ),
    (c.Conflict(922), 412, {"Rev": 922}),
    (c.Held(), 409, {"Reason": Kind.HELD.value}),
    (c.NotHeld(), 409, {"Reason": Kind.NOT_HELD.value}),
    (c.NotFound(), 404, {"Reason": Kind.NO_SUCH_KEY.value}),
    (c.Compacted(), 410, {"Reason": Kind.COMPACTED.value}),
    (c.Full("full"), 429, {"Reason": "full"}),
    (c.Unavailable("no leader"), 503, {"Reason": "no leader"}),
    (c.Unknown("late"), 504, {"Reason": "late"}),
]


@pytest.mark.parametrize(("outcome", "status", "body"), ANSWERS)
def test_each_outcome_has_its_documented_answer(outcome: c.Outcome, status: int, body: Any) -> None:  # noqa: ANN401
    actual_status, sent = answer(outcome)
    assert (actual_status, json.loads(sent)) == (status, body)
