"""The plan service on sockets: HTTP/1.1 and JSON, by aiohttp. What it answers is the desk's to decide.

  GET  /book?reader=NAME&id=ID&after=SERIAL&wait=S    what comes after a record; waits for it up to S seconds:
                                                      a JSON object (the head), then an entry a line
  POST /commands                                      one command (`commands`)
  GET  /state                                         what holds, what is to come, who knows of it
  GET  /free?pool=NAME&at=S&until=S                   what is left of a pool over a time
  GET  /healthcheck                                   200; 503 while the disk cannot be written

status  of a command
------  ----------------------------------------------------------------------------------------------------
200     it is durable: {"serial", "at", "record", "already"}
400     no command; 409: cannot be done as things stand, with what could be: {"error", "most", "earliest"}
422     the name of another command
503     the disk cannot be written: nothing was done, say it again (Retry-After)
"""

from __future__ import annotations

import asyncio
import json
import logging
import secrets
import signal
import ssl
import sys
from collections.abc import Callable
from functools import partial
from itertools import islice
from typing import Any

from aiohttp import web

from coralvale.disk import Folder, FolderInUseError
from coralvale.net.clock import Clock
from coralvale.operator.model import OperatorError, PlanService, PlansTls
from coralvale.plans import calendar
from coralvale.plans.book import Book
from coralvale.plans.commands import Reused
from coralvale.plans.desk import Desk, Told
from coralvale.plans.model import Entry, PlansError, Refused, written
from coralvale.plans.store import Store

log = logging.getLogger(__name__)

POLLS = 2000  # gateways that wait at once
WAIT = 20.0  # s that a gateway may wait at most
BODY = 64 * 1024  # bytes of a command
LINES = 500  # entries that are written at once
EVERY, TRIM = 1.0, 60.0  # s between looks at a disk that failed, and at what is over
NOT_NOW = {"Retry-After": "1"}

Write = Callable[[], None]


def context(tls: PlansTls | None, server: bool) -> ssl.SSLContext | None:
    """TLS as a table says; None without one. Raises OperatorError."""
    if tls is None:
        return None
    try:
        purpose = ssl.Purpose.CLIENT_AUTH if server else ssl.Purpose.SERVER_AUTH
        made = ssl.create_default_context(purpose, cafile=tls.ca or None)
        if tls.certificate:
            made.load_cert_chain(tls.certificate, tls.key)
        if server and tls.ca:
            made.verify_mode = ssl.CERT_REQUIRED
    except (OSError, ssl.SSLError) as error:
        raise OperatorError(f"plans: tls: {error}") from None
    return made


class Service:
    """One plan service. `store` holds its book; raises PlansError if that is damaged, OSError."""

    def __init__(self, table: PlanService, store: Store, clock: Clock | None = None) -> None:
        self.table, self.store, self.clock = table, store, clock or Clock()
        book = store.load()
        new = book is None
        self.desk = Desk(book or Book(), store.id or secrets.token_hex(8), table.gateways)
        if new:
            log.info("a new book, %s", self.desk.id)
        # Whatever an earlier life left half done is overwritten, or is in the book.
        store.begin(self.desk.book, self.desk.id)
        if record := self.desk.book.led(
            self.clock.now(), table.lead_s, (table.floor_rate, table.floor_burst)
        ):
            entry = self.desk.own(self.clock.now(), record)
            store.append([entry])
            self.desk.durable(entry)
        self.lock, self.news, self.polls = asyncio.Lock(), asyncio.Event(), 0
        self.well = True
        app = web.Application(client_max_size=BODY)
        app.router.add_get("/book", self._book)
        app.router.add_post("/commands", self._command)
        app.router.add_get("/state", self._state)
        app.router.add_get("/free", self._free)
        app.router.add_get("/healthcheck", self._health)
        self.runner = web.AppRunner(app, access_log=None, handler_cancellation=True, shutdown_timeout=0.5)
        self.port = 0

    async def start(self) -> None:
        """Listens; raises OSError, OperatorError."""
        await self.runner.setup()
        host, _, port = self.table.listen.rpartition(":")
        tls = context(self.table.tls, server=True)
        site = web.TCPSite(self.runner, host.strip("[]"), int(port), ssl_context=tls, reuse_address=True)
        await site.start()
        self.port = self.runner.addresses[0][1]
        self.keeping = asyncio.ensure_future(self._keep())
        log.info("plans at %s:%d, record %d", host, self.port, self.desk.book.serial)

    async def stop(self) -> None:
        self.keeping.cancel()
        self.news.set()
        await self.runner.cleanup()
        async with self.lock:
            self.store.close()

    # Writing

    async def _write(self, entry: Entry) -> None:
        """Makes an entry durable, then lets it hold. Raises OSError: it does not hold. With the lock held."""
        try:
            await self._on_disk(partial(self.store.append, [entry]))
        except OSError as error:
            if self.well:
                log.error("the book cannot be written: %s", error)
            self.well = False
            raise
        self.desk.durable(entry)
        self.well = True
        self.news.set()
        self.news = asyncio.Event()
        log.info("record %d: %s", entry.serial, json.dumps(written(entry)[2:]))

    async def _on_disk(self, write: Write) -> None:
        """Runs to its end even if whoever asked for it has gone: what is half written is nobody's to guess."""
        running = asyncio.get_running_loop().run_in_executor(None, write)
        try:
            await asyncio.shield(running)
        except asyncio.CancelledError:
            await asyncio.wait([running])
            raise

    async def _keep(self) -> None:
        """Forgets what is over, writes the book anew when the log is long, and a disk that failed again."""
        trim_at = 0.0
        while True:
            await asyncio.sleep(EVERY)
            async with self.lock:
                try:
                    if self.desk.doubt is not None or self.store.long:
                        await self._on_disk(partial(self.store.begin, self.desk.book, self.desk.id))
                        self.desk.settled()
                        if not self.well:
                            log.info("the book can be written again")
                        self.well = True
                    now = self.clock.now()
                    if now < trim_at:  # it goes through all stations
                        continue
                    trim_at = now + TRIM
                    if record := self.desk.book.trim(now - self.table.keep_days * 86400):
                        await self._write(self.desk.own(now, record))
                except OSError:
                    continue

    # Calls

    async def _command(self, request: web.Request) -> web.Response:
        try:
            data = json.loads(await request.read())
        except (ValueError, RecursionError):
            return web.json_response({"error": "no JSON"}, status=400)
        # A caller that goes away cancels its call, not the command: from here on it is carried out.
        return await asyncio.shield(self._carry_out(data))

    async def _carry_out(self, data: Any) -> web.Response:  # noqa: ANN401
        async with self.lock:
            now = self.clock.now()
            try:
                entry, new = self.desk.check(now, data)
                if new:
                    await self._write(entry)
            except Refused as error:
                instead = {"error": str(error), "most": error.most, "earliest": error.earliest}
                return web.json_response(instead, status=409)
            except Reused as error:
                return web.json_response({"error": str(error)}, status=422)
            except PlansError as error:
                return web.json_response({"error": str(error)}, status=400)
            except OSError as error:
                text = f"the book cannot be written: {error.strerror}"
                return web.json_response({"error": text}, status=503, headers=NOT_NOW)
            missing = self.desk.readers.missing(now, entry.serial)
        told = {
            "serial": entry.serial, "at": entry.record.at, "record": written(entry)[2:], "already": not new,
            "missing": missing,
        }  # fmt: skip
        return web.json_response(told)

    async def _book(self, request: web.Request) -> web.StreamResponse:
        query = request.query
        try:
            after = int(query["after"]) if "after" in query else None
            wait = min(WAIT, max(0.0, float(query.get("wait", "0"))))
        except ValueError:
            return web.json_response({"error": "after, wait: expected numbers"}, status=400)
        reader, id_ = query.get("reader", "")[:128], query.get("id", "")[:64]
        if self.polls >= POLLS:
            return web.json_response({"error": "too many gateways wait"}, status=503, headers=NOT_NOW)
        answer = self.desk.read(self.clock.now(), reader, id_, after)
        if answer is None and wait:
            self.polls += 1
            try:
                async with asyncio.timeout(wait):
                    await self.news.wait()
            except TimeoutError:
                pass
            finally:
                self.polls -= 1
            answer = self.desk.read(self.clock.now(), reader, id_, after)
        return await self._tell(request, answer or self.desk.nothing_new(self.clock.now()))

    @staticmethod
    async def _tell(request: web.Request, told: Told) -> web.StreamResponse:
        """JSON, an object a line: the head, then each entry, so that no reader has to take them in at once."""
        head = json.dumps(told.head).encode() + b"\n"
        rows = (json.dumps(written(e), separators=(",", ":")).encode() + b"\n" for e in told.entries)
        if len(told.entries) <= LINES:
            return web.Response(body=head + b"".join(rows), content_type="application/x-ndjson")
        response = web.StreamResponse(headers={"Content-Type": "application/x-ndjson"})
        await response.prepare(request)
        await response.write(head)
        while some := b"".join(islice(rows, LINES)):
            await response.write(some)
            await asyncio.sleep(0)  # others have their turn while a book is told
        await response.write_eof()
        return response

    async def _state(self, request: web.Request) -> web.Response:
        return web.json_response(self.desk.state(self.clock.now()))

    async def _free(self, request: web.Request) -> web.Response:
        try:
            pool, at = request.query["pool"], float(request.query["at"])
            until = float(request.query["until"])
        except (KeyError, ValueError):
            return web.json_response({"error": "expected pool, at and until"}, status=400)
        if pool not in self.desk.book.pools or not at < until:
            return web.json_response({"error": "no such pool, or no such time"}, status=404)
        left = self.desk.book.left(pool)
        steps = [[at, calendar.at(left, at)], *([m, r] for m, r in left if at < m < until)]
        return web.json_response({"most": calendar.most(left, at, until), "left": steps})

    async def _health(self, request: web.Request) -> web.Response:
        return web.Response(text="yes\n" if self.well else "no\n", status=200 if self.well else 503)


async def _serve(table: PlanService, folder: Folder) -> None:
    service = Service(table, Store(folder))
    over = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, over.set)
    await service.start()
    await over.wait()
    await service.stop()


def run(table: PlanService) -> int:
    """The service until SIGTERM. Exit codes: 0 well, 1 cannot start, 2 a file that cannot be used."""
    logging.basicConfig(level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s", stream=sys.stderr)
    try:
        asyncio.run(_serve(table, Folder(table.directory)))
    except FolderInUseError as error:
        print(f"coralvale: {error}", file=sys.stderr)
        return 1
    except (PlansError, OperatorError) as error:
        print(f"coralvale: {table.directory}: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"coralvale: cannot start: {error}", file=sys.stderr)
        return 1
    return 0
