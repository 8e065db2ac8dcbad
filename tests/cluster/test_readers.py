"""Decoders return a result or a named error for any input, and buffer no more than their limit."""

from __future__ import annotations

import contextlib
import json
import struct
from typing import Any
from zlib import crc32

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from test_configuration import WHOLE

from coralvale.cluster.configuration.history import Change, ChangeHistory
from coralvale.cluster.configuration.model import Configuration, parse_configuration
from coralvale.cluster.errors import Problem
from coralvale.cluster.registry.register import Register, Row
from coralvale.cluster.server.ctl import read_heartbeat
from coralvale.cluster.server.messages import (
    FRAME_HEADER,
    MAX_FRAME_BYTES,
    Ack,
    GossipMessage,
    HostRows,
    PeerMessage,
    decode_gossip,
    encode,
    frame,
    pack_health,
    pack_in_flight,
    pack_usage,
    unpack_health,
    unpack_in_flight,
    unpack_usage,
)
from coralvale.cluster.server.peers import PeerConnection, Peers
from coralvale.cluster.settings import Settings, SettingsError, parse
from coralvale.standins.cluster import settings as settings_text

JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(max_size=8), inner, max_size=4),
    max_leaves=12,
)
EXAMPLES = settings(deadline=None, max_examples=300, print_blob=True)
BEAT = {"Svc": "s", "Address": "10.0.0.1:80", "Capacity": 4, "State": "up", "Calls": 1}


@EXAMPLES
@given(st.binary(max_size=200) | JSON.map(msgspec.json.encode))
def test_arbitrary_configurations_and_heartbeats_give_a_result_or_a_named_error(data: bytes) -> None:
    found = ChangeHistory().validate(Change(0, True, data))
    assert isinstance(found, Problem) and found.reason
    assert isinstance(ChangeHistory().validate(Change(0, False, data)), Problem)
    assert isinstance(read_heartbeat("i-1", data), Problem | Row)


@EXAMPLES
@given(
    st.sampled_from(["Routes", "Svcs", "Limits", "Tenants"]),
    st.sampled_from(["r", "deep", "s", "t", "new"]),
    JSON,
)
def test_a_configuration_with_one_arbitrary_item_gives_a_result_or_a_reason(
    section: str, name: str, value: Any
) -> None:
    config = {**WHOLE, section: {**WHOLE[section], name: value}}
    found = parse_configuration(msgspec.json.decode(msgspec.json.encode(config)), Configuration())
    assert isinstance(found, Configuration) or found.reason


@EXAMPLES
@given(st.sampled_from(sorted(BEAT)), JSON)
def test_a_heartbeat_with_one_arbitrary_field_gives_a_row_or_an_error(name: str, value: Any) -> None:
    found = read_heartbeat("i-1", msgspec.json.encode({**BEAT, name: value}))
    assert isinstance(found, Problem) or (found.slots >= 1 and 0 < found.port < 65536)


@EXAMPLES
@given(st.text(max_size=200) | JSON.map(lambda value: msgspec.json.encode(value).decode()))
def test_arbitrary_settings_give_a_result_or_a_named_error(text: str) -> None:
    try:
        assert isinstance(parse(text), Settings)
    except SettingsError as error:
        assert str(error)


def test_settings_without_one_line_are_accepted_or_the_line_is_named(tmp_path: Any) -> None:
    lines = settings_text(0, ["10.0.0.1", "10.0.0.2"], 1, tmp_path, True).splitlines()
    assert parse("\n".join(lines)).holds_state
    for n, line in enumerate(lines):
        try:
            parse("\n".join(lines[:n] + lines[n + 1 :]))
        except SettingsError as error:
            assert line.partition(":")[0] in str(error) or "YAML" in str(error)


@EXAMPLES
@given(st.binary(max_size=120))
def test_arbitrary_datagrams_are_decoded_or_refused(data: bytes) -> None:
    with contextlib.suppress(msgspec.MsgspecError):
        assert isinstance(decode_gossip(data), GossipMessage)
    for unpack in (unpack_in_flight, unpack_health, lambda d: unpack_usage(d, {1: "a"})):
        try:
            assert unpack(data) is not None
        except struct.error:
            assert len(data) % 5 or len(data) % 6 or len(data) % 7
    Peers.unpack_forwarded(data)


def test_packed_data_round_trips_and_fits_a_datagram() -> None:
    use = {f"tenant-{n}": (n * 9, n) for n in range(160)}
    assert unpack_usage(pack_usage(use), {crc32(n.encode()): n for n in use}) == use
    assert unpack_in_flight(pack_in_flight([(n, 300) for n in range(250)]))[7] == (7, 255)
    assert len(pack_in_flight([(n, 1) for n in range(9000)])) <= 1400
    rows = [(n, 300, n) for n in range(100)]
    assert unpack_health(pack_health(rows))[0] == (99, 255, 99) and len(pack_health(rows)) <= 200
    word = GossipMessage(
        1 << 40, 1 << 32, 1 << 20, "10.100.100.100", ("10.100.100.100",) * 9, pack_usage(use)
    )
    assert len(encode(word)) < 1400


class FakeTransport:
    """A fake transport that records whether it was closed."""

    def __init__(self) -> None:
        self.closed = False

    def abort(self) -> None:
        self.closed = True

    def is_closing(self) -> bool:
        return self.closed


def make_connection() -> tuple[PeerConnection, list[PeerMessage], FakeTransport]:
    taken: list[PeerMessage] = []
    made, wire = PeerConnection(lambda _, message: taken.append(message), lambda _: None), FakeTransport()
    made.transport = wire  # type: ignore[assignment]
    return made, taken, wire


@EXAMPLES
@given(st.lists(st.integers(1, 9), max_size=60), st.binary(max_size=40))
def test_messages_survive_any_fragmentation_and_trailing_bytes_stay_bounded(
    cuts: list[int], rest: bytes
) -> None:
    made, taken, wire = make_connection()
    data = b"".join(frame(Ack(n)) for n in range(20))
    for cut in cuts:
        made.data_received(data[:cut])
        data = data[cut:]
    made.data_received(data)
    assert taken == [Ack(n) for n in range(20)]
    made.data_received(rest)
    assert len(made.buffer) <= len(rest)


@pytest.mark.parametrize(
    "size, closed", [(MAX_FRAME_BYTES + 1, True), (1 << 31, True), (MAX_FRAME_BYTES, False)]
)
def test_a_frame_beyond_the_size_limit_closes_its_connection(size: int, closed: bool) -> None:
    made, taken, wire = make_connection()
    made.data_received(FRAME_HEADER.pack(size) + b"x")
    assert wire.closed is closed and not taken


def test_messages_and_fields_of_a_newer_version_are_ignored() -> None:
    made, taken, wire = make_connection()
    unknown = msgspec.msgpack.encode([99, 1, "what"])
    made.data_received(FRAME_HEADER.pack(len(unknown)) + unknown + frame(Ack(1)))
    assert taken == [Ack(1)] and not wire.closed
    longer = msgspec.msgpack.encode([8, 7, "a field that came later"])
    made.data_received(FRAME_HEADER.pack(len(longer)) + longer)
    assert taken == [Ack(1), Ack(7)]


# Guards against a heartbeat with a number of 70 bits: the gateway that took it could send its register to no
# other gateway, nor write it to disk, from then on.
@pytest.mark.parametrize(
    "name, value",
    [("Calls", 2**70), ("Calls", -(2**70)), ("Capacity", 2**70), ("Svc", "s" * 600), ("Ver", "v" * 600)],
    ids=("calls", "negative calls", "capacity", "service", "version"),
)
def test_a_heartbeat_that_no_message_could_hold_is_refused(name: str, value: Any) -> None:
    sent = b'{"Svc":"s","Address":"10.0.0.1:80","%b":%b}' % (name.encode(), json.dumps(value).encode())
    assert isinstance(read_heartbeat("i-1", sent), Problem)


def test_the_largest_heartbeat_is_sent_on() -> None:
    largest = {**BEAT, "Calls": 2**63 - 1, "Capacity": 2**31 - 1, "WarmupMs": 1e308, "Svc": "s" * 512}
    row = read_heartbeat("i-1", msgspec.json.encode(largest))
    assert isinstance(row, Row)
    register = Register(1.5)
    assert register.merge(5.0, row, direct=True) and register.take_fresh_beats() == [("i-1", 2**63 - 1)]
    assert encode(HostRows(1, register.rows(6.0)))
