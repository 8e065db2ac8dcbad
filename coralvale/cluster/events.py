"""Numbered log events. Numbers and names of fields are stable; texts may change between versions.

Numbers by hundreds: 1 the process, 2 members and the core, 3 configuration, 4 hosts, 5 quotas and attempts,
6 the disk, 7 coordination. docs/operate/cluster-events.md contains the table that `catalogue` returns.
"""

from __future__ import annotations

import sys
from enum import Enum
from typing import Any

from loguru import logger


class Event(Enum):
    """Values: number, level, and text with placeholders for fields."""

    STARTED = 101, "INFO", "started as {name} at {ip}, bootstrap={bootstrap}, disk={disk}"
    READY = (
        102,
        "INFO",
        "ready after {seconds:.2f} s with version {version}, {hosts} hosts, {gateways} gateways",
    )
    LEAVING = (
        103,
        "INFO",
        "shutting down: {open} requests in progress, the signal may have come {late:.2f} s before",
    )
    ENDED = 104, "INFO", "stopped with {open} requests in progress"
    SETTINGS_READ = 105, "INFO", "settings reloaded: {seeds} seeds"
    SETTINGS_BAD = 106, "ERROR", "invalid settings, keeping the old ones: {reason}"
    STALLED = 107, "WARNING", "process was stalled for {seconds:.2f} s"
    FAILED = 108, "ERROR", "a task failed: {reason}"
    LOOP_PAUSED = 109, "WARNING", "the event loop was held up for {ms:.0f} ms"
    MEMBER = 201, "INFO", "gateway {name} is {state}"
    FOUNDED = 202, "INFO", "bootstrapped the core with disk {id}"
    VIEW = 203, "INFO", "view {view}: leader {leader}"
    VOTERS = 204, "INFO", "voters: {members}"
    JOINING = 205, "INFO", "disk {id} asks to join as a learner"
    ENDS_UNSAFE = (
        206,
        "WARNING",
        "stops before a majority of the other voters is known to have all committed entries",
    )
    VERSION = (
        301,
        "INFO",
        "configuration {version} in force: {routes} routes, {services} services, {tenants} tenants",
    )
    CHANGE_TAKEN = 302, "INFO", "change to version {version} acknowledged after {ms:.0f} ms: {steps}"
    CHANGE_REFUSED = 303, "WARNING", "change refused ({kind}): {reason} ({steps})"
    NEWS_BAD = 304, "ERROR", "invalid configuration update: {reason}"
    HOST_NEW = 401, "INFO", "new host {id} of {service} at {at}"
    HOST_LEAVES = (
        402,
        "INFO",
        "host {id} is {state}, reported by {by}; acknowledged by {noted} of {asked} gateways",
    )
    HOST_LOST = 403, "WARNING", "host {id} expired"
    REGISTER_MENDED = 404, "INFO", "register reconciled with {ip}: {news} updates"
    HEALTH = (
        405,
        "WARNING",
        "host {id} is {after}, was {before}: {ill} of {all} ill, reported by {reporters} gateways",
    )
    QUOTA = 501, "WARNING", "refused {count} requests of {tenant} over its quota"
    SHARES = 503, "INFO", "owns {cells} quota cells in share table {version}"
    CHARGED = (
        504,
        "INFO",
        "{tenant}, besides refused requests: {own} admitted from the own share, {granted} with others' tokens; "
        "{given_back} of them refunded, since not sent to a host; {lent} tokens lent",
    )
    ANSWERS = 502, "INFO", "answers: {counts}"
    TAKEN = 511, "DEBUG", "request {id} on {route} of {tenant}"
    TRY = 512, "DEBUG", "request {id}: attempt {number} to host {host}"
    TRY_ENDED = (
        513,
        "DEBUG",
        "request {id}: attempt {number} at host {host} ended {outcome} {status} after {ms:.0f} ms, {written}",
    )
    NOT_ITS_ANSWER = (
        515,
        "DEBUG",
        "request {id}: host {host} sent an answer {status} that is not for it; requests named: {names}",
    )
    ANSWERED = 514, "DEBUG", "request {id}: answered {status} after {ms:.0f} ms{why}"
    CONNECTION_ENDED = (
        516,
        "DEBUG",
        "connection to {server} ended ({cause}): {in_hand} requests in hand, {partly} read in part, "
        "{unsent} bytes unsent, input unread: {unread}",
    )
    REQUESTS_DROPPED = (
        517,
        "WARNING",
        "connection to {server} ended ({cause}) with {in_hand} requests in hand: {names}; "
        "{unsent} bytes unsent, input unread: {unread}",
    )
    REQUESTS_GIVEN_UP = (
        518,
        "WARNING",
        "answered {count} requests of {server} itself as the process ends: {names}",
    )
    BOUND = 521, "INFO", "request {id} of {service}, bound to {bound}, answered {status} in {region}"
    ABROAD = 522, "WARNING", "refused {count} requests that are bound to {bound}"
    HOST_ABROAD = (
        523,
        "WARNING",
        "host {id} of {service}, bound to {bound}, is in zone {zone}: it gets no requests",
    )
    REGION_UNSURE = (
        524,
        "ERROR",
        "zone {zone} belongs to region {by_zone}, but the settings say {region}: treated as no region",
    )
    BINDING_UNSURE = 525, "WARNING", "no contact to the core for {seconds:.1f} s: no bound request is started"
    REGION_OF_OTHER = (
        526,
        "ERROR",
        "gateway {name} of zone {zone} reports region {region}; by the settings here it is in {by_zone}",
    )
    DISK_FAILS = 601, "ERROR", "disk write failed: {reason}"
    DISK_WELL = 602, "INFO", "disk writes succeed again after {seconds:.1f} s"
    DISK_ASIDE = 604, "WARNING", "damaged disk state moved to {name}; starting with an empty one"
    DISK_FOREIGN = 603, "ERROR", "unusable disk state: {reason}"
    LOCK_TAKEN_OVER = (
        701,
        "INFO",
        "lock {name}: acquired by {owner} with fence {fence}; "
        "the lease of {owner_before} ({fence_before}) expired",
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
    """Whether events of each request are logged. They cost as much as the request itself."""

    enabled = False


def configure_logging(level: str = "INFO") -> None:
    """Logs one line per event to standard error. At DEBUG and TRACE events of each request are included."""
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
    """Logs an event; `fields` are the values of its placeholders."""
    line, level, text = _LINES[event]
    logger.log(level, line, text.format(**fields))


def catalogue() -> str:
    """A Markdown table of all events."""
    rows = [f"| E{e.value[0]} | {e.value[1].lower()} | {e.value[2]} |" for e in Event]
    return "\n".join(["| number | level | text |", "| --- | --- | --- |", *rows]) + "\n"
