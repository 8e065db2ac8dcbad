"""Commands about locks, numbers, keys and watches."""

from __future__ import annotations

import json
import sys
import time
from collections.abc import Callable, Iterator
from http.client import HTTPException
from typing import Any
from urllib.parse import quote, urlencode

from coralvale.cluster.commands.asking import CommandError

DEFINITE_STATUSES = {
    200,
    400,
    404,
    409,
    410,
}  # statuses that say what is the case; after others another gateway is asked
MAX_ROUNDS = 10  # in which all gateways are asked until one gives a clear answer
RETRY_DELAY_S = 0.4  # s between rounds
LONG_POLL_MS = 2000  # for which a gateway keeps a watch waiting
LONG_POLL_MARGIN_S = 3.0  # s more until its answer is given up

GatewayCall = Callable[[str], tuple[int, bytes]]


def locks(*at: str, prefix: str = "", as_json: bool = False) -> int:
    """List locks: owner, fence, seconds since the last renewal that this leader answered, seconds left.

    A lock with less than 0 s left goes to the next who asks.

    :param at: Ctl addresses of gateways, ip:port
    :param prefix: of the names
    :param as_json: print one JSON object a line
    """
    return _print_rows(at, "locks", prefix, as_json, _format_lock)


def numbers(*at: str, prefix: str = "", as_json: bool = False) -> int:
    """List numbers: the last that was given under each name.

    :param at: Ctl addresses of gateways, ip:port
    :param prefix: of the names
    :param as_json: print one JSON object a line
    """
    return _print_rows(at, "numbers", prefix, as_json, lambda row: f"{row['Val']:>16} {row['Name']}")


def keys(group: str, *at: str, as_json: bool = False) -> int:
    """List the keys of a group with revision and value. The exit code is 1 where there is none.

    :param group: what its keys begin with, with the dot; a longer prefix does as well, "" is all keys
    :param at: Ctl addresses of gateways, ip:port
    :param as_json: print one JSON object a line
    """
    return _print_rows(
        at, "keys", group, as_json, lambda row: f"{row['Rev']:>10} {row['Name']:<32} {row['Val']}"
    )


def release(name: str, *at: str, fence: int, reason: str, as_json: bool = False) -> int:
    """Take a lock from its holder by hand. Each member of the core logs it as E702, with the reason.

    The holder is not told, and may count on the lock until its time is over: stop it first, or be sure that
    what it writes to checks fences. The exit code is 1 where the lock is not held under this fence.

    :param name: the lock's
    :param at: Ctl addresses of gateways, ip:port
    :param fence: of the hold that is to end, as `locks list` shows it
    :param reason: why, for the log
    :param as_json: print one JSON object
    """
    body = json.dumps({"fence": fence, "Reason": reason}).encode()
    status, answer, unclear = _definite_answer(at, lambda one: _post(one, "locks.expire", name, body))
    taken = status == 200
    # After a try without a clear answer nobody knows which try it was; that the lock is not held is known.
    done = taken or (status == 409 and unclear)
    if as_json:
        print(json.dumps({"name": name, "fence": fence, "released": done, "status": status}))
    elif done:
        print(f"{name}: fence {fence} holds it no more")
    elif status == 409:
        print(f"{name}: not held under fence {fence}", file=sys.stderr)
    else:
        raise CommandError(f"{name}: {status} {_decode(answer)}")
    return 0 if done else 1


def watch(group: str, *at: str, after: int = 0, seconds: float = 0.0, as_json: bool = False) -> int:
    """Print the puts of a group as they come: revision, key, value.

    The exit code is 1 where puts after the revision are not kept any more; `keys` shows what is there.

    :param group: the group's name, with its dot
    :param at: Ctl addresses of gateways, ip:port
    :param after: the revision to go on from; 0: the present one
    :param seconds: for which to watch; 0: until it is interrupted
    :param as_json: print one JSON object a line
    """
    ends = time.monotonic() + seconds if seconds else float("inf")
    known = after or _first_revision(at, group, ends)
    while (left := ends - time.monotonic()) > 0:
        events, revision = _poll_watch(at, group, known, int(min(LONG_POLL_MS, left * 1000)))
        for event in events:
            line = f"{event['Rev']:>10} {event['Name']:<32} {event['Val']}"
            print(json.dumps(event) if as_json else line, flush=True)
        if revision < 0:
            print(f"{group}: puts after revision {known} are not kept any more", file=sys.stderr)
            return 1
        known = revision
    return 0


def _first_revision(at: tuple[str, ...], group: str, ends: float) -> int:
    """The group's revision. A group is there from its first put on, and watched from there."""
    waited = False
    while (revision := _poll_watch(at, group, 0, 0)[1]) == 0 and time.monotonic() < ends:
        waited = True
        time.sleep(RETRY_DELAY_S)
    if waited and revision:
        print(f"{group}: watched from revision {revision} on; `keys` shows what is there", file=sys.stderr)
    return revision


def _poll_watch(
    at: tuple[str, ...], group: str, after: int, poll_ms: int
) -> tuple[list[dict[str, Any]], int]:
    """Puts above a revision, and the revision up to which they are all; -1: they are not kept."""
    from coralvale.cluster.sending import get

    path = f"/watch/{quote(group, safe='')}?{urlencode({'after': after, 'PollMs': poll_ms})}"
    status, answer, _ = _definite_answer(at, lambda one: get(one, path, poll_ms / 1000 + LONG_POLL_MARGIN_S))
    if status == 410:
        return [], -1
    if status != 200:
        raise CommandError(f"{group}: {status} {_decode(answer)}")
    found = _parse_object(answer)
    return found["Events"], found["Rev"]


def _print_rows(
    at: tuple[str, ...], kind: str, prefix: str, as_json: bool, line: Callable[[dict[str, Any]], str]
) -> int:
    for row in _rows(at, kind, prefix):
        print(json.dumps(row) if as_json else line(row))
    return 0


def _format_lock(row: dict[str, Any]) -> str:
    renewed = "-" if row["RenewedS"] is None else f"{row['RenewedS']:.1f}"
    times = f"{row['HoldMs'] / 1000:>7.1f} s held {renewed:>8} s renewed {row['LeftS']:>8.1f} s left"
    return f"{row['Name']:<32} {row['Owner']:<24} fence {row['fence']:<10} {times}"


def _rows(at: tuple[str, ...], kind: str, prefix: str) -> Iterator[dict[str, Any]]:
    """Page by page; each is as new as its call, and not all are of one moment."""
    page = _page(at, kind, prefix, "")
    yield from page["Rows"]
    while page["More"]:
        page = _page(at, kind, prefix, page["Rows"][-1]["Name"])
        yield from page["Rows"]


def _page(at: tuple[str, ...], kind: str, prefix: str, after: str) -> dict[str, Any]:
    body = json.dumps({"After": after, "Prefix": prefix}).encode()
    status, answer, _ = _definite_answer(at, lambda one: _post(one, "coordination.list", kind, body))
    if status != 200:
        raise CommandError(f"{kind}: {status} {_decode(answer)}")
    return _parse_object(answer)


def _post(at: str, call: str, of: str, body: bytes) -> tuple[int, bytes]:
    from coralvale.cluster.sending import post

    return post(at, f"/rpc?{urlencode({'call': call, 'of': of})}", body)


def _definite_answer(at: tuple[str, ...], ask: GatewayCall) -> tuple[int, bytes, bool]:
    """Status and body of the first clear answer, and whether a try before it may have taken effect. Raises
    Fault where none comes."""
    if not at:
        raise CommandError("at least one ip:port")
    last, unclear = "", False
    for number in range(MAX_ROUNDS):
        time.sleep(RETRY_DELAY_S if number else 0.0)
        for one in at:
            try:
                status, body = ask(one)
            except (OSError, HTTPException) as error:
                last, unclear = f"{one}: {error}", True
                continue
            if status in DEFINITE_STATUSES:
                return status, body, unclear
            last = f"{one}: {status} {_decode(body)}"
            unclear = unclear or status not in (429, 503)
    raise CommandError(last)


def _parse_object(body: bytes) -> dict[str, Any]:
    try:
        found = json.loads(body)
    except ValueError:
        found = None
    if not isinstance(found, dict):
        raise CommandError("not an answer of a gateway")
    return found


def _decode(body: bytes) -> str:
    return body.decode(errors="replace")
