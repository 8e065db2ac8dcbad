"""Numbered events of the log. The number and the fields' names stay; the text may be put better.

Numbers by hundreds: 1 the process, 2 members and the core, 3 configuration, 4 hosts, 5 quotas and tries, 6
the disk, 7 coordination. `catalogue` prints the table that stands in docs/operate/cluster-events.md.
"""

from __future__ import annotations

import sys
from enum import Enum
from typing import Any

from loguru import logger


class Event(Enum):
    """Number, level, text with the fields that it names."""

    STARTED = 101, "INFO", "started as {name} at {ip}, bootstrap={bootstrap}, disk={disk}"
    READY = (
        102,
        "INFO",
        "ready after {seconds:.2f} s with version {version}, {hosts} hosts, {gateways} gateways",
    )
    LEAVING = 103, "INFO", "leaving: {open} requests in hand"
    ENDED = 104, "INFO", "ended with {open} requests in hand"
    SETTINGS_READ = 105, "INFO", "settings read again: {seeds} seeds"
    SETTINGS_BAD = 106, "ERROR", "settings cannot be used, the old ones stay: {reason}"
    STALLED = 107, "WARNING", "did not run for {seconds:.2f} s"
    FAILED = 108, "ERROR", "a task failed: {reason}"
    MEMBER = 201, "INFO", "gateway {name} is {state}"
    FOUNDED = 202, "INFO", "founded the core with disk {id}"
    VIEW = 203, "INFO", "view {view}: leader {leader}"
    VOTERS = 204, "INFO", "voters: {members}"
    JOINING = 205, "INFO", "disk {id} asks to be kept up to date"
    ENDS_UNSAFE = (
        206,
        "WARNING",
        "ends before a majority of the others is known to hold all that is committed",
    )
    VERSION = (
        301,
        "INFO",
        "configuration {version} in force: {routes} routes, {services} services, {tenants} tenants",
    )
    CHANGE_TAKEN = 302, "INFO", "change to version {version} acknowledged after {ms:.0f} ms"
    CHANGE_REFUSED = 303, "WARNING", "change refused ({kind}): {reason}"
    NEWS_BAD = 304, "ERROR", "news cannot be used: {reason}"
    HOST_NEW = 401, "INFO", "host {id} of {service} at {at}"
    HOST_LEAVES = 402, "INFO", "host {id} is {state}, told by {by}; {noted} of {asked} gateways know"
    HOST_LOST = 403, "WARNING", "host {id} forgotten"
    REGISTER_MENDED = 404, "INFO", "register mended from {ip}: {news} news"
    HEALTH = (
        405,
        "WARNING",
        "host {id} is {after}, was {before}: {ill} of {all} ill, told by {reporters} gateways",
    )
    QUOTA = 501, "WARNING", "refused {count} requests of {tenant} past its quota"
    SHARES = 503, "INFO", "owns {cells} cells of the quotas by table {version}"
    CHARGED = (
        504,
        "INFO",
        "beside those refused of {tenant}: {own} let through by the own part, {granted} by others' tokens; "
        "{given_back} of them sent to no host; {lent} tokens lent",
    )
    ANSWERS = 502, "INFO", "answers: {counts}"
    TAKEN = 511, "DEBUG", "request {id} on {route} of {tenant}"
    TRY = 512, "DEBUG", "request {id}: try {number} to host {host}"
    TRY_ENDED = (
        513,
        "DEBUG",
        "request {id}: try {number} at host {host} ended {outcome} {status} after {ms:.0f} ms",
    )
    ANSWERED = 514, "DEBUG", "request {id}: answered {status} after {ms:.0f} ms{why}"
    BOUND = 521, "INFO", "request {id} of {service}, bound to {bound}, answered {status} in {region}"
    ABROAD = 522, "WARNING", "refused {count} requests that are bound to {bound}"
    HOST_ABROAD = (
        523,
        "WARNING",
        "host {id} of {service}, bound to {bound}, is in zone {zone}: it gets nothing",
    )
    REGION_UNSURE = (
        524,
        "ERROR",
        "zone {zone} is of region {by_zone}, the settings say {region}: taken for none",
    )
    BINDING_UNSURE = 525, "WARNING", "no word of the core for {seconds:.1f} s: nothing bound is begun"
    REGION_OF_OTHER = (
        526,
        "ERROR",
        "gateway {name} of zone {zone} says that it is in {region}; by the settings here it is in {by_zone}",
    )
    DISK_FAILS = 601, "ERROR", "the disk does not write: {reason}"
    DISK_WELL = 602, "INFO", "the disk writes again after {seconds:.1f} s"
    DISK_ASIDE = 604, "WARNING", "damaged contents were put aside as {name}; the disk begins anew"
    DISK_FOREIGN = 603, "ERROR", "the disk's contents cannot be used: {reason}"
    LOCK_TAKEN_OVER = (
        701,
        "INFO",
        "lock {name}: {owner} has it with fence {fence}, as the time of {owner_before} ({fence_before}) is over",
    )
    LOCK_EXPIRED_BY_HAND = (
        702,
        "WARNING",
        "lock {name}: taken by hand from {owner} with fence {fence}: {reason}",
    )
    COORDINATION_FULL = 703, "WARNING", "refused {count} calls with 429: {reason}"

    @property
    def number(self) -> int:
        return int(self.value[0])


_LINES = {event: (f"E{event.value[0]} {{}}", event.value[1], event.value[2]) for event in Event}


class RequestEvents:
    """Whether events of each request are told: they cost as much as the request does."""

    enabled = False


def configure_logging(level: str = "INFO") -> None:
    """One line an event on standard error. From DEBUG on each request's events are told too."""
    RequestEvents.enabled = level in ("DEBUG", "TRACE")
    logger.remove()
    logger.add(
        sys.stderr,
        level=level,
        format="{time:HH:mm:ss.SSS} {level} {message}",
        backtrace=False,
        diagnose=False,
    )


def log_event(event: Event, **fields: Any) -> None:  # noqa: ANN401
    line, level, text = _LINES[event]
    logger.log(level, line, text.format(**fields))


def catalogue() -> str:
    rows = [f"| E{e.value[0]} | {e.value[1].lower()} | {e.value[2]} |" for e in Event]
    return "\n".join(["| number | level | text |", "| --- | --- | --- |", *rows]) + "\n"
