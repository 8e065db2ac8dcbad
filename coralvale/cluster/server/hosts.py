"""Connections to hosts: the pools of `coralvale.net.upstream` with the X-Myrtlehatch-* headers.

An answer belongs to the request whose id it echoes. A host may send a surplus answer, directly after another
or in place of the next one. Such an answer is discarded, and the right one is awaited on the same connection.
"""

from __future__ import annotations

import re
import socket
from dataclasses import dataclass
from typing import Any

from coralvale.interface import Outcome
from coralvale.net.transport import Answer, Attempt
from coralvale.net.upstream import NOT_PASSED_ON, Connection, Pool, Upstreams

REQUEST_ID = b"x-myrtlehatch-request-id"
SEAL = b"x-myrtlehatch-seal"
LOAD = b"x-myrtlehatch-load"
NOT_EXECUTED = b"x-myrtlehatch-not-executed"
GATEWAY_ONLY = {LOAD, NOT_EXECUTED}  # response headers meant for the gateway
NOT_FORWARDED = NOT_PASSED_ON | GATEWAY_ONLY
LOAD_PATTERN = re.compile(rb"(\d{1,6}),(\d{1,6}),(\d{1,6})")
KEEP_ALIVE_PATTERN = re.compile(rb"timeout=(\d{1,6})")
FINAL_STATUSES = range(200, 600)  # RFC 9110, section 15: any other is invalid
# TCP_USER_TIMEOUT: limit for unacknowledged data; a machine that lost power neither answers nor resets.
UNACKED_TIMEOUT_MS = 1500


@dataclass(slots=True, eq=False)
class HostAnswer(Answer):
    """A host's answer with the contents of its X-Myrtlehatch-* headers.

    `load`: the three figures of X-Myrtlehatch-Load; `sealed`: it carries X-Myrtlehatch-Seal.
    """

    load: tuple[int, int, int] | None = None
    sealed: bool = False
    encoded: bool = False  # it has a Content-Encoding, which was not requested


class HostConnection(Connection):
    """One connection to a host; discards answers to other requests."""

    # PROTOCOL, hosts: after a reset, a close or silence, a request that was sent may have run. NEWS-18, UNASKED:
    # a host may answer before it has read a long body, so it may run a request of which it has only the head.
    may_run_in_part = True
    other_request = False  # the answer being read echoes the id of another request
    missing_id = False  # the answer being read echoes no id

    def connection_made(self, transport: Any) -> None:  # noqa: ANN401
        super().connection_made(transport)
        if sock := transport.get_extra_info("socket"):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKED_TIMEOUT_MS)

    def on_headers_complete(self) -> None:
        self.other_request = self.missing_id = False
        if not self.complete and self.parser.get_status_code() >= 200 and self.attempt:
            ids = [value for name, value in self.headers if name.lower() == REQUEST_ID]
            self.missing_id = not ids
            self.other_request = bool(ids) and any(i.decode("latin-1") != self.attempt.request for i in ids)  # type: ignore[attr-defined]
        super().on_headers_complete()
        if self.other_request:  # the end of the connection must not complete it for this request
            self.ends_with_connection = False

    def on_message_complete(self) -> None:
        if self.other_request and not self.complete:
            heard = self.last_read_at
            self._clear()
            self.last_read_at, self.other_request = heard, False
            return
        super().on_message_complete()

    def _read(self, data: bytes) -> None:
        super()._read(data)
        if self.other_request:
            self.body.clear()

    def _stream(self) -> None:
        if not self.other_request:
            super()._stream()

    def _make_answer(self) -> HostAnswer:
        passed_on = self.attempt is not None and self.attempt.sink is not None
        answer = HostAnswer(self.status, [], b"" if passed_on or not self.complete else b"".join(self.body))
        for name, value in self.headers:
            lower = name.lower()
            if lower == LOAD:
                if found := LOAD_PATTERN.fullmatch(value):
                    answer.load = (int(found[1]), int(found[2]), int(found[3]))
            elif lower == NOT_EXECUTED:
                answer.not_processed = True
            elif lower not in NOT_FORWARDED:
                answer.headers.append((name, value))
                if lower == SEAL:
                    answer.sealed = True
                elif lower == b"content-encoding":
                    answer.encoded = True
            elif lower == b"keep-alive" and (keep := KEEP_ALIVE_PATTERN.search(value)):
                limit = self.pool.owner.idle_limit
                limit.max_s = max(0.2, min(limit.max_s, 0.8 * int(keep[1])))
                limit.limit_s = min(limit.limit_s, limit.max_s)
        return answer

    def _outcome(self, answer: Answer) -> Outcome:
        """The outcome of an attempt by its complete answer (PROTOCOL, hosts)."""
        assert isinstance(answer, HostAnswer)
        if answer.status not in FINAL_STATUSES:
            return Outcome.ERROR
        if answer.not_processed or answer.status == 421:
            return Outcome.FULL
        if 200 <= answer.status < 300 and (not answer.sealed or answer.encoded or self.missing_id):
            return Outcome.ERROR  # not a valid answer of the host to this request
        return Outcome.OK


class HostAttempt(Attempt):
    """An attempt with the request id that its answer must echo."""

    request: str = ""


class Hosts(Upstreams):
    """Connection pools to hosts."""

    connection_class = HostConnection


__all__ = ["HostAnswer", "HostAttempt", "HostConnection", "Hosts", "Pool"]
