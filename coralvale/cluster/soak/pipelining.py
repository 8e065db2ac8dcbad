"""Clients of a soak that have several requests in hand on one connection.

A client may write its next request before the answer to the one before it has come, or while it is being read
(RFC 9112, section 9.3.2). Answers come in the order of the requests.
"""

from __future__ import annotations

import asyncio
import random
from collections import deque

from coralvale.cluster.soak.clients import (
    GIVE_UP_AFTER_S,
    Client,
    RequestSpec,
    encode_request,
    read_answer,
)
from coralvale.cluster.soak.history import Closed, Left, Silent, Written, now
from coralvale.cluster.soak.wire import read_body, read_head
from coralvale.standins.wire import Message

PART_READ_BYTES = 1024  # of an answer, after which the next request is written


class PipeliningClient(Client):
    """A client that sends series of requests, and goes on behind `Connection: close` until it is cut off."""

    async def send_series(self, specs: list[RequestSpec], overlapping: bool) -> int:
        """Sends requests on one connection; returns how many were answered.

        `overlapping`: each request but the first is written while the answer to the one before it is read;
        otherwise all are written at once.
        """
        if self.writer is None and not await self.connect_to_any():
            await asyncio.sleep(0.1)
            return 0
        waiting = deque(specs)
        in_hand: deque[str] = deque()
        answered = 0
        try:
            async with asyncio.timeout(max(spec.limit for spec in specs) + GIVE_UP_AFTER_S):
                self._write_next(waiting, in_hand)
                while waiting and not overlapping:
                    self._write_next(waiting, in_hand)
                while in_hand:
                    found = await self._read_next(waiting, in_hand)
                    self.history.write(read_answer(in_hand.popleft(), found))
                    answered += 1
        except TimeoutError:
            self._record_unanswered(in_hand, Silent)
        except asyncio.IncompleteReadError as error:
            self._record_closed(in_hand, begun=bool(error.partial))
        except (OSError, ValueError):
            self._record_closed(in_hand, begun=False)
        except asyncio.CancelledError:
            self._record_unanswered(in_hand, Left)
            self.close()
            raise
        if answered < len(specs):
            self.close()
        return answered

    def _write_next(self, waiting: deque[RequestSpec], in_hand: deque[str]) -> None:
        assert self.writer
        spec, id_ = waiting.popleft(), f"{random.getrandbits(64):016x}"
        in_hand.append(id_)
        self.record_sent(id_, spec)
        self.writer.write(encode_request(id_, spec))
        self.history.write(Written(now(), id_))

    async def _read_next(self, waiting: deque[RequestSpec], in_hand: deque[str]) -> Message:
        """Reads an answer; writes the next request, if one waits, once a part of the answer has come."""
        assert self.reader
        first, headers = await read_head(self.reader)
        length = int(headers.get(b"content-length", b"0"))
        if not waiting or b"content-length" not in headers:
            return Message(first, headers, await read_body(self.reader, headers))
        part = await self.reader.readexactly(min(length, PART_READ_BYTES))
        self._write_next(waiting, in_hand)
        return Message(first, headers, part + await self.reader.readexactly(length - len(part)))

    def _record_unanswered(self, in_hand: deque[str], kind: type[Silent | Left]) -> None:
        for id_ in in_hand:
            self.history.write(kind(now(), id_))

    def _record_closed(self, in_hand: deque[str], begun: bool) -> None:
        for number, id_ in enumerate(in_hand):
            self.history.write(Closed(now(), id_, begun=begun and not number))
