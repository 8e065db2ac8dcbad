"""Connections to hosts: the pools of `coralvale.net.upstream` with the X-Myrtlehatch-* headers.

An answer belongs to the request whose id it echoes. A host may send a surplus answer, directly after another
or in place of the next one. Such an answer is discarded, and the right one is awaited on the same connection.
An answer that echoes no id ends the attempt: nothing is known of the request, so it may have run.
"""

from __future__ import annotations

import re
import socket
from dataclasses import dataclass
from typing import Any

from coralvale.cluster.events import Event, RequestEvents, log_event
from coralvale.interface import Outcome
from coralvale.net.clock import Clock
from coralvale.net.transport import Answer, AnswerOwner, Attempt
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

    def connection_made(self, transport: Any) -> None:  # noqa: ANN401
        super().connection_made(transport)
        if sock := transport.get_extra_info("socket"):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKED_TIMEOUT_MS)

    def _find_owner(self) -> AnswerOwner:
        """The request whose id the answer echoes (PROTOCOL, hosts); unknown if it names none, or several.

        An answer of unknown owner ends the attempt as one that may have run, whatever it says: an answer that
        belongs to no request must not promise anything about this one.
        """
        assert isinstance(self.attempt, HostAttempt) and isinstance(self.pool.owner, Hosts)
        named = {value.decode("latin-1") for name, value in self.headers if name.lower() == REQUEST_ID}
        own = self.attempt.request
        if named == {own}:
            owner = AnswerOwner.OWN
        elif not any(named) or own in named:
            owner = AnswerOwner.UNKNOWN
        else:
            owner = AnswerOwner.OTHER
        self.pool.owner.answers[owner] += 1
        if RequestEvents.enabled and owner is not AnswerOwner.OWN:
            status, names = self.parser.get_status_code(), ", ".join(sorted(named)) or "none"
            log_event(Event.NOT_ITS_ANSWER, id=own, status=status, host=self.attempt.server, names=names)
        return owner

    def _make_answer(self) -> HostAnswer:
        answer = HostAnswer(self.status, [], self._whole_body())
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
        if 200 <= answer.status < 300 and (not answer.sealed or answer.encoded):
            return Outcome.ERROR  # not a valid answer of the host to this request
        return Outcome.OK


class HostAttempt(Attempt):
    """An attempt with the request id that its answer must echo."""

    request: str = ""


class Hosts(Upstreams):
    """Connection pools to hosts."""

    connection_class = HostConnection

    def __init__(self, clock: Clock, connect_timeout: float, idle: float, max_connections: int) -> None:
        super().__init__(clock, connect_timeout, idle, max_connections)
        self.answers = dict.fromkeys(AnswerOwner, 0)  # number of hosts' answers, by whose they are


__all__ = ["HostAnswer", "HostAttempt", "HostConnection", "Hosts", "Pool"]
