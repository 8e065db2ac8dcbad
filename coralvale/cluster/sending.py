"""An operator's change, sent until it gets a clear answer (PROTOCOL, the operator): to one gateway after another,
unchanged, with a growing pause. No clear answer means that it may or may not be in force."""

from __future__ import annotations

import json
import time
import urllib.error
import urllib.request
from collections.abc import Callable, Sequence
from typing import Any

from attrs import frozen

ANSWER_TIMEOUT_S = 3.0  # s for one answer
RETRY_DELAYS_S = (0.1, 0.2, 0.4, 0.8, 1.5)  # s until the next gateway is asked
DEFINITE_STATUSES = {200, 400, 401, 403, 404, 409, 412, 413, 422}


@frozen
class Sent:
    """`status` 0: no clear answer."""

    status: int
    gateway: str
    reason: str
    tries: int


def post(gateway: str, path: str, body: bytes, **headers: str) -> tuple[int, bytes]:
    """One call of a gateway. Raises OSError where none answers."""
    request = urllib.request.Request(f"http://{gateway}{path}", data=body, method="POST")
    request.add_header("Content-Type", "application/json")
    for name, value in headers.items():
        request.add_header(name.replace("_", "-"), value)
    return _answer(request, ANSWER_TIMEOUT_S)


def get(gateway: str, path: str, timeout: float) -> tuple[int, bytes]:
    """One question to a gateway, which answers within `timeout` s. Raises OSError where none answers."""
    return _answer(urllib.request.Request(f"http://{gateway}{path}"), timeout)


def _answer(request: urllib.request.Request, timeout: float) -> tuple[int, bytes]:
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return int(answer.status), answer.read()
    except urllib.error.HTTPError as error:
        with error:
            return error.code, error.read()


def call_of(change: Any) -> str:  # noqa: ANN401
    """The call that a change is sent by. Raises ValueError where it is none."""
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
    """Sends a change until it is taken or refused, for `timeout` s; `told` hears of each unclear try."""
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
        pause = RETRY_DELAYS_S[min(tries, len(RETRY_DELAYS_S)) - 1]
        if clock() + pause >= ends:
            return Sent(0, gateway, reason, tries)
        sleep(pause)
