"""Decoding in steps: the result of one call, and no step that holds the interpreter for long."""

from __future__ import annotations

import json
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from coralvale.cluster.configuration import stepwise
from coralvale.cluster.configuration.stepwise import (
    MAX_GUESSES,
    PIECE_BYTES,
    STEP_BYTES,
    decode_stepwise,
    open_table,
)

READ_ERRORS = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)
VALUES = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**70), 2**70) | st.floats() | st.text(max_size=4),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=3), inner, max_size=4),
    max_leaves=12,
)


def outcome(decode: Any, text: bytes) -> Any:
    try:
        return repr(decode(text))
    except READ_ERRORS:
        return None


@settings(derandomize=True, max_examples=1000)
@given(VALUES, st.integers(0, 400), st.binary(max_size=3), st.sampled_from([None, 0, 1, 4]))
def test_steps_read_what_one_call_reads(value: Any, at: int, noise: bytes, indent: int | None) -> None:
    text = json.dumps(value, indent=indent).encode()
    with pytest.MonkeyPatch.context() as patched:
        patched.setattr(stepwise, "STEP_BYTES", 1)
        patched.setattr(stepwise, "PIECE_BYTES", 1)
        for given_text in (text, text[:at], text[:at] + noise + text[at:]):
            assert outcome(decode_stepwise, given_text) == outcome(msgspec.json.decode, given_text)


@pytest.mark.parametrize(
    "text",
    [
        b'{"a": {"x": 1}, "a": {"y": 2, "y": 3}}',
        b' \n {"a": {"b": {"c": {"d": {}}}}} ',
        b'{"a": {"b": 1e999}}',
        b'{"a": {"b": "\xff"}}',
        b'{"a": {"b": 01}}',
        b'{"a": {"b": 1}',
        b"{" * 2000,
        b'{"a": {}, "b": {},}',
        b'{, "a": {}, "b": {}}',
        b'{"a": {}}, "b": {}}',
        b'{"a": {}, "b": {"c": "}, "}, "d": "},\\"", "e": {}}',
        b'{"a": {"x": {}, "y": {}}, "b": {}, "a": {"z": {}}}',
        b'{"a": {}, "b": {}} {"c": {}}',
        b'{"a": [{"x": {}}, {"y": {}}], "b": {}}',
        b'{"a": "{}, ", "b": {}, "c": {}}x',
        b'{"a":' * 2000 + b"1" + b"}" * 2000,
    ],
)
def test_steps_read_odd_texts_as_one_call_does(monkeypatch: pytest.MonkeyPatch, text: bytes) -> None:
    monkeypatch.setattr(stepwise, "STEP_BYTES", 1)
    monkeypatch.setattr(stepwise, "PIECE_BYTES", 1)
    assert outcome(decode_stepwise, text) == outcome(msgspec.json.decode, text)


# Guards against held-up event loops: a whole configuration of 60 MB was decoded in one call of 1.7 s.
@pytest.mark.parametrize("wrap", [lambda body: body, lambda body: {"Ver": 2, "Upsert": body}])
def test_no_step_of_a_large_order_is_large(monkeypatch: pytest.MonkeyPatch, wrap: Any) -> None:
    sections = {name: {f"n{i}": {"Svc": '},"' * 9} for i in range(30_000)} for name in ("Routes", "Tenants")}
    sizes: list[int] = []
    opened: list[int] = []
    open_fields = stepwise._decode_fields

    def decode(text: Any) -> Any:
        sizes.append(memoryview(text).nbytes)
        return msgspec.json.decode(text)

    def open_piece(text: Any) -> Any:
        fields = open_fields(text)
        opened.append(len(fields))
        return fields

    monkeypatch.setattr(stepwise, "_decode_any", decode)
    monkeypatch.setattr(stepwise, "_decode_fields", open_piece)
    body = json.dumps(wrap({"Ver": 2, **sections})).encode()
    assert decode_stepwise(body) == json.loads(body)
    assert max(sizes) <= STEP_BYTES < len(body) / 4
    assert max(opened) < 2 * PIECE_BYTES / len(body) * 60_000


def test_the_guesses_of_where_a_piece_ends_are_few(monkeypatch: pytest.MonkeyPatch) -> None:
    opened = 0
    open_fields = stepwise._decode_fields

    def open_piece(text: Any) -> Any:
        nonlocal opened
        opened += 1
        return open_fields(text)

    monkeypatch.setattr(stepwise, "PIECE_BYTES", 1)
    monkeypatch.setattr(stepwise, "_decode_fields", open_piece)
    one_item = json.dumps({"r": {f"n{number}": {} for number in range(1000)}}).encode()
    assert list(open_table(one_item)) == ["r"] and opened <= MAX_GUESSES + 1
