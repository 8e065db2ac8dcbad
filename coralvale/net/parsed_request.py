"""The header fields of a request that decisions need, checked."""

from __future__ import annotations

import math
import re
from typing import TYPE_CHECKING

from coralvale import interface as api

if TYPE_CHECKING:
    from coralvale.net.exchange import Exchange

COOKIE = re.compile(rb"(?:^|;)\s*client=([^;]*)")
CLIENT_ID = re.compile(rb"[0-9a-fA-F]{16}")
PAIR = re.compile(rb"([a-z]+)=([^,; ]*)")
TOKEN = re.compile(rb"[!-~]{1,128}")
NUMBER = re.compile(rb"(\d{1,15}(\.\d*)?|\.\d+)")


class BadRequest(ValueError):
    """A request that is answered with 400; the message is sent to the client."""


class ParsedRequest:
    """The header fields that decisions need, checked; `timeout` in seconds.

    Raises BadRequest if one is missing or invalid.
    """

    __slots__ = (
        "cls",
        "customer",
        "entry_gateways",
        "first_gateway",
        "id",
        "named_plan",
        "plan",
        "plan_name",
        "retried",
        "timeout",
        "units",
    )

    def __init__(self, names: NameIndex, exchange: Exchange) -> None:
        fields = exchange.fields

        def need(name: bytes) -> bytes:
            if name not in fields:
                raise BadRequest(f"{name.decode()}: missing")
            return fields[name]

        id_ = need(b"x-request-id")
        if not TOKEN.fullmatch(id_):
            raise BadRequest("x-request-id: not a plain word")
        self.id = id_.decode()
        self.retried = fields.get(b"x-retried") == b"1"
        cls = names.classes.get(need(b"x-priority-class"))
        if cls is None:
            raise BadRequest("x-priority-class: unknown class")
        self.cls = cls
        plan = names.plans.get(need(b"plan"))
        if plan is None:
            raise BadRequest("plan: unknown plan")
        # The plan that the request names and the plan in force; they differ only if plans change at run time.
        self.named_plan = self.plan = plan
        self.plan_name = names.plan_names[plan]
        if exchange.method != names.methods[cls]:
            # What is unsafe to repeat must not use a method that anyone may repeat, or the reverse.
            raise BadRequest("the method does not go with the class")
        cookie = COOKIE.search(need(b"cookie"))
        if not cookie or not CLIENT_ID.fullmatch(cookie[1].strip()):
            raise BadRequest("cookie: no client of 16 hex digits")
        self.customer = int(cookie[1], 16)
        if self.customer >= 2**33:
            raise BadRequest("cookie: the client is too large a number")
        self.timeout = parse_positive("x-timeout", need(b"x-timeout"))
        quota = dict(PAIR.findall(need(b"quota-info")))
        # Units are charged to the customer's bucket, ceiling and counter window, so they need a bound.
        self.units = parse_positive("quota-info units", quota.get(b"units", b""))
        if not 1 <= self.units <= names.most_units:
            raise BadRequest(f"quota-info units: not from 1 to {names.most_units:g}")
        self.entry_gateways = parse_int("quota-info spread", quota.get(b"spread", b""), 1, names.gateways)
        self.first_gateway = parse_int("quota-info first", quota.get(b"first", b""), 0, names.gateways - 1)


def parse_positive(name: str, text: bytes) -> float:
    """Parses a finite decimal number above 0; raises BadRequest naming the field."""
    value = float(text) if NUMBER.fullmatch(text) else 0.0
    if not 0 < value < math.inf:
        raise BadRequest(f"{name}: not a number above 0")
    return value


def parse_int(name: str, text: bytes, low: int, high: int) -> int:
    """Parses a decimal integer from `low` to `high`; raises BadRequest naming the field."""
    if not text.isdigit() or len(text) > 9 or not low <= int(text) <= high:
        raise BadRequest(f"{name}: not a whole number from {low} to {high}")
    return int(text)


class NameIndex:
    """Numbers of classes and plans by their names in headers, the method of each class, and bounds."""

    def __init__(self, settings: api.Settings) -> None:
        self.classes = {c.name.encode(): i for i, c in enumerate(settings.classes)}
        self.plans = {p.name.encode(): i for i, p in enumerate(settings.plans)}
        self.plan_names = [p.name for p in settings.plans]
        self.methods = [b"GET" if c.repeat is api.Repeat.SAFE else b"POST" for c in settings.classes]
        self.gateways, self.most_units = settings.gateways, settings.most_units
