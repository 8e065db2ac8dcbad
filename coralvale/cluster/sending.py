"""Sending an operator's change until it gets a definite answer (PROTOCOL, the operator).

The unchanged request goes to one gateway after another, with growing delays. Without a definite answer the
change may or may not be in force.
"""

from __future__ import annotations

import json
import time
import urllib.error
import urllib.request
from collections.abc import Callable, Sequence
from typing import Any

from attrs import frozen

ANSWER_TIMEOUT_S = 3.0  # of one request
RETRY_DELAYS_S = (0.1, 0.2, 0.4, 0.8, 1.5)  # before the next gateway is asked; the last one repeats
DEFINITE_STATUSES = {200, 400, 401, 403, 404, 409, 412, 413, 422}  # the change is taken, or refused for good


@frozen
class Sent:
    """How it ended. `status`: of the HTTP answer, 0 without a definite one; `gateway`: the last one asked."""

    status: int
    gateway: str
    reason: str
    tries: int


def post(gateway: str, path: str, body: bytes, **headers: str) -> tuple[int, bytes]:
    """Sends one call to a gateway; returns status and body. Raises OSError if it does not answer.

    `headers`: underscores in their names stand for hyphens.
    """
    request = urllib.request.Request(f"http://{gateway}{path}", data=body, method="POST")
    request.add_header("Content-Type", "application/json")
    for name, value in headers.items():
        request.add_header(name.replace("_", "-"), value)
    return _answer(request, ANSWER_TIMEOUT_S)


def get(gateway: str, path: str, timeout: float) -> tuple[int, bytes]:
    """Asks a gateway, with a timeout in s; returns status and body. Raises OSError if it does not answer."""
    return _answer(urllib.request.Request(f"http://{gateway}{path}"), timeout)


def _answer(request: urllib.request.Request, timeout: float) -> tuple[int, bytes]:
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return int(answer.status), answer.read()
    except urllib.error.HTTPError as error:
        with error:
            return error.code, error.read()


def call_of(change: Any) -> str:  # noqa: ANN401
    """The name of the call for a change. Raises ValueError if it is not a change."""
    if not isinstance(change, dict) or not isinstance(change.get("Ver"), int):
        raise ValueError("expected an object with a number Ver")
    if "Upsert" in change or "Remove" in change:
        return "config.update"
    if "Routes" in change or "Svcs" in change:
        return "config.replace"
    raise ValueError(
        "expected Routes and Svcs (a whole configuration), or Upsert and Remove (a change by name)"
    )


def send(
    change: dict[str, Any],
    base: int,
    gateways: Sequence[str],
    timeout: float,
    on_unclear: Callable[[str], object],
    ask: Callable[..., tuple[int, bytes]] = post,
    clock: Callable[[], float] = time.monotonic,
    sleep: Callable[[float], object] = time.sleep,
) -> Sent:
    """Sends a change until it is taken or refused, for at most `timeout` s.

    `base`: the version that it builds on; `on_unclear`: called with a line of text after each try without a
    definite answer.
    """
    path, body = f"/rpc?call={call_of(change)}", json.dumps(change).encode()
    ends, tries, status, reason, gateway = clock() + timeout, 0, 0, "", ""
    while True:
        gateway = gateways[tries % len(gateways)]
        tries += 1
        try:
            status, answer = ask(gateway, path, body, X_Myrtlehatch_Base_Version=str(base))
            reason = answer.decode(errors="replace").strip()
        except OSError as error:
            status, reason = 0, str(error)
        if status in DEFINITE_STATUSES:
            return Sent(status, gateway, reason, tries)
        on_unclear(f"{gateway}: {status or 'no answer'} {reason}")
        delay = RETRY_DELAYS_S[min(tries, len(RETRY_DELAYS_S)) - 1]
        if clock() + delay >= ends:
            return Sent(0, gateway, reason, tries)
        sleep(delay)
