"""Adapter to the simulator: text lines to events, actions to text lines, one `Gateway` for each instance."""

from __future__ import annotations

import functools
import math
import sys
from collections.abc import Callable, Iterable, Iterator
from typing import Any, TextIO

from coralvale import interface as api
from coralvale.logic import Gateway

Fields = dict[str, str]


class MalformedLine(ValueError):
    """An input line that cannot be parsed; the message contains it."""


OUTCOMES = {
    "pass": api.Outcome.OK,
    "fault": api.Outcome.ERROR,
    "no_room": api.Outcome.FULL,
    "too_slow": api.Outcome.TIMEOUT,
    "no_route": api.Outcome.CONNECT_FAILED,
    "cut": api.Outcome.RESET,
    "undone": api.Outcome.CANCELLED,
    "stale_send": api.Outcome.NOT_SENT,
}
LIST_KINDS = {
    "D": api.ListKind.CHANGES,
    "F": api.ListKind.FULL,
    "C": api.ListKind.CACHED,
    "X": api.ListKind.FAILED,
}
STATES = {
    "healthy": api.ServerState.HEALTHY,
    "cordoned": api.ServerState.DRAINING,
    "deregistered": api.ServerState.GONE,
}
REPEATS = {"free": api.Repeat.SAFE, "guarded": api.Repeat.KEYED, "single_shot": api.Repeat.UNSAFE}
REPORTS = {"inline": api.ReportVia.ANSWERS, "on_probe": api.ReportVia.PROBE, "off": api.ReportVia.NONE}


def split_fields(parts: Iterable[str]) -> Fields:
    """Parses `name=value` parts of a line."""
    fields: Fields = {}
    for part in parts:
        name, equals, value = part.partition("=")
        if not equals:
            raise ValueError(f"part without '=': {part!r}")
        fields[name] = value
    return fields


def read_value(pairs: Fields, path: str, convert: Callable[[str], Any], default: Any = None) -> Any:
    """One converted setting. Raises SettingsError if it is invalid, or missing without a default."""
    if path not in pairs:
        if default is None:
            raise api.SettingsError(f"{path}: missing")
        return default
    try:
        return convert(pairs[path])
    except (ValueError, KeyError, OverflowError):
        raise api.SettingsError(f"{path}: cannot use {pairs[path]!r}") from None


def flag(text: str) -> bool:
    """A boolean; KeyError if it is none."""
    return {"true": True, "false": False, "1": True, "0": False}[text]


def words(text: str) -> tuple[str, ...]:
    """A comma-separated list, without empty entries."""
    return tuple(word for word in text.split(",") if word)


def whole(text: str) -> int:
    """An integer, also when written as a float."""
    return int(float(text))


def read_settings(pairs: Fields) -> api.Settings:
    """Settings from the simulator's names. Raises SettingsError for an invalid one; skips unknown ones."""

    get = functools.partial(read_value, pairs)
    classes = []
    for i in range(get("classes.count", whole)):
        at = f"classes.{i}."
        classes.append(
            api.RequestClass(
                name=get(at + "name", str, f"class {i}"),
                aim=get(at + "aim_s", float),
                give_up=get(at + "give_up_s", float),
                worth=get(at + "worth", float),
                repeat=get(at + "repeat", REPEATS.__getitem__),
                group=get(at + "group", api.Group, api.Group.ALL),
                key_window=get(at + "key_ttl_s", float, 0.0),
                streamed=get(at + "streaming", flag, False),
                late_worth=get(at + "late_value", float, 0.0),
            )
        )
    plans = []
    for i in range(get("packages.count", whole)):
        at = f"packages.{i}."
        plans.append(
            api.Plan(
                name=get(at + "name", str, f"plan {i}"),
                rate=get(at + "per_second", float),
                burst=get(at + "most_at_once", float),
                open_limit=get(at + "concurrency", float, 0.0),
                price=get(at + "value_factor", float, 1.0),
                excess_worth=get(at + "excess_worth", float, 0.0),
                excess_cost=get(at + "excess_cost", float, 0.0),
                ceiling_rate=get(at + "never_over_rate", float, 0.0),
                ceiling_burst=get(at + "hard_burst", float, 0.0),
                ceiling_slack=get(at + "tolerance", float, 0.0),
            )
        )
    return api.Settings(
        gateways=get("n_instances", whole),
        zone=get("locality", whole, 0),
        classes=tuple(classes),
        plans=tuple(plans),
        drain_grace=get("rules.stop_sending_within_s", float),
        cold_share=get("rules.cold_from", float),
        warm_after=get("rules.ramp_time_s", float),
        fall_multiple=get("rules.fall_multiple", float),
        fall_window=get("rules.overload_for_s", float),
        answer_slack=get("rules.answer_slack_s", float, 0.0),
        max_attempts=get("ceilings.send_cap", whole),
        second_copies=get("ceilings.second_copies", flag, False),
        may_cancel=get("ceilings.may_cancel", flag, False),
        may_probe=get("ceilings.may_probe", flag, False),
        may_count=get("family_info.may_count", flag, False),
        counter_timeout=get("family_info.count_wait_s", float, 0.0),
        meter_period=get("family_info.use_period_s", float, 0.0),
        settles_after=get("family_info.post_paid", flag, False),
        ask_for_list=get("registry_mode", {"pushed": False, "on_request": True}.__getitem__, False),
        ask_within=get("rules.ask_within_s", float, 0.0),
        report_via=get("load_info.via", REPORTS.__getitem__, api.ReportVia.NONE),
        report_fields=get("load_info.columns", words, ()),
        advice=get("ceilings.retry_after", flag, False),
        max_advice=get("ceilings.max_retry_after_s", float, 0.0),
        most_units=get("family_info.most_units", float, math.inf),
        me=get("me", whole, 0),
    )


def read_server(f: Fields) -> api.Server:
    """A server from the fields of a list entry."""
    return api.Server(
        id=f["host"],
        state=STATES[f["health"]],
        scale=float(f.get("scale", "1")),
        zone=int(f.get("region_part", "0")),
        cell=int(f.get("group", "0")),
        kind=int(f.get("machine", "0")),
        started_at=float(f.get("launched_s", "0")),
    )


def read_report(f: Fields) -> tuple[float, ...]:
    """A server's load report: values in the order of `report_fields`."""
    return tuple(float(value) for value in f.get("health_info", "").split(",") if value)


def read_request(f: Fields) -> api.Request:
    """A request from the fields of its line."""
    return api.Request(
        id=f["tid"],
        cls=int(f["band"]),
        plan=int(f["tariff"]),
        customer=int(f["member"]),
        entry_gateways=int(f.get("n_entries", "1")),
        expires_at=float(f["expires_s"]),
        units=float(f.get("price_units", "1")),
        first=int(f.get("first_door", "0")),
        retried=f.get("repeat") == "true",
    )


def read_done(f: Fields) -> api.AttemptDone:
    """The end of an attempt from the fields of its line."""
    usage, units = float(f.get("quota_use", "0")), float(f.get("cost", "0"))
    # The simulator sends a fraction `u` as 100 u + 1, and 0 for none.
    return api.AttemptDone(
        request=f["tid"],
        attempt=int(f["n"]),
        outcome=OUTCOMES[f["outcome"]],
        delay=float(f["delay_seen_s"]),
        finished=f.get("over", "0") == "1",
        usage=(usage - 1) / 100 if usage else None,
        units=units or None,
        report=read_report(f),
    )


READERS: dict[str, Callable[[Fields], api.Event]] = {
    "INGRESS": read_request,
    "FIRST": lambda f: api.StreamStarted(f["tid"], int(f["n"]), float(f["delay_seen_s"])),
    "DONE": read_done,
    "GONE": lambda f: api.Abandoned(f["tid"]),
    "TIMEOUT_FIRED": lambda f: api.TimerFired(int(f["mark"])),
    "PROBE_DONE": lambda f: api.ProbeDone(
        f["host"], OUTCOMES[f["outcome"]], float(f["delay_seen_s"]), read_report(f)
    ),
    "COUNTER_REPLY": lambda f: api.CounterReply(
        int(f["entry_name"]), f["outcome"] == "pass", float(f.get("level", "0")), f["outcome"] == "too_slow"
    ),
}

WRITERS: dict[type, Callable[[Any], str]] = {
    api.Send: lambda a: f"HAND_OFF\ttid={a.request}\thost={a.server}\tuntil_s={a.until:.6f}",
    api.Cancel: lambda a: f"ABORT_ATTEMPT\ttid={a.request}\tn={a.attempt}",
    api.Refuse: lambda a: f"OVERLOAD_REPLY\ttid={a.request}\tcool_down_s={a.advice:.6f}",
    api.Fail: lambda a: f"SURRENDER\ttid={a.request}",
    api.SetTimer: lambda a: f"WAKE_AT\tmark={a.token}\tsleep_for_s={a.delay:.6f}",
    api.Probe: lambda a: f"PROBE\thost={a.server}",
    api.Count: lambda a: f"POST_AMOUNT\tentry_name={a.name}\tby={a.amount:.6f}\tlives_s={a.lifetime:.6f}",
    api.FollowList: lambda a: "TRACK\tactive=1",
    api.FetchList: lambda a: "FETCH",
    api.Log: lambda a: f"PRINT\tmessage={a.text}",
}


GatewayFactory = Callable[[float, api.Settings, int], Gateway]


def make_gateway(now: float, settings: api.Settings, seed: int) -> Gateway:
    """A gateway without optional subsystems."""
    return Gateway(settings, seed)


class Adapter:
    """Reads batches of lines, passes each event to its instance, and writes one reply for each batch.

    `make` creates an instance's gateway from the time, its settings and its seed.
    """

    def __init__(self, make: GatewayFactory = make_gateway) -> None:
        self.make = make
        self.gateways: dict[int, Gateway] = {}
        self.lists: dict[int, tuple[api.Server, ...]] = {}

    def run(self, source: Iterable[str], sink: TextIO) -> None:
        """Serves batches until the input ends."""
        lines = iter(source)
        for line in lines:
            sink.write(self.batch(line, lines))
            sink.flush()

    def batch(self, first: str, lines: Iterator[str]) -> str:
        """The reply to one batch, whose first line is `first`. Raises MalformedLine."""
        reply: list[str] = []
        speaking = instance = -1
        now, line, started = 0.0, first, False
        while True:
            text = line.rstrip("\r\n")
            try:
                word, *parts = text.split("\t")
                if word == "FLUSH":
                    break
                actions: list[api.Action] | str = []
                if word == "ROUND":
                    now, started = float(split_fields(parts)["moment_s"]), True
                elif not started:
                    raise ValueError("outside a batch")
                elif word == "ABOUT":
                    instance = int(split_fields(parts)["i"])
                elif word == "MANIFEST":
                    self._read_list(split_fields(parts), lines)
                else:
                    actions = self._event(now, instance, word, parts)
            except (ValueError, KeyError, IndexError) as error:
                raise MalformedLine(f"cannot read line {text!r}: {error!r}") from error
            if actions and speaking != instance:
                reply.append(f"AS\ti={instance}")
                speaking = instance
            if isinstance(actions, str):
                reply.append(f"CRASH\tmessage={actions}")
            else:
                reply.extend(WRITERS[type(action)](action) for action in actions)
            line = next(lines, "")
            if not line:
                raise MalformedLine(f"input ended within a batch, after line {text!r}")
        reply.append("DONE\n")
        return "\n".join(reply)

    def _read_list(self, f: Fields, lines: Iterator[str]) -> None:
        servers = []
        for _ in range(int(f["items"])):
            text = next(lines, "").rstrip("\r\n")
            word, *parts = text.split("\t")
            if word != "M":
                raise ValueError(f"expected a list entry, got {text!r}")
            try:
                servers.append(read_server(split_fields(parts)))
            except (ValueError, KeyError) as error:
                raise MalformedLine(f"cannot read line {text!r}: {error!r}") from error
        self.lists[int(f["list"])] = tuple(servers)

    def _event(self, now: float, instance: int, word: str, parts: list[str]) -> list[api.Action] | str:
        """The module's answer to one event, or the message of its failure."""
        if word == "HELLO":
            f = split_fields(parts)
            seed = int(f["nonce64"])
            return self._guarded(lambda: self._start(now, instance, f, seed))
        if word == "EXIT":
            self.gateways.pop(instance, None)
            return []
        if word == "ROSTER_CHANGE":
            f = split_fields(parts)
            kind = LIST_KINDS[f["how"]]
            servers = () if kind is api.ListKind.FAILED else self.lists[int(f["list"])]
            event: api.Event = api.ServerList(kind, servers)
        elif word in READERS:
            event = READERS[word](split_fields(parts))
        elif word == "MAIL":
            return []
        else:
            raise ValueError("unknown message")
        gateway = self.gateways[instance]
        return self._guarded(lambda: gateway.handle(now, event))

    def _start(self, now: float, instance: int, f: Fields, seed: int) -> list[api.Action]:
        self.gateways[instance] = self.make(now, read_settings(f), seed)
        return []

    @staticmethod
    def _guarded(call: Callable[[], list[api.Action]]) -> list[api.Action] | str:
        try:
            return call()
        except Exception as error:  # any failure in the module is reported as a crash of its instance
            return f"{type(error).__name__}: {error}".replace("\n", " ").replace("\t", " ")


def main(make: GatewayFactory = make_gateway) -> int:
    """Runs the adapter on standard input and output; returns the exit code."""
    try:
        Adapter(make).run(sys.stdin, sys.stdout)
    except MalformedLine as error:
        print(f"coralvale: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
