"""Beside a gateway's node: records what stations use, and brings sealed periods to the billing service.

A record is written into mapped memory on the path of a request, some microseconds each; disks are synced by a
thread, batches are sent by a task, one at a time. What is decided stands in `book` and `export`.
"""

from __future__ import annotations

import asyncio
import json
import logging
import secrets
import ssl
import threading
from collections import deque
from functools import lru_cache
from pathlib import Path
from typing import Any

import h11

from coralvale.ledger.book import Terms
from coralvale.ledger.export import Exporter, Put
from coralvale.ledger.log import Folder, Log
from coralvale.ledger.model import MILLION, Account, LedgerError, Record
from coralvale.net.clock import Clock
from coralvale.net.config import Config
from coralvale.net.server import ParsedRequest
from coralvale.operator.model import Ledger, LedgerTls

log = logging.getLogger(__name__)
TICK = 0.25  # s between looks at what is due
SYNC = 1.0  # s between syncs: what a power cut may take
ANSWER = 10.0  # s that the billing service may take
INBOX = "inbox"  # folder of corrections by hand, one file each
LARGEST = 1 << 20  # bytes of such a file, and of an answer


class Meter:
    """The `Meter` of a node. Raises LedgerError or OSError if the ledger cannot be used."""

    def __init__(self, table: Ledger, config: Config, clock: Clock) -> None:
        self.table, self.clock = table, clock
        settings = config.settings
        longest = max(cls.give_up for cls in settings.classes)
        if table.grace_s < longest:
            raise LedgerError(
                f"ledger.grace_s: {table.grace_s:g}, at least the longest give-up time, {longest:g}"
            )
        self.loop = asyncio.get_running_loop()
        self.classes = [cls.name for cls in settings.classes]
        self.account = lru_cache(16_384)(self._account)
        terms = Terms(table.period_s, table.grace_s, table.patience_s, table.gather_s)
        self.folder = own_folder(table.directory)
        try:
            self.log = Log(self.folder, terms, lambda: f"{word(config.name)}-{secrets.token_hex(8)}")
            self.log.write(self.log.book.doubt_all())
        except BaseException:
            self.folder.close()
            raise
        if doubts := len(self.log.book.doubts):
            log.warning("ledger: %d tries are in doubt: coralvale ledger doubts %s", doubts, self.folder.path)
        self.exporter = Exporter(self.log.ledger, config.seed)
        self.waiting: deque[tuple[str, bool]] = (
            deque()
        )  # ends that the disk did not take; at most the open tries
        self.bad = False
        self.unbilled = 0
        self.sending: asyncio.Task[None] | None = None
        self.ending = threading.Event()
        self.thread = threading.Thread(target=self._sync, name="ledger", daemon=True)
        self.thread.start()
        self.timer = self.loop.call_later(TICK, self._tick)

    def _account(self, customer: int, plan: str, cls: int) -> Account:
        return Account(f"{customer:016x}", plan, self.classes[cls])

    # The path of a request

    def refuses(self) -> bool:
        """Whether requests are to be refused at once, since they could not be recorded."""
        return self.bad and self.table.unrecorded == "refuse"

    def try_started(self, arrival: ParsedRequest) -> bool:
        """A try's first attempt is about to be made; whether it may be."""
        account = self.account(arrival.customer, arrival.plan_name, arrival.cls)
        units = round(arrival.units * MILLION)
        try:
            self.log.write(self.log.book.open(self.clock.now(), arrival.id, account, units))
        except (OSError, LedgerError) as error:
            if isinstance(error, OSError):
                self._fails(error)
            if self.table.unrecorded == "refuse":
                return False
            self.unbilled += 1
            log.warning("ledger: %s is served unbilled (%d so far): %s", arrival.id, self.unbilled, error)
        return True

    def try_ended(self, request: str, arrived: bool) -> None:
        """A try is over."""
        if self.waiting:
            self.waiting.append((request, arrived))
            return
        try:
            self.log.write(self.log.book.close(request, arrived))
        except OSError as error:
            self._fails(error)
            self.waiting.append((request, arrived))

    def _fails(self, error: OSError) -> None:
        if not self.bad:
            self.bad = True
            log.error("ledger: the disk fails: %s", error.strerror)

    # What is due

    def _tick(self) -> None:
        self.timer = self.loop.call_later(TICK, self._tick)
        try:
            self.log.make_room()
            while self.waiting:
                self.log.write(self.log.book.close(*self.waiting[0]))
                self.waiting.popleft()
            self._read_inbox()
            self.log.write(self.log.book.tick(self.clock.now()))
        except OSError as error:
            self._fails(error)
        else:
            if self.bad:
                self.bad = False
                log.warning("ledger: the disk is well again")
        if self.table.target and (put := self.exporter.due(self.clock.now(), self.log.book.batches)):
            self.sending = self.loop.create_task(self._send(put))

    def _read_inbox(self) -> None:
        """Corrections by hand: done, then removed; one that was done before is only removed."""
        for path in sorted((self.folder.path / INBOX).glob("*.json")):
            try:
                text = path.read_bytes()[:LARGEST]
                count = 0
                for row in json.loads(text):
                    count += self._corrected(row)
                log.info("ledger: %s: %d corrections", path.name, count)
                path.unlink()
            except (LedgerError, ValueError, TypeError, KeyError) as error:
                log.error("ledger: %s: %s; it is put aside", path.name, error)
                path.rename(path.with_suffix(".bad"))

    def _corrected(self, row: dict[str, Any]) -> int:
        records = corrections(self.log, row)
        self.log.write(records)
        return len(records)

    async def _send(self, put: Put) -> None:
        try:
            async with asyncio.timeout(ANSWER):
                status, tag = await create(self.table.target, self.table.tls, put)
        except (OSError, TimeoutError, h11.RemoteProtocolError) as error:
            self.exporter.failed(self.clock.now())
            why = (error.strerror if isinstance(error, OSError) else "") or str(error) or "no answer in time"
            if self.exporter.news(why):
                log.warning("ledger: batch %d is not acknowledged: %s", put.serial, why)
            return
        if self.exporter.answered(self.clock.now(), status, tag):
            try:
                self.log.write(self.log.book.acknowledge(put.serial))
            except OSError as error:  # it is sent again, and is there
                self._fails(error)
        elif self.exporter.stopped:
            log.error("ledger: %s: nothing more is sent", self.exporter.stopped)
        elif self.exporter.news(str(status)):
            log.warning("ledger: batch %d is not acknowledged: status %d", put.serial, status)

    def _sync(self) -> None:
        """In a thread: brings to the disk what is in memory."""
        while not self.ending.wait(SYNC):
            try:
                self.log.sync()
            except OSError as error:
                log.error("ledger: a sync failed: %s", error.strerror)

    def close(self) -> None:
        """Makes durable what there is. What is not exported is by the next process."""
        self.timer.cancel()
        if self.sending:
            self.sending.cancel()
        self.ending.set()
        self.thread.join(2.0)
        try:
            self.log.close()
        except OSError as error:
            log.error("ledger: the last sync failed: %s", error.strerror)
        self.folder.close()


def word(text: str) -> str:
    """A name as it may stand in a path of a URL."""
    return "".join(c if c.isascii() and (c.isalnum() or c in "-_.") else "_" for c in text)[:64] or "gateway"


def own_folder(directory: str) -> Folder:
    """The ledger's folder; while one process takes over from another, the newer one has one of its own.

    Raises LedgerError, OSError.
    """
    try:
        return Folder(directory)
    except LedgerError:
        return Folder(f"{directory}.1")


def corrections(log: Log, row: dict[str, Any]) -> list[Record]:
    """The records of a correction by hand. Raises LedgerError; KeyError, TypeError, ValueError for none."""
    if "resolve" in row:
        request = str(row["resolve"])
        if request not in log.book.doubts:
            return []  # it has been resolved before
        return log.book.resolve(request, bool(row["arrived"]))
    name = str(row["name"])
    if name in log.book.adjusted:
        return []
    account = Account(str(row["station"]), str(row["plan"]), str(row["class"]))
    units = round(float(row["units"]) * MILLION)
    return log.book.adjust(name, int(row["period"]), account, int(row["tries"]), units, str(row["why"]))


def trust(tls: LedgerTls | None) -> ssl.SSLContext | None:
    """What the billing service is held to. Raises OSError for files that cannot be used."""
    if tls is None:
        return None
    made = ssl.create_default_context(cafile=tls.ca or None)
    if tls.certificate:
        made.load_cert_chain(tls.certificate, tls.key)
    return made


async def create(target: str, tls: LedgerTls | None, put: Put) -> tuple[int, str]:
    """`PUT` with `If-None-Match: *`; the answer's status and ETag. Raises OSError, h11.RemoteProtocolError."""
    host, _, port = target.rpartition(":")
    reader, writer = await asyncio.open_connection(host.strip("[]"), int(port), ssl=trust(tls))
    try:
        http = h11.Connection(h11.CLIENT)
        headers = [
            ("Host", target), ("Content-Type", "application/json"), ("Content-Length", str(len(put.data))),
            ("If-None-Match", "*"), ("Connection", "close"),
        ]  # fmt: skip
        asked = h11.Request(method="PUT", target=put.path, headers=headers)
        writer.write(http.send(asked) or b"")
        writer.write(http.send(h11.Data(data=put.data)) or b"")
        writer.write(http.send(h11.EndOfMessage()) or b"")
        await writer.drain()
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                http.receive_data(await reader.read(65_536))
            elif isinstance(event, h11.Response):
                tag = next((v.decode("latin-1") for n, v in event.headers if n == b"etag"), "")
                return event.status_code, tag
            elif isinstance(event, h11.ConnectionClosed):
                raise ConnectionResetError("closed without an answer")
    finally:
        writer.close()


def write_inbox(directory: str, name: str, rows: list[dict[str, Any]]) -> Path:
    """Hands corrections to the gateway of a ledger, or to its next process. Raises OSError."""
    inbox = Path(directory, INBOX)
    inbox.mkdir(mode=0o700, exist_ok=True)
    part, path = inbox / f"{name}.part", inbox / f"{name}.json"
    part.write_text(json.dumps(rows))
    part.rename(path)
    return path
