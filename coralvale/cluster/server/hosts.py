"""Connections to hosts: the pools of `coralvale.net.upstream`, with the marks of the system's wire.

An answer belongs to the request whose id it echoes. A host may send one more answer than it was asked for,
at once or in the place of the next: such an answer is passed over, and the right one is waited for on the
same connection.
"""

from __future__ import annotations

import re
import socket
from dataclasses import dataclass
from typing import Any

from coralvale.interface import Outcome
from coralvale.net.transport import Answer, Attempt
from coralvale.net.upstream import NOT_PASSED_ON, Connection, Pool, Upstreams

ID = b"x-myrtlehatch-request-id"
SEAL = b"x-myrtlehatch-seal"
LOAD = b"x-myrtlehatch-load"
NOT_EXECUTED = b"x-myrtlehatch-not-executed"
OURS = {LOAD, NOT_EXECUTED}  # told to the gateway alone
NOT_ON = NOT_PASSED_ON | OURS
FIGURES = re.compile(rb"(\d{1,6}),(\d{1,6}),(\d{1,6})")
KEEP = re.compile(rb"timeout=(\d{1,6})")
SILENCE_MS = 1500  # that what was written may stand unacknowledged: a machine without power says nothing


@dataclass(slots=True, eq=False)
class HostAnswer(Answer):
    """A host's answer with what the system's marks say."""

    load: tuple[int, int, int] | None = None
    sealed: bool = False
    encoded: bool = False  # with a coding that nobody asked for


class HostConnection(Connection):
    """One connection to a host."""

    foreign = False  # the answer that is being read belongs to another request
    nameless = False  # it names none

    def connection_made(self, transport: Any) -> None:  # noqa: ANN401
        super().connection_made(transport)
        if sock := transport.get_extra_info("socket"):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SILENCE_MS)

    def on_headers_complete(self) -> None:
        self.foreign = self.nameless = False
        if not self.complete and self.parser.get_status_code() >= 200 and self.attempt:
            ids = [value for name, value in self.headers if name.lower() == ID]
            self.nameless = not ids
            self.foreign = bool(ids) and any(i.decode("latin-1") != self.attempt.request for i in ids)  # type: ignore[attr-defined]
        super().on_headers_complete()

    def on_message_complete(self) -> None:
        if self.foreign and not self.complete:
            heard = self.last_read_at
            self._clear()
            self.last_read_at, self.foreign = heard, False
            return
        super().on_message_complete()

    def _read(self, data: bytes) -> None:
        super()._read(data)
        if self.foreign:
            self.body.clear()

    def _stream(self) -> None:
        if not self.foreign:
            super()._stream()

    def _make_answer(self) -> HostAnswer:
        passed_on = self.attempt is not None and self.attempt.sink is not None
        answer = HostAnswer(self.status, [], b"" if passed_on or not self.complete else b"".join(self.body))
        for name, value in self.headers:
            lower = name.lower()
            if lower == LOAD:
                if found := FIGURES.fullmatch(value):
                    answer.load = (int(found[1]), int(found[2]), int(found[3]))
            elif lower == NOT_EXECUTED:
                answer.not_processed = True
            elif lower not in NOT_ON:
                answer.headers.append((name, value))
                if lower == SEAL:
                    answer.sealed = True
                elif lower == b"content-encoding":
                    answer.encoded = True
            elif lower == b"keep-alive" and (keep := KEEP.search(value)):
                limit = self.pool.owner.idle_limit
                limit.max_s = max(0.2, min(limit.max_s, 0.8 * int(keep[1])))
                limit.limit_s = min(limit.limit_s, limit.max_s)
        return answer

    def _outcome(self, answer: Answer) -> Outcome:
        """What a whole answer says of its request (PROTOCOL, hosts)."""
        assert isinstance(answer, HostAnswer)
        if answer.not_processed or answer.status == 421:
            return Outcome.FULL
        if 200 <= answer.status < 300 and (not answer.sealed or answer.encoded or self.nameless):
            return Outcome.ERROR  # not the host's answer to this request
        return Outcome.OK


class HostAttempt(Attempt):
    """An attempt with the id that its answer has to echo."""

    request: str = ""


class Hosts(Upstreams):
    connection_class = HostConnection


__all__ = ["HostAnswer", "HostAttempt", "HostConnection", "Hosts", "Pool"]
