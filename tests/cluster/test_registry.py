"""The register of hosts: in whatever order rows arrive, all gateways end with the same entries."""

from __future__ import annotations

import random

from msgspec.structs import replace

from coralvale.cluster.registry.register import (
    FORGET_AFTER_BEATS,
    GONE_RETENTION_S,
    Register,
    Row,
    State,
)

BEAT = 1.5


def row(name: str = "i-1", calls: int = 1, state: State = State.UP, **more: object) -> Row:
    whole = Row(name, "svc", "10.0.0.1", 80, "z", "v1", 4, int(state), 0.0, calls)
    return replace(whole, **more)


def test_reordered_duplicated_and_late_rows_lead_to_the_same_register() -> None:
    chance = random.Random(5)
    rows = [row(f"i-{n}", calls, state) for n in range(6) for calls, state in ((1, State.UP), (2, State.UP))]
    rows += [row(f"i-{n}", 3, State.DRAINING) for n in range(4)] + [
        row(f"i-{n}", 3, State.GONE) for n in range(2)
    ]
    first = [row(f"i-{n}") for n in range(6)]
    digests = set()
    for _ in range(50):
        register = Register(BEAT)
        for each in first + chance.sample(rows * 2, len(rows) * 2):
            register.merge(1.0, each)
        digests.add(register.digest)
        assert [entry.id for entry in register.usable(1.0, "svc")] == ["i-4", "i-5"]
        assert not register.may_serve("i-0") and not register.may_serve("i-2") and register.may_serve("i-5")
    assert len(digests) == 1


def test_a_late_heartbeat_does_not_bring_back_a_host_that_left() -> None:
    register = Register(BEAT)
    register.merge(0.0, row(calls=7), direct=True)
    left = register.mark_gone(1.0, "i-1")
    assert left is not None and left.state == State.GONE
    assert not register.merge(2.0, row(calls=8), direct=True)
    assert not register.may_serve("i-1")
    other = Register(BEAT)
    other.merge(0.0, row(calls=7))
    for each in register.rows(2.0):
        other.merge(2.0, each)
    assert not other.may_serve("i-1")


def test_heartbeats_of_others_keep_a_host_in_use_and_a_silent_one_gets_no_requests() -> None:
    register = Register(BEAT)
    register.merge(0.0, row("i-1"))
    register.merge(0.0, row("i-2"))
    register.merge_beats(5.0, [("i-1", 4)])
    assert [entry.id for entry in register.usable(6.0, "svc")] == ["i-1"]
    assert len(register.usable(60.0, "svc")) == 2  # when all are silent, this gateway itself may be cut off
    assert register.merge_beats(6.0, [("unknown", 1)])


def test_an_entry_that_expired_is_not_kept_alive_by_gateways_that_exchange_it() -> None:
    one, two = Register(BEAT), Register(BEAT)
    one.merge(0.0, row())
    two.merge(0.0, row())
    ends = FORGET_AFTER_BEATS * BEAT
    one.sweep(ends + 0.1)
    for each in two.rows(ends + 0.1):
        one.merge(ends + 0.1, each)
    two.sweep(ends + 0.2)
    for each in one.rows(ends + 0.3):
        two.merge(ends + 0.3, each)
    one.sweep(ends + 2.0), two.sweep(ends + 2.0)
    assert not one.entries and not two.entries and one.digest == two.digest == 0


def test_a_late_heartbeat_does_not_bring_back_a_host_that_left_before_the_gateway_started() -> None:
    """Guards against DRAIN: a gateway that starts learns from the others who is gone."""
    old, started = Register(BEAT), Register(BEAT)
    old.merge(0.0, row(calls=7), direct=True)
    old.mark_gone(1.0, "i-1")
    for each in old.rows(2.0):
        assert not started.merge(2.0, each)  # nobody has to be told
    assert not started.merge(3.0, row(calls=8), direct=True) and not started.may_serve("i-1")
    assert not started.merge_beats(3.0, [("i-1", 9)]) and not started.usable(3.0, "svc")
    assert old.digest == started.digest == 0 and not started.version


def test_an_entry_that_is_gone_is_forgotten_though_gateways_pass_it_on() -> None:
    registers = [Register(BEAT), Register(BEAT)]
    registers[0].merge(0.0, row())
    registers[0].mark_gone(5.0, "i-1")
    for at in range(10, 200, 10):
        for one, other in (registers, registers[::-1]):
            for each in one.rows(float(at)):
                other.merge(float(at), each)
            one.sweep(float(at))
        assert bool(registers[1].entries) == (at <= GONE_RETENTION_S)
        assert bool(registers[0].entries) == (at <= GONE_RETENTION_S + 5)


def test_the_number_of_entries_is_bounded() -> None:
    register = Register(BEAT)
    for n in range(6000):
        register.merge(0.0, row(f"i-{n}"))
    assert len(register.entries) == 4096
    register.mark_gone(1.0, "i-5")
    assert (
        register.merge(2.0, row("i-new")) and len(register.entries) == 4096 and "i-5" not in register.entries
    )


# Guards against a host that names another service later: its entry stayed among those in use for ever, and the
# sweep that met it ended in an error, before all that it does each second besides.
def test_a_host_that_names_another_service_later_is_removed_like_any_other() -> None:
    register = Register(BEAT)
    register.merge(0.0, row(calls=1), direct=True)
    register.merge(1.0, row(calls=2, svc="another"), direct=True)
    register.merge(1.0, row(calls=3, svc="a third", slots=9))
    assert [entry.row.svc for entry in register.usable(1.0, "svc")] == ["svc"]
    assert not register.usable(1.0, "another")
    assert register.sweep(1.1 + FORGET_AFTER_BEATS * BEAT) == ["i-1"]
    assert not register.usable(60.0, "svc") and not register.entries and register.digest == 0
