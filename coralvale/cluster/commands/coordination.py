"""Commands for coordination: locks, numbers, keys and watches."""

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
}  # after any other status the next gateway is asked
MAX_ROUNDS = 10  # in each of which all gateways are asked until one gives a definite answer
RETRY_DELAY_S = 0.4  # between rounds, and between looks for a group that does not exist yet
LONG_POLL_MS = 2000  # for which a gateway holds a watch call open
LONG_POLL_MARGIN_S = 3.0  # beyond that until the call times out

GatewayCall = Callable[[str], tuple[int, bytes]]


def locks(*at: str, prefix: str = "", as_json: bool = False) -> int:
    """List locks: owner, fencing token, hold time, seconds since the last renewal, seconds left.

    Only renewals that the present leader answered are counted. A lock with less than 0 s left has expired and
    is given to the next caller.

    :param at: Ctl addresses of gateways, ip:port
    :param prefix: only names that begin with this
    :param as_json: print one JSON object per line
    """
    return _print_rows(at, "locks", prefix, as_json, _format_lock)


def numbers(*at: str, prefix: str = "", as_json: bool = False) -> int:
    """List numbers: the last one that was issued for each name.

    :param at: Ctl addresses of gateways, ip:port
    :param prefix: only names that begin with this
    :param as_json: print one JSON object per line
    """
    return _print_rows(at, "numbers", prefix, as_json, lambda row: f"{row['Val']:>16} {row['Name']}")


def keys(group: str, *at: str, as_json: bool = False) -> int:
    """List the keys of a group with revision and value.

    :param group: the prefix of its keys, with the dot; a longer prefix works as well, "" lists all keys
    :param at: Ctl addresses of gateways, ip:port
    :param as_json: print one JSON object per line
    """
    return _print_rows(
        at, "keys", group, as_json, lambda row: f"{row['Rev']:>10} {row['Name']:<32} {row['Val']}"
    )


def release(name: str, *at: str, fence: int, reason: str, as_json: bool = False) -> int:
    """Take a lock from its holder by hand. Each core member logs this as E702, with the reason.

    The holder is not notified and may rely on the lock until its hold expires: stop it first, or be sure that
    the storage it writes to checks fencing tokens. The exit code is 1 if the fence does not hold the lock.

    :param name: the lock's name
    :param at: Ctl addresses of gateways, ip:port
    :param fence: fencing token of the hold that is to end, as `locks list` shows it
    :param reason: why, for the log
    :param as_json: print one JSON object
    """
    body = json.dumps({"fence": fence, "Reason": reason}).encode()
    status, answer, unclear = _definite_answer(at, lambda one: _post(one, "locks.expire", name, body))
    taken = status == 200
    # After an attempt without a definite answer, a 409 may mean that this attempt had already released the
    # lock. In any case the lock is not held under this fence.
    done = taken or (status == 409 and unclear)
    if as_json:
        print(json.dumps({"name": name, "fence": fence, "released": done, "status": status}))
    elif done:
        print(f"{name}: released; fence {fence} no longer holds it")
    elif status == 409:
        print(f"{name}: not held under fence {fence}", file=sys.stderr)
    else:
        raise CommandError(f"{name}: {status} {_decode(answer)}")
    return 0 if done else 1


def watch(group: str, *at: str, after: int = 0, seconds: float = 0.0, as_json: bool = False) -> int:
    """Print the puts of a group as they happen: revision, key, value.

    The exit code is 1 if puts after the revision are no longer retained; `keys` shows the current values.

    :param group: the group's name, with its dot
    :param at: Ctl addresses of gateways, ip:port
    :param after: the revision to continue from; 0: the current one
    :param seconds: how long to watch; 0: until interrupted
    :param as_json: print one JSON object per line
    """
    ends = time.monotonic() + seconds if seconds else float("inf")
    known = after or _first_revision(at, group, ends)
    while (left := ends - time.monotonic()) > 0:
        events, revision = _poll_watch(at, group, known, int(min(LONG_POLL_MS, left * 1000)))
        for event in events:
            line = f"{event['Rev']:>10} {event['Name']:<32} {event['Val']}"
            print(json.dumps(event) if as_json else line, flush=True)
        if revision < 0:
            print(f"{group}: puts after revision {known} are no longer retained", file=sys.stderr)
            return 1
        known = revision
    return 0


def _first_revision(at: tuple[str, ...], group: str, ends: float) -> int:
    """The group's current revision. A group exists from its first put on: waits for that, up to `ends`."""
    waited = False
    while (revision := _poll_watch(at, group, 0, 0)[1]) == 0 and time.monotonic() < ends:
        waited = True
        time.sleep(RETRY_DELAY_S)
    if waited and revision:
        print(f"{group}: watching from revision {revision} on; `keys` shows current values", file=sys.stderr)
    return revision


def _poll_watch(
    at: tuple[str, ...], group: str, after: int, poll_ms: int
) -> tuple[list[dict[str, Any]], int]:
    """Puts after a revision, and the revision up to which they are complete; -1: no longer retained."""
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
    """All rows, fetched page by page. Pages are read one after another, so they are not one snapshot."""
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
    """Status and body of the first definite answer, and whether an earlier attempt may have taken effect.

    Raises CommandError if no gateway gives one.
    """
    if not at:
        raise CommandError("give at least one Ctl address, ip:port")
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
        raise CommandError("the answer is not a JSON object; is this a gateway's Ctl address?")
    return found


def _decode(body: bytes) -> str:
    return body.decode(errors="replace")
