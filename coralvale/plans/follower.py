"""A gateway's copy of the plan book: asked for over HTTP, kept on disk, handed to the terms.

It asks for what comes after the record that it has, and waits for it a third of the lead at most; so it is in
touch as long as one of two questions in a row is answered. Nothing here is on the path of a request.
"""

from __future__ import annotations

import asyncio
import contextlib
import gc
import json
import logging
import math
from collections.abc import AsyncIterable
from typing import Any

import aiohttp

from coralvale.disk import Folder, FolderInUseError
from coralvale.net.clock import Clock
from coralvale.operator.model import Plans
from coralvale.plans.book import Book
from coralvale.plans.model import Entry, PlansError, entry_of
from coralvale.plans.service import context
from coralvale.plans.store import Store
from coralvale.plans.terms import Terms

log = logging.getLogger(__name__)

FIRST, LONGEST = 0.1, 1.0  # s between tries while the service does not answer
ANSWER, WHOLE = 2.0, 60.0  # s beyond what it waits that a piece of an answer may take, and all of it
MOST = 1_000_000  # entries of an answer
AT_ONCE = 50  # entries that are read before requests have their turn
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
        self.unwritten = False  # the folder is there, and the book is not in it yet
        if table.directory:
            self._open()

    # The copy on disk

    def _open(self) -> None:
        """Takes the folder, and the book in it if there is one; without it goes on from the service alone."""
        try:
            self.folder = Folder(self.table.directory)
        except FolderInUseError:
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
            self.unwritten = True

    def _lost(self, error: OSError) -> None:
        log.error("plans: no copy is kept: %s", error)
        self._release()

    def _release(self) -> None:
        if self.store:
            self.store.close()
        if self.folder:
            self.folder.close()
        self.store = self.folder = None

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
                if self.unwritten:
                    self.unwritten = False
                    await self._keep([])
                try:
                    await self._ask(session)
                    again = FIRST
                except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
                    self._unheard(str(error) or type(error).__name__)
                    await asyncio.sleep(again)
                    again = min(LONGEST, again * 2)
                except Exception:  # whatever it is, a gateway must not stop following without a word
                    log.exception("plans: an answer could not be taken")
                    await asyncio.sleep(LONGEST)

    async def _ask(self, session: aiohttp.ClientSession) -> None:
        # At first, and after it was away, it asks without waiting: what it has may be all there is.
        wait = self.book.lead(self.clock.now()) / 3 if self.well else 0.0
        query = {"reader": self.name, "wait": f"{wait:.3f}"}
        if self.id:
            query |= {"id": self.id, "after": str(self.book.serial)}
        url = f"{self.scheme}://{self.table.service}/book"
        # A large book takes its time; what must not take long is the next piece of it.
        limit = aiohttp.ClientTimeout(total=wait + WHOLE, connect=ANSWER, sock_read=wait + ANSWER)
        async with session.get(url, params=query, timeout=limit, ssl=self.tls or True) as answer:
            if answer.status != 200:
                raise ValueError(f"the service answers {answer.status}")
            await self.take(answer.content)

    async def take(self, lines: AsyncIterable[bytes]) -> None:
        """An answer of the service, line by line. Raises ValueError for one that makes no sense.

        What a book is made of lives on: the collector would go through it again and again while it grows, and
        hold up requests for tenths of a second. It rests meanwhile, and leaves the book alone from then on.
        """
        whole, collecting = self.book, gc.isenabled()
        try:
            await self._take(lines)
        finally:
            if collecting:
                gc.enable()
            if self.book is not whole:
                gc.freeze()

    async def _take(self, lines: AsyncIterable[bytes]) -> None:
        coming = aiter(lines)
        head = self._head(await anext(coming, b""))
        whole, count = head["whole"], 0
        if not whole and head["id"] != self.id:
            raise PlansError(f"records of another book, {head['id']}")
        if whole:
            gc.disable()
        book, entries = Book() if whole else self.book, list[Entry]()
        async for line in coming:
            entry, count = entry_of(json.loads(line)), count + 1
            if count > head["entries"]:
                raise PlansError(f"an answer of more than {head['entries']} entries")
            if whole:
                book.put(entry)
            else:
                entries.append(entry)
            if not count % AT_ONCE:
                await asyncio.sleep(0)  # requests go on while a large book is read
        if count != head["entries"]:
            raise PlansError(f"an answer that ends after {count} of {head['entries']} entries")
        if whole:
            await self._another(book, head)
        elif entries:
            for entry in entries:
                self.book.apply(entry)
            self.terms.changed()
            await self._keep(entries)
        if head["asof"] is not None:
            # A service whose clock is ahead must not be believed for the future.
            self.terms.heard(min(head["asof"], self.clock.now()))
        self._heard()

    @staticmethod
    def _head(line: bytes) -> dict[str, Any]:
        head = json.loads(line)
        try:
            asof, serial, count = head["asof"], head["serial"], head["entries"]
            if not isinstance(head["id"], str) or not isinstance(head["whole"], bool):
                raise PlansError("id, whole")
            if asof is not None and not (isinstance(asof, int | float) and math.isfinite(asof)):
                raise PlansError(f"asof: {asof!r}")
            if not (isinstance(serial, int) and isinstance(count, int) and 0 <= count <= MOST):
                raise PlansError(f"serial, entries: {serial!r}, {count!r}")
        except (KeyError, TypeError, OverflowError) as error:
            raise PlansError(f"no answer of a plan service: {error!r}") from None
        return dict(head)

    async def _another(self, book: Book, head: dict[str, Any]) -> None:
        """The whole book came: at first, after a long while, or because it is another one."""
        if head["serial"] < book.serial:
            raise PlansError(f"serial: {head['serial']}")
        book.serial = head["serial"]
        if self.id and head["id"] != self.id:
            log.warning("plans: the service has another book, %s", head["id"])
        elif book.serial < self.book.serial:
            log.warning("plans: the service went back to record %d", book.serial)
        self.book, self.id = book, head["id"]
        self.terms.changed(book)
        await self._keep([])

    async def _keep(self, entries: list[Entry]) -> None:
        """Writes entries to the copy, or all of the book; a bit at a time, as requests go on meanwhile."""
        if self.store is None:
            return
        try:
            if entries:
                self.store.append(entries)
            if not entries or self.store.long:
                for _ in self.store.beginning(self.book, self.id):
                    await asyncio.sleep(0)
        except OSError as error:
            self._lost(error)

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
