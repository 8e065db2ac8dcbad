"""Runs the ledger next to a gateway's node: records use, and exports sealed periods to the billing service.

Records are written to mapped memory while a request is handled, which takes microseconds; a thread syncs
them to the disk, and a task sends batches, one at a time. The decisions are made in `book` and `export`.
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
from coralvale.ledger.model import MICROUNITS_PER_UNIT, Account, LedgerError, Record
from coralvale.net.clock import Clock
from coralvale.net.config import Config
from coralvale.net.parsed_request import ParsedRequest
from coralvale.operator.model import Ledger, LedgerTls

log = logging.getLogger(__name__)
TICK_INTERVAL_S = 0.25  # between checks for what is due
SYNC_INTERVAL_S = 1.0  # a power failure may lose the records since the last sync
ANSWER_TIMEOUT_S = 10.0  # of the billing service
INBOX = "inbox"  # directory of manual corrections, one file per submission
MAX_INBOX_FILE_BYTES = 1 << 20  # read of such a file


class Meter:
    """The `Meter` of a node. Raises LedgerError or OSError if the ledger cannot be opened."""

    def __init__(self, options: Ledger, config: Config, clock: Clock) -> None:
        self.options, self.clock = options, clock
        settings = config.settings
        longest = max(cls.give_up for cls in settings.classes)
        if options.grace_s < longest:
            raise LedgerError(
                f"ledger.grace_s: {options.grace_s:g}, at least the longest give-up time, {longest:g}"
            )
        self.loop = asyncio.get_running_loop()
        self.classes = [cls.name for cls in settings.classes]
        self.account = lru_cache(16_384)(self._account)
        terms = Terms(options.period_s, options.grace_s, options.patience_s, options.gather_s)
        self.folder = open_folder(options.directory)
        try:
            self.log = Log(self.folder, terms, lambda: f"{url_segment(config.name)}-{secrets.token_hex(8)}")
            self.log.write(self.log.book.doubt_all())
        except BaseException:
            self.folder.close()
            raise
        if doubts := len(self.log.book.doubts):
            log.warning("ledger: %d tries are in doubt: coralvale ledger doubts %s", doubts, self.folder.path)
        self.exporter = Exporter(self.log.ledger, config.seed)
        # Ends of tries that could not be written; bounded by the number of open tries.
        self.pending_ends: deque[tuple[str, bool]] = deque()
        self.disk_failing = False
        self.unbilled_count = 0
        self.sending: asyncio.Task[None] | None = None
        self.closing = threading.Event()
        self.thread = threading.Thread(target=self._sync_loop, name="ledger", daemon=True)
        self.thread.start()
        self.timer = self.loop.call_later(TICK_INTERVAL_S, self._tick)

    def _account(self, customer: int, plan: str, cls: int) -> Account:
        return Account(f"{customer:016x}", plan, self.classes[cls])

    # While a request is handled

    def refuses(self) -> bool:
        """Whether requests are refused at once, since they could not be recorded."""
        return self.disk_failing and self.options.unrecorded == "refuse"

    def try_started(self, arrival: ParsedRequest) -> bool:
        """The first attempt of a try is about to be made; returns whether it may be sent."""
        account = self.account(arrival.customer, arrival.plan_name, arrival.cls)
        units = round(arrival.units * MICROUNITS_PER_UNIT)
        try:
            self.log.write(self.log.book.open(self.clock.now(), arrival.id, account, units))
        except (OSError, LedgerError) as error:
            if isinstance(error, OSError):
                self._on_disk_error(error)
            if self.options.unrecorded == "refuse":
                return False
            self.unbilled_count += 1
            log.warning(
                "ledger: %s is served unbilled (%d so far): %s", arrival.id, self.unbilled_count, error
            )
        return True

    def try_ended(self, request: str, arrived: bool) -> None:
        """A try is over."""
        if self.pending_ends:
            self.pending_ends.append((request, arrived))
            return
        try:
            self.log.write(self.log.book.close(request, arrived))
        except OSError as error:
            self._on_disk_error(error)
            self.pending_ends.append((request, arrived))

    def _on_disk_error(self, error: OSError) -> None:
        if not self.disk_failing:
            self.disk_failing = True
            log.error("ledger: the disk failed: %s", error.strerror)

    # Periodic work

    def _tick(self) -> None:
        self.timer = self.loop.call_later(TICK_INTERVAL_S, self._tick)
        try:
            self.log.make_room()
            while self.pending_ends:
                self.log.write(self.log.book.close(*self.pending_ends[0]))
                self.pending_ends.popleft()
            self._read_inbox()
            self.log.write(self.log.book.tick(self.clock.now()))
        except OSError as error:
            self._on_disk_error(error)
        else:
            if self.disk_failing:
                self.disk_failing = False
                log.warning("ledger: the disk has recovered")
        if self.options.target and (put := self.exporter.due(self.clock.now(), self.log.book.batches)):
            self.sending = self.loop.create_task(self._send(put))

    def _read_inbox(self) -> None:
        """Applies manual corrections and removes their files; those applied before are only removed."""
        for path in sorted((self.folder.path / INBOX).glob("*.json")):
            try:
                text = path.read_bytes()[:MAX_INBOX_FILE_BYTES]
                count = 0
                for row in json.loads(text):
                    count += self._apply_correction(row)
                log.info("ledger: %s: %d corrections", path.name, count)
                path.unlink()
            except (LedgerError, ValueError, TypeError, KeyError) as error:
                log.error("ledger: %s: %s; renamed to .bad", path.name, error)
                path.rename(path.with_suffix(".bad"))

    def _apply_correction(self, row: dict[str, Any]) -> int:
        """Applies one row of an inbox file; the number of records written."""
        records = correction_records(self.log, row)
        self.log.write(records)
        return len(records)

    async def _send(self, put: Put) -> None:
        """Sends a batch and records its acknowledgement."""
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                status, tag = await put_batch(self.options.target, self.options.tls, put)
        except (OSError, TimeoutError, h11.RemoteProtocolError) as error:
            self.exporter.failed(self.clock.now())
            why = (error.strerror if isinstance(error, OSError) else "") or str(error) or "no answer in time"
            if self.exporter.is_new_problem(why):
                log.warning("ledger: batch %d is not acknowledged: %s", put.serial, why)
            return
        if self.exporter.answered(self.clock.now(), status, tag):
            try:
                self.log.write(self.log.book.acknowledge(put.serial))
            except OSError as error:  # the batch is sent again and answered with 412
                self._on_disk_error(error)
        elif self.exporter.stopped:
            log.error("ledger: %s: the export has stopped", self.exporter.stopped)
        elif self.exporter.is_new_problem(str(status)):
            log.warning("ledger: batch %d is not acknowledged: status %d", put.serial, status)

    def _sync_loop(self) -> None:
        """Runs in a thread: syncs the log periodically."""
        while not self.closing.wait(SYNC_INTERVAL_S):
            try:
                self.log.sync()
            except OSError as error:
                log.error("ledger: a sync failed: %s", error.strerror)

    def close(self) -> None:
        """Makes all records durable. Batches that were not exported are exported by the next process."""
        self.timer.cancel()
        if self.sending:
            self.sending.cancel()
        self.closing.set()
        self.thread.join(2.0)
        try:
            self.log.close()
        except OSError as error:
            log.error("ledger: the last sync failed: %s", error.strerror)
        self.folder.close()


def url_segment(text: str) -> str:
    """`text` with characters that are unsafe in a URL path replaced, at most 64 characters."""
    return "".join(c if c.isascii() and (c.isalnum() or c in "-_.") else "_" for c in text)[:64] or "gateway"


def open_folder(directory: str) -> Folder:
    """The ledger's directory; during a handover between processes the newer one uses a directory of its own.

    Raises LedgerError, OSError.
    """
    try:
        return Folder(directory)
    except LedgerError:
        return Folder(f"{directory}.1")


def correction_records(log: Log, row: dict[str, Any]) -> list[Record]:
    """The records of a manual correction.

    Raises LedgerError, or KeyError, TypeError, ValueError if the row is malformed.
    """
    if "resolve" in row:
        request = str(row["resolve"])
        if request not in log.book.doubts:
            return []  # resolved before
        return log.book.resolve(request, bool(row["arrived"]))
    name = str(row["name"])
    if name in log.book.adjusted:
        return []
    account = Account(str(row["station"]), str(row["plan"]), str(row["class"]))
    units = round(float(row["units"]) * MICROUNITS_PER_UNIT)
    return log.book.adjust(name, int(row["period"]), account, int(row["tries"]), units, str(row["why"]))


def ssl_context(tls: LedgerTls | None) -> ssl.SSLContext | None:
    """TLS settings for the billing service; None: plain TCP. Raises OSError if a file cannot be used."""
    if tls is None:
        return None
    context = ssl.create_default_context(cafile=tls.ca or None)
    if tls.certificate:
        context.load_cert_chain(tls.certificate, tls.key)
    return context


async def put_batch(target: str, tls: LedgerTls | None, put: Put) -> tuple[int, str]:
    """Sends `PUT` with `If-None-Match: *`; returns status and ETag. Raises OSError, h11.RemoteProtocolError."""
    host, _, port = target.rpartition(":")
    reader, writer = await asyncio.open_connection(host.strip("[]"), int(port), ssl=ssl_context(tls))
    try:
        http = h11.Connection(h11.CLIENT)
        headers = [
            ("Host", target), ("Content-Type", "application/json"), ("Content-Length", str(len(put.data))),
            ("If-None-Match", "*"), ("Connection", "close"),
        ]  # fmt: skip
        head = h11.Request(method="PUT", target=put.path, headers=headers)
        writer.write(http.send(head) or b"")
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
    """Submits corrections to the running gateway of a ledger, or to its next process. Raises OSError."""
    inbox = Path(directory, INBOX)
    inbox.mkdir(mode=0o700, exist_ok=True)
    part, path = inbox / f"{name}.part", inbox / f"{name}.json"
    part.write_text(json.dumps(rows))
    part.rename(path)
    return path
