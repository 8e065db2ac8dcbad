"""Applications' calls for locks, numbers, keys and watches: handled here by the leader, else forwarded to it."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import attrs

from coralvale.cluster.coordination.model import (
    Call,
    Compacted,
    Conflict,
    Found,
    Full,
    Granted,
    Held,
    KeyRow,
    Listed,
    LockRow,
    NotFound,
    NotHeld,
    Number,
    NumberRow,
    Outcome,
    Released,
    Renewed,
    Row,
    Stored,
    Unavailable,
    Unknown,
    Watch,
    Watched,
)
from coralvale.cluster.coordination.model import Event as Put
from coralvale.cluster.coordination.notices import ExpiredByHand, Notice, TakenOver
from coralvale.cluster.errors import ANSWERS, Kind
from coralvale.cluster.events import Event, log_event
from coralvale.cluster.server.coordination_figures import CoordinationMetrics
from coralvale.cluster.server.core import Core
from coralvale.cluster.server.ctl import StatusAndBody
from coralvale.cluster.server.messages import CoordinationRequest, Reply
from coralvale.cluster.server.peers import PeerConnection
from coralvale.cluster.server.runtime import Runtime

CALL_TIMEOUT_S = 0.95  # callers turn to another gateway after one second without an answer
FORWARDING_MARGIN_S = 0.03  # by which the leader's timeout is shorter than that of the forwarding gateway


class Coordination:
    """Answers coordination calls, and logs and counts what happens to them."""

    def __init__(self, runtime: Runtime, core: Core) -> None:
        self.runtime, self.core, self.metrics = runtime, core, CoordinationMetrics()
        self.stopping: asyncio.Future[None] = runtime.loop.create_future()

    def stop(self) -> None:
        """Answers all waiting watches, because this process is being stopped; later ones do not wait."""
        if not self.stopping.done():
            self.stopping.set_result(None)

    async def call(self, call: Call) -> StatusAndBody:
        """Handles an application's call to this gateway."""
        answered = await (self._watch(call) if isinstance(call, Watch) else self._call(call))
        self.metrics.record_answer(call, answered[0])
        return answered

    async def _watch(self, call: Watch) -> StatusAndBody:
        """Waits for a watch's answer, but not while this process is being stopped.

        The caller can resume the watch at any other gateway.
        """
        waiting = self.runtime.loop.create_task(self._call(call))
        await asyncio.wait((waiting, self.stopping), return_when=asyncio.FIRST_COMPLETED)
        if waiting.done():
            return waiting.result()
        waiting.cancel()
        return answer(Unavailable("this gateway is being stopped"))

    async def _call(self, call: Call) -> StatusAndBody:
        timeout = _timeout(call)
        if self.core.is_leader():
            return answer(await self._settle(call, timeout))
        _, leader, _ = self.core.known_view()
        if not leader or leader == self.runtime.settings.Ip:
            return answer(Unavailable("no leader is known"))
        number = self.runtime.peers.next_number()
        request = CoordinationRequest(number, call)
        reply = await self.runtime.peers.link(leader).request(number, request, timeout)
        if isinstance(reply, Reply):
            return reply.status, reply.body
        return answer(Unknown("the leader does not answer"))

    async def handle_forwarded(self, frames: PeerConnection, request: CoordinationRequest) -> None:
        """Handles a call that another gateway forwarded; it is not forwarded again."""
        if self.core.is_leader():
            outcome = await self._settle(request.call, _timeout(request.call) - FORWARDING_MARGIN_S)
        else:
            outcome = Unavailable("not the leader")
        frames.send(Reply(request.number, *answer(outcome)))

    async def _settle(self, call: Call, timeout: float) -> Outcome:
        """Handles a call as the leader."""
        begun = self.runtime.clock.monotonic()
        outcome = await self.core.coordinate(call, timeout)
        self.metrics.record_outcome(call, outcome, self.runtime.clock.monotonic() - begun)
        return outcome

    def handle_notice(self, notice: Notice) -> None:
        """Logs that a lock left its holder without the holder's doing, as delivered by the replicated log."""
        match notice:
            case TakenOver():
                self.metrics.takeovers += 1
                log_event(Event.LOCK_TAKEN_OVER, **attrs.asdict(notice))
            case ExpiredByHand():
                log_event(Event.LOCK_EXPIRED_BY_HAND, **attrs.asdict(notice))

    def tick(self, now: float) -> None:
        """Samples the rates and logs which limits were reached; called once a second."""
        desk = self.core.coordination_desk
        self.metrics.sample_rates(now, desk.turns if desk else 0)
        for reason, count in self.metrics.limit_hits.items():
            log_event(Event.COORDINATION_FULL, count=count, reason=reason)
        self.metrics.limit_hits.clear()


def _timeout(call: Call) -> float:
    """Timeout of a call in seconds."""
    return CALL_TIMEOUT_S + (call.poll_ms / 1000 if isinstance(call, Watch) else 0.0)


def answer(outcome: Outcome) -> StatusAndBody:
    """HTTP status and body for an outcome."""
    match outcome:
        case Granted():
            return _body({"fence": outcome.fence})
        case Renewed() | Released():
            return _body({})
        case Number():
            return _body({"Val": outcome.value})
        case Stored():
            return _body({"Rev": outcome.revision})
        case Found():
            return _body({"Val": outcome.value, "Rev": outcome.revision})
        case Watched():
            return _body({"Events": [_event(e) for e in outcome.events], "Rev": outcome.revision})
        case Listed():
            return _body({"Rows": [_row(row) for row in outcome.rows], "More": outcome.more})
        case Conflict():
            return _problem(Kind.OTHER_REVISION, {"Rev": outcome.revision})
        case Held():
            return _problem(Kind.HELD)
        case NotHeld():
            return _problem(Kind.NOT_HELD)
        case NotFound():
            return _problem(Kind.NO_SUCH_KEY)
        case Compacted():
            return _problem(Kind.COMPACTED)
        case Full():
            return _problem(Kind.LIMIT_REACHED, {"Reason": outcome.reason})
        case Unavailable():
            return _problem(Kind.UNAVAILABLE, {"Reason": outcome.reason})
        case Unknown():
            return _problem(Kind.UNKNOWN_OUTCOME, {"Reason": outcome.reason})


def _event(event: Put) -> dict[str, Any]:
    return {"Name": event.key, "Val": event.value, "Rev": event.revision}


def _row(row: Row) -> dict[str, Any]:
    match row:
        case LockRow():
            renewed = None if row.renewed_s is None else round(row.renewed_s, 3)
            lease = {"HoldMs": row.hold_ms, "RenewedS": renewed, "LeftS": round(row.left_s, 3)}
            return {"Name": row.name, "Owner": row.owner, "fence": row.fence, **lease}
        case NumberRow():
            return {"Name": row.name, "Val": row.value}
        case KeyRow():
            return {"Name": row.name, "Val": row.value, "Rev": row.revision}


def _body(fields: dict[str, Any]) -> StatusAndBody:
    return 200, json.dumps(fields, separators=(",", ":")).encode()


def _problem(kind: Kind, fields: dict[str, Any] | None = None) -> StatusAndBody:
    fields = fields or {"Reason": kind.value}
    return ANSWERS[kind].status, json.dumps(fields, separators=(",", ":")).encode()
