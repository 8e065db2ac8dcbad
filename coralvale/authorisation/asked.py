"""The messages of proxies that ask: a request from a `CheckRequest`, the answer, an end from the access log."""

from __future__ import annotations

from typing import Any

from envoy.config.core.v3 import base_pb2
from envoy.data.accesslog.v3 import accesslog_pb2  # noqa: F401  # the log's type needs it to be known
from envoy.service.auth.v3 import external_auth_pb2
from google.rpc import code_pb2

from coralvale.authorisation.answers import Allowed, Mistaken, Out, Refused
from coralvale.interface import Outcome
from coralvale.net.exchange import Exchange
from coralvale.net.parsed_request import NameIndex, ParsedRequest
from coralvale.net.upstream import read_usage

LONGEST = 3600.0  # s that an end may say that a request took


class Told:
    """What `ParsedRequest` reads of an exchange, from a check."""

    def __init__(self, http: Any) -> None:  # noqa: ANN401
        self.method = http.method.encode("latin-1", "replace")
        self.fields = {
            name.lower().encode("latin-1", "replace"): value.encode("latin-1", "replace").strip()
            for name, value in http.headers.items()
        }
        if http.id and b"x-request-id" not in self.fields:
            self.fields[b"x-request-id"] = http.id.encode("latin-1", "replace")


def read_check(message: Any, names: NameIndex) -> ParsedRequest:  # noqa: ANN401
    """The request that a proxy asks about. Raises BadRequest, whose text says what is wrong with it."""
    exchange: Exchange = Told(message.attributes.request.http)  # type: ignore[assignment]
    return ParsedRequest(names, exchange)


def header(name: str, value: str) -> Any:  # noqa: ANN401
    """A header that takes the place of one of the same name."""
    return base_pb2.HeaderValueOption(
        header=base_pb2.HeaderValue(key=name, value=value),
        append_action=base_pb2.HeaderValueOption.OVERWRITE_IF_EXISTS_OR_ADD,
    )


def write_answer(out: Out) -> Any:  # noqa: ANN401
    """The one CheckResponse for an `Allowed`, `Refused` or `Mistaken`."""
    response = external_auth_pb2.CheckResponse()
    if isinstance(out, Allowed):
        response.ok_response.headers.append(header("x-timeout", f"{out.left:.3f}"))
        return response
    response.status.code = code_pb2.PERMISSION_DENIED
    denied = response.denied_response
    if isinstance(out, Refused):
        response.status.code = code_pb2.RESOURCE_EXHAUSTED
        denied.status.code = 503
        denied.headers.append(header("retry-after", f"{max(0.001, out.after):.3f}"))
    elif isinstance(out, Mistaken):
        response.status.code = code_pb2.INVALID_ARGUMENT
        denied.status.code, denied.body = 400, f"{out.why}\n"
        denied.headers.append(header("content-type", "text/plain"))
    return response


def read_end(entry: Any) -> tuple[str, Outcome, float, float | None]:  # noqa: ANN401
    """An HTTPAccessLogEntry: the request's id, how it ended, after how many seconds, the metered use."""
    common, flags = entry.common_properties, entry.common_properties.response_flags
    code, headers = entry.response.response_code.value, entry.response.response_headers
    if flags.downstream_connection_termination:
        outcome = Outcome.CANCELLED
    elif flags.upstream_connection_failure or flags.no_healthy_upstream:
        outcome = Outcome.CONNECT_FAILED
    elif flags.upstream_request_timeout or code == 504:
        outcome = Outcome.TIMEOUT
    elif flags.upstream_connection_termination or flags.upstream_remote_reset:
        outcome = Outcome.RESET
    elif code == 503 and "x-not-processed" in headers:
        outcome = Outcome.FULL
    else:
        outcome = Outcome.OK if 200 <= code < 400 else Outcome.ERROR
    length = common.duration or common.time_to_last_downstream_tx_byte
    delay = length.seconds + length.nanos / 1e9
    usage = read_usage(headers.get("usage-percent", "").encode("latin-1", "replace"))
    name = entry.request.request_id or common.stream_id
    return name, outcome, min(max(delay, 0.0), LONGEST), usage
