"""A gateway's copy of the plan book: asked for over HTTP, kept on disk, handed to the terms.

It asks for what comes after the record that it has, and waits for it a third of the lead at most; so it is in
touch as long as one of two questions in a row is answered. Nothing here is on the path of a request.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import logging
import math
from typing import Any

import aiohttp

from coralvale.disk import Folder, InUse
from coralvale.net.clock import Clock
from coralvale.operator.model import Plans
from coralvale.plans.book import Book
from coralvale.plans.model import PlansError, entry_of
from coralvale.plans.service import context
from coralvale.plans.store import Store
from coralvale.plans.terms import Terms

log = logging.getLogger(__name__)

FIRST, LONGEST = 0.1, 1.0  # s between tries while the service does not answer
ANSWER = 2.0  # s beyond what it waits that an answer may take
MOST = 256 * 1024 * 1024  # bytes of an answer
LOCKED = 1.0  # s between looks at a folder that the process before this one still has


class Follower:
    """Follows the service that a table names; `terms` are told of all that comes."""

    def __init__(self, table: Plans, name: str, terms: Terms, clock: Clock) -> None:
        self.table, self.name, self.terms, self.clock = table, name, terms, clock
        self.scheme = "https" if table.tls else "http"
        self.tls = context(table.tls, server=False)
        self.book, self.id = Book(), ""
        self.folder: Folder | None = None
        self.store: Store | None = None
        self.well: bool | None = None  # None: not asked yet
        self.told: str = ""
        if table.directory:
            self._open()

    # The copy on disk

    def _open(self) -> None:
        """Takes the folder, and the book in it if there is one; without it goes on from the service alone."""
        try:
            self.folder = Folder(self.table.directory)
        except InUse:
            return  # the process before this one: it will go
        except OSError as error:
            self._lost(error)
            return
        store = Store(self.folder, sync=False)
        try:
            book = store.load()
        except PlansError as error:
            log.error("plans: the copy is of no use, %s: it is fetched anew", error)
            book = None
        except OSError as error:
            self._lost(error)
            return
        self.store = store
        if book is not None and not self.id:
            self.book, self.id = book, store.id
            self.terms.changed(book)
            log.info("plans: record %d from the copy", book.serial)
        elif self.id:
            self._write_whole()

    def _lost(self, error: OSError) -> None:
        log.error("plans: no copy is kept: %s", error)
        self._release()

    def _release(self) -> None:
        if self.store:
            self.store.close()
        if self.folder:
            self.folder.close()
        self.store = self.folder = None

    def _write_whole(self) -> None:
        if self.store:
            try:
                self.store.begin(self.book, self.id)
            except OSError as error:
                self._lost(error)

    # The service

    async def run(self) -> None:
        """Follows until it is cancelled."""
        again = FIRST
        async with aiohttp.ClientSession() as session:
            locked_at = self.clock.now()
            while True:
                if self.table.directory and not self.store and self.clock.now() - locked_at > LOCKED:
                    locked_at = self.clock.now()
                    self._open()
                try:
                    await self._ask(session)
                    again = FIRST
                except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
                    self._unheard(str(error) or type(error).__name__)
                    await asyncio.sleep(again)
                    again = min(LONGEST, again * 2)

    async def _ask(self, session: aiohttp.ClientSession) -> None:
        # At first, and after it was away, it asks without waiting: what it has may be all there is.
        wait = self.book.lead(self.clock.now()) / 3 if self.well else 0.0
        query = {"reader": self.name, "wait": f"{wait:.3f}"}
        if self.id:
            query |= {"id": self.id, "after": str(self.book.serial)}
        url = f"{self.scheme}://{self.table.service}/book"
        limit = aiohttp.ClientTimeout(total=wait + ANSWER)
        async with session.get(url, params=query, timeout=limit, ssl=self.tls or True) as answer:
            if answer.status != 200:
                raise ValueError(f"the service answers {answer.status}")
            body = await answer.content.read(MOST)
        self.take(json.loads(body))

    def take(self, told: Any) -> None:  # noqa: ANN401
        """An answer of the service. Raises PlansError, a ValueError, for one that makes no sense."""
        try:
            id_, asof = str(told["id"]), told["asof"]
            if asof is not None and not (isinstance(asof, int | float) and math.isfinite(asof)):
                raise PlansError(f"asof: {asof!r}")
            whole = Book.restore(told["book"]) if "book" in told else None
            entries = [entry_of(row) for row in told.get("entries", ())]
        except (KeyError, TypeError, AttributeError) as error:
            raise PlansError(f"no answer of a plan service: {error!r}") from None
        if whole is not None:
            if self.id and id_ != self.id:
                log.warning("plans: the service has another book, %s", id_)
            elif whole.serial < self.book.serial:
                log.warning("plans: the service went back to record %d", whole.serial)
            self.book, self.id = whole, id_
            self.terms.changed(whole)
            self._write_whole()
        elif id_ != self.id:
            raise PlansError(f"records of another book, {id_}")
        elif entries:
            for entry in entries:
                self.book.apply(entry)
            self.terms.changed()
            if self.store:
                try:
                    self.store.append(entries)
                    if self.store.long:
                        self.store.begin(self.book, self.id)
                except OSError as error:
                    self._lost(error)
        if asof is not None:
            # A service whose clock is ahead must not be believed for the future.
            self.terms.heard(min(asof, self.clock.now()))
        self._heard()

    # What an operator sees

    def _heard(self) -> None:
        if not self.well:
            log.info("plans: in touch with %s, record %d", self.table.service, self.book.serial)
        self.well, self.told = True, ""
        if self.terms.strict and not self.terms.in_touch(self.clock.now()):
            self._tell(
                f"strict: the book's floor {self.book.floor()} is below [plans] floor, or its lead is short"
            )

    def _unheard(self, why: str) -> None:
        if self.well is not False:
            log.warning("plans: no answer from %s: %s", self.table.service, why)
        self.well = False
        if self.terms.strict and not self.terms.in_touch(self.clock.now()):
            self._tell("strict: out of touch, every station is held to the floor")

    def _tell(self, line: str) -> None:
        if line != self.told:
            log.warning("plans: %s", line)
            self.told = line

    async def close(self, running: asyncio.Task[None]) -> None:
        running.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await running
        self._release()
