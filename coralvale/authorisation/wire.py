"""envoy.service.auth.v3: a `CheckRequest` from a request, a ruling from a `CheckResponse`."""

from __future__ import annotations

import re
from typing import Any

from envoy.service.auth.v3 import external_auth_pb2
from envoy.type.v3 import http_status_pb2  # noqa: F401  # the response's type needs it to be known

from coralvale.interface import Verdict
from coralvale.net.exchange import Exchange
from coralvale.net.node import AuthorisationResult
from coralvale.net.parsed_request import ParsedRequest

NAME = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]{1,256}")  # RFC 9110, section 5.1
VALUE = re.compile(rb"[\t\x20-\x7e\x80-\xff]{0,8192}")  # RFC 9110, section 5.5: no line break, no nought
BODY = 64 * 1024  # bytes of a denial's body that go to the client
MOST = 64  # headers that an authoriser may add, or take off
# Headers that the protocol owns, on the way to the host and to the client. An authoriser must change neither who
# asks and what it costs, nor how the message is framed.
OWNED = frozenset(
    (
        b"connection", b"keep-alive", b"transfer-encoding", b"te", b"trailer", b"upgrade", b"content-length",
        b"proxy-authorization", b"proxy-connection", b"expect", b"host", b"x-timeout", b"x-request-id",
        b"x-priority-class", b"plan", b"cookie", b"quota-info", b"x-retried", b"x-not-processed",
    )
)  # fmt: skip


def check_request(arrival: ParsedRequest, exchange: Exchange, station: str, plan: str, cls: str) -> Any:  # noqa: ANN401
    """AttributeContext of the request, without its body; station, plan and class as context extensions."""
    message = external_auth_pb2.CheckRequest()
    http = message.attributes.request.http
    http.id, http.method = arrival.id, exchange.method.decode("latin-1")
    http.path, http.protocol, http.size = exchange.target.decode("latin-1"), "HTTP/1.1", len(exchange.body)
    for name, value in exchange.headers:
        key, text = name.decode("latin-1").lower(), value.decode("latin-1")
        http.headers[key] = f"{http.headers[key]},{text}" if key in http.headers else text
    http.host = http.headers.get("host", "")
    message.attributes.context_extensions.update({"station": station, "plan": plan, "class": cls})
    return message


def ruling(response: Any) -> tuple[AuthorisationResult, int]:  # noqa: ANN401
    """What a `CheckResponse` says, and how many of its headers were left out as none that may be set."""
    if response.status.code == 0:
        ok = response.ok_response
        headers, dropped = _headers(ok.headers)
        remove = frozenset(name.lower().encode("latin-1", "replace") for name in ok.headers_to_remove[:MOST])
        return AuthorisationResult(Verdict.ALLOWED, headers=headers, remove=remove - OWNED), dropped
    denied = response.denied_response
    headers, dropped = _headers(denied.headers)
    status = denied.status.code if 400 <= denied.status.code <= 599 else 403
    body = denied.body.encode()
    why = f"status {status}"
    if len(body) > BODY:
        body, why = b"", f"status {status}; a body of {len(body)} bytes left out, at most {BODY}"
    return AuthorisationResult(Verdict.DENIED, why, status, headers, body=body), dropped


def _headers(options: Any) -> tuple[tuple[tuple[bytes, bytes], ...], int]:  # noqa: ANN401
    """HeaderValueOption to headers; those that the protocol owns or that are none are counted."""
    kept = []
    for option in list(options)[:MOST]:
        name = option.header.key.encode("latin-1", "replace")
        value = option.header.raw_value or option.header.value.encode("utf-8", "replace")
        if NAME.fullmatch(name) and VALUE.fullmatch(value) and name.lower() not in OWNED:
            kept.append((name, value.strip()))
    return tuple(kept), len(options) - len(kept)
