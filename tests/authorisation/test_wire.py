"""What is read of an authoriser's answer, whatever it holds."""

from __future__ import annotations

import pytest
from envoy.service.auth.v3 import external_auth_pb2
from helpers import SETTINGS
from hypothesis import given
from hypothesis import strategies as st

from coralvale.authorisation.service import rules
from coralvale.authorisation.wire import BODY, MOST, NAME, OWNED, VALUE, check_request, ruling
from coralvale.interface import Verdict
from coralvale.operator import Authoriser, OperatorError
from coralvale.standins.authoriser import allowed, denied


class Fields:
    """Of an arrival and its exchange, what a check tells."""

    id = "r1"
    method, target, body = b"POST", b"/api?x=1", b"a bookmark"
    headers = [(b"Host", b"service"), (b"X-Many", b"a"), (b"x-many", b"b\xff")]


def test_a_check_tells_the_request_without_its_body() -> None:
    told = check_request(Fields, Fields, "00ff", "team", "read")  # type: ignore[arg-type]
    http = told.attributes.request.http
    assert (http.id, http.method, http.path, http.host, http.size) == (
        "r1",
        "POST",
        "/api?x=1",
        "service",
        10,
    )
    assert http.headers["x-many"] == "a,b\xff" and not http.body
    assert dict(told.attributes.context_extensions) == {"station": "00ff", "plan": "team", "class": "read"}


text = st.text(max_size=30)
headers = st.dictionaries(text, text, max_size=8)


@given(headers=headers, remove=st.lists(text, max_size=5))
def test_headers_for_a_host_are_such_as_may_be_set(headers: dict[str, str], remove: list[str]) -> None:
    told, dropped = ruling(allowed(headers, tuple(remove)))
    assert told.verdict is Verdict.ALLOWED and len(told.headers) + dropped == len(headers)
    for name, value in told.headers:
        assert NAME.fullmatch(name) and VALUE.fullmatch(value) and name.lower() not in OWNED
        assert b"\r" not in value and b"\n" not in value and b"\0" not in value
    assert not told.remove & OWNED


@given(status=st.integers(-(2**31), 2**31 - 1), body=text, headers=headers)
def test_a_denial_has_a_status_that_denies(status: int, body: str, headers: dict[str, str]) -> None:
    told, _ = ruling(denied(status, body, headers))
    assert told.verdict is Verdict.DENIED and told.body == body.encode()
    assert told.status == (status if 400 <= status <= 599 else 403)
    assert len(told.headers) <= MOST


@given(st.binary(max_size=200))
def test_any_message_is_read_or_is_none(data: bytes) -> None:
    response = external_auth_pb2.CheckResponse()
    try:
        response.ParseFromString(data)
    except Exception:
        return
    told, _ = ruling(response)
    assert (told.verdict is Verdict.ALLOWED) == (response.status.code == 0)
    assert 400 <= told.status <= 599 and len(told.body) <= BODY


def test_rules_that_do_not_go_with_the_settings_are_named() -> None:
    def named(**keys: object) -> Authoriser:
        return Authoriser(name="a", target="127.0.0.1:1", **keys)  # type: ignore[arg-type]

    (rule,) = rules([named(classes=("read",), stations=("00000000000000ff",))], SETTINGS)
    assert rule.matches(0, 255, 0) and not rule.matches(0, 254, 0) and not rule.allows
    (rule,) = rules([named(without_answer="allow")], SETTINGS)
    assert rule.allows == {0}
    with pytest.raises(
        OperatorError, match=r"authorisation\[0\].plans: 'x' is not in the settings; they have basic"
    ):
        rules([named(plans=("x",))], SETTINGS)
