"""Admission: what the leader refuses of an order by itself, and that members take what was committed anyway."""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from coralvale.cluster.configuration.admission import MAX_CONTAINERS, MAX_DEPTH, admit
from coralvale.cluster.configuration.history import Change, ChangeHistory, apply_update, pack
from coralvale.cluster.configuration.model import MAX_REPORTED_ERRORS, Configuration
from coralvale.cluster.errors import Kind, Problem

ROUTE = {"Vhost": "a.example", "PathPrefix": "/x/", "Kind": "idempotent", "TimeoutMs": 2500, "Svc": "s"}
SERVICE: dict[str, Any] = {"HealthPath": "/h", "MaxConns": 10, "Protocol": "h1", "Tls": False}
TENANT = {"ApiKeys": ["k1"], "Prio": 1, "RatePerS": 63, "Burst": 63}


def whole(
    route: dict[str, Any] | None = None,
    service: dict[str, Any] | None = None,
    tenant: dict[str, Any] | None = None,
    **fields: Any,
) -> dict[str, Any]:
    return {
        "Ver": 2,
        "Routes": {"r": {**ROUTE, **(route or {})}},
        "Svcs": {"s": {**SERVICE, **(service or {})}},
        "Tenants": {"t": {**TENANT, **(tenant or {})}},
        **fields,
    }


def deep(levels: int) -> Any:
    value: Any = 1
    for _ in range(levels):
        value = [value]
    return value


def encode(order: Any) -> bytes:
    return json.dumps(order).encode()


REFUSED: list[tuple[dict[str, Any], str]] = [
    (whole({"Public": "false"}), "Routes.r.Public"),
    (whole({"Public": [0]}), "Routes.r.Public"),
    (whole({"Vhost": None}), "Routes.r.Vhost"),
    (whole({"Vhost": 7}), "Routes.r.Vhost"),
    (whole({"Region": None}), "Routes.r.Region"),
    (whole({"Tries": "7"}), "Routes.r.Tries"),
    (whole({"Tries": True}), "Routes.r.Tries"),
    (whole({"Tries": 1.5}), "Routes.r.Tries"),
    (whole({"Tries": 1e300}), "Routes.r.Tries"),
    (whole({"TimeoutMs": True}), "Routes.r.TimeoutMs"),
    (whole({"TargetMs": -1}), "Routes.r.TargetMs"),
    (whole({"Prio": -1}), "Routes.r.Prio"),
    (whole({"Split": [{"Svc": "s", "Wt": -1}]}), "Routes.r.Split[0].Wt"),
    (whole({"Split": {"s": 1}}), "Routes.r.Split"),
    (whole({"Note": deep(MAX_DEPTH + 1)}), "Routes.r: nested"),
    (whole(service={"MaxConns": -1}), "Svcs.s.MaxConns"),
    (whole(service={"Tls": 0}), "Svcs.s.Tls"),
    (whole(tenant={"ApiKeys": "abc"}), "Tenants.t.ApiKeys"),
    (whole(tenant={"ApiKeys": [1]}), "Tenants.t.ApiKeys[0]"),
    (whole(tenant={"RatePerS": -1}), "Tenants.t.RatePerS"),
    (whole(tenant={"Burst": "63"}), "Tenants.t.Burst"),
    (whole(Limits=[1]), "Limits"),
    (whole(Limits="x"), "Limits"),
    (whole(Limits={"HeaderBytes": 0}), "Limits.HeaderBytes"),
    (whole(Limits={"BodyBytes": -1}), "Limits.BodyBytes"),
    (whole(Limits={"HdrReadMs": 0}), "Limits.HdrReadMs"),
    (whole(Limits={"IdleMs": -5}), "Limits.IdleMs"),
    (whole(Tenants=[]), "Tenants"),
    (whole(Tenants=False), "Tenants"),
    (whole(Tenants=""), "Tenants"),
    (whole(Note=deep(MAX_DEPTH + 1)), "Note: nested"),
    (whole(Note=[[]] * MAX_CONTAINERS), "Note: more than"),
    (whole({"Note": [[]] * MAX_CONTAINERS}), "Routes.r: more than"),
]


# Guards against CONFIG: orders that cannot be read whole were acknowledged; "Public": "false" opened a route.
@pytest.mark.parametrize("order, place", REFUSED, ids=[place for _, place in REFUSED])
def test_an_order_with_a_value_of_another_type_is_refused_with_its_place(
    order: dict[str, Any], place: str
) -> None:
    found = ChangeHistory().validate(Change(0, True, encode(order)))
    assert isinstance(found, Problem) and found.kind is Kind.INVALID and place in found.reason
    history = ChangeHistory()
    history.deliver(pack(Change(0, True, encode(whole()))))
    parts = {name: part for name, part in order.items() if name != "Ver"}
    if "Note" not in order:
        found = history.validate(Change(2, False, encode({"Ver": 3, "Upsert": parts})))
        assert isinstance(found, Problem) and place in found.reason


@pytest.mark.parametrize(
    "order",
    [
        whole(),
        whole({"Tries": 2.0, "Prio": 3.0, "Note": {"by": ["me", 1, None]}}, Note=[{}]),
        whole({"Note": deep(MAX_DEPTH - 1)}, Note=deep(MAX_DEPTH)),
        whole({"Split": [{"Svc": "s", "Wt": 0}, {"Svc": "s", "Wt": 90.5, "Note": 1}]}),
        whole(tenant={"Prio": None, "RatePerS": 0, "Burst": 0}),
        whole(Limits=None, Tenants=None),
        whole(Limits={"HeaderBytes": 100, "BodyBytes": 0, "HdrReadMs": 0.5, "IdleMs": 1}),
        {"Ver": 2},
    ],
)
def test_what_the_pages_allow_is_admitted(order: dict[str, Any]) -> None:
    history = ChangeHistory()
    change = Change(0, True, encode(order))
    assert history.validate(change) is None and history.deliver(pack(change))


def test_an_update_names_tables_of_items_and_lists_of_names() -> None:
    history = ChangeHistory()
    history.deliver(pack(Change(0, True, encode(whole()))))

    def verdict(**fields: Any) -> Any:
        return history.validate(Change(2, False, encode({"Ver": 3, **fields})))

    for fields in (
        {"Upsert": None, "Remove": None},
        {"Upsert": {}, "Remove": {}},
        {"Upsert": [], "Remove": []},
        {"Upsert": {"Svcs": {"new": {}}, "Limits": {"IdleMs": 5}}, "Remove": {"Tenants": ["t", "nobody"]}},
    ):
        assert verdict(**fields) is None
    for fields in (
        {"Upsert": [{"Name": "r"}]},
        {"Upsert": {"Routes": [ROUTE]}},
        {"Remove": ["r"]},
        {"Remove": {"Tenants": [1]}},
        {"Remove": {"Tenants": "t"}},
        {"Remove": {"Nothing": ["t"]}},
        {"Upsert": {"Limits": [1]}},
    ):
        assert isinstance(verdict(**fields), Problem)


def test_admission_ends_with_the_errors_that_it_reports() -> None:
    order = whole(Routes={f"r{n}": {**ROUTE, "Public": "no"} for n in range(1000)})
    found = admit(encode(order), whole=True)
    assert found and found.reason.count("Routes.r") == MAX_REPORTED_ERRORS
    assert found.reason.endswith("and more")


# Members of two versions agree: what the leader of an earlier version took is in force at every member.
@pytest.mark.parametrize(
    "order",
    [
        whole({"Public": "false", "Tries": "3", "Region": None}),
        whole({"Prio": -1, "TimeoutMs": 1e-300}, {"MaxConns": True}, {"ApiKeys": "abc", "RatePerS": -1}),
        whole(Limits=[1], Tenants=[]),
        whole(Limits={"HeaderBytes": 0, "IdleMs": -1}),
    ],
)
def test_what_was_committed_is_read_though_it_would_not_be_admitted_today(order: dict[str, Any]) -> None:
    change = Change(0, True, encode(order))
    leader, follower = ChangeHistory(), ChangeHistory()
    assert isinstance(leader.validate(change), Problem)
    assert leader.deliver(pack(change)) and follower.deliver(pack(change))
    restarted = ChangeHistory()
    restarted.restore(follower.image())
    news = follower.update_since(0)
    assert news
    gateway = apply_update(Configuration(), news)
    assert isinstance(gateway, Configuration)
    for configuration in (follower.configuration, restarted.configuration, gateway):
        assert configuration.items == leader.configuration.items
        assert configuration.limits == leader.configuration.limits
    # And later orders build upon it: an update is judged by what it brings.
    update = Change(2, False, encode({"Ver": 4, "Upsert": {"Svcs": {"new": SERVICE}}}))
    assert leader.validate(update) is None and leader.deliver(pack(update)) and follower.deliver(pack(update))


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False, allow_infinity=False) | st.text(),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner, max_size=3),
    max_leaves=6,
)


@settings(derandomize=True, max_examples=300)
@given(st.sampled_from(sorted(ROUTE) + ["Split", "Public", "Tries", "Prio", "Region", "Note"]), JSON_VALUES)
def test_what_is_admitted_is_read_as_it_was_sent(field: str, value: Any) -> None:
    history = ChangeHistory()
    change = Change(0, True, encode(whole({field: value})))
    if history.validate(change) is None:
        assert history.deliver(pack(change))
        read = history.configuration.items["Routes"]["r"][1]
        if field not in ("Split", "Note"):
            assert getattr(read, field) == value
