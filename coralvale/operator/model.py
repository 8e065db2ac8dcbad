"""The tables of the operator's file, one a subsystem; every key with its default, unit and bounds.

`deploy/operator.example.toml` shows the same keys to people; a test holds the two together.
"""

from __future__ import annotations

import ipaddress
from typing import Annotated, Literal

from msgspec import Meta, Struct, field

Seconds = Annotated[float, Meta(gt=0, le=3600)]
Count = Annotated[int, Meta(ge=1, le=1_000_000)]


class OperatorError(ValueError):
    """The operator's file cannot be used; the message is one line: file, key path, what was expected."""


class Table(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A table of the file: unknown keys are refused, so that a misspelt one is not taken for a default."""


class ControlTls(Table, frozen=True):
    """`[control.tls]`: PEM files. With `client_ca` a proxy must show a certificate that it signed."""

    certificate: str
    key: str
    client_ca: str = ""


class ControlLimits(Table, frozen=True):
    """`[control.limits]`: what proxies may make the service hold. Past each a gRPC status says which."""

    streams: Count = 4096  # open at once, discovery and quota streams together
    names: Count = 1000  # resource names in one subscription
    message_bytes: Annotated[int, Meta(ge=1024, le=64 * 1024 * 1024)] = 1024 * 1024
    reports_per_s: Count = 1000  # usage reports taken from one stream in a second
    buckets: Count = 20000  # quota buckets kept, over all streams


class ControlQuotas(Table, frozen=True):
    """`[control.quotas]`: the Rate Limit Quota Service."""

    domain: str = "coralvale"
    station_key: str = "station"  # keys of a bucket's id that name the station and its plan
    plan_key: str = "plan"
    assignment_ttl_s: Seconds = 6.0  # how long an assignment holds with nobody reachable
    margin_s: Seconds = 1.0  # longer that it is counted as alive, for the way to the proxy
    forget_s: Seconds = 60.0  # without a report, after which a bucket is forgotten
    services: Annotated[int, Meta(ge=1, le=16)] = 1  # control services that share each station's ceiling
    place: Annotated[int, Meta(ge=0, le=15)] = 0  # of this one among them, from 0


class ControlAuthorisation(Table, frozen=True):
    """`[control.authorisation]`: answers envoy.service.auth.v3.Authorization/Check, takes in access logs."""

    most_held: Count = 50_000  # requests that are known at once; one past that is refused
    repeats: Annotated[int, Meta(ge=0, le=100)] = 8  # times that the same request is allowed again


class Control(Table, frozen=True):
    """`[control]`: the control service."""

    service: Annotated[str, Meta(min_length=1, max_length=128)]  # name of the listener, route and cluster
    listen: str = "127.0.0.1:18000"
    proxy_address: str = ""  # where Envoy-like proxies shall listen; empty: only gRPC's api_listener
    state_dir: str = ""  # keeps the roster last served across restarts; empty: nothing is kept
    insecure: bool = False  # allows listening off loopback without TLS
    metrics: str = ""  # address of the text page of metrics; empty: none
    endpoint_lease_ms: Annotated[int, Meta(ge=0, le=60_000)] = 0  # 0: endpoints hold until told otherwise
    restate_ms: Annotated[int, Meta(ge=50, le=10_000)] = 500  # between new weights of a host that warms
    older_list_s: Seconds = 30.0  # after which a list with a lower index is taken for a new numbering
    tls: ControlTls | None = None
    limits: ControlLimits = field(default_factory=ControlLimits)
    quotas: ControlQuotas = field(default_factory=ControlQuotas)
    authorisation: ControlAuthorisation | None = None

    def check(self) -> None:
        """What types cannot say. Raises ValueError whose text begins with the key's path."""
        host = _address("control.listen", self.listen)
        if self.quotas.place >= self.quotas.services:
            raise ValueError(
                f"control.quotas.place: {self.quotas.place}, expected less than services ({self.quotas.services})"
            )
        for path, text in (("proxy_address", self.proxy_address), ("metrics", self.metrics)):
            if text:
                _address(f"control.{path}", text)
        if not (_loopback(host) or self.tls or self.insecure):
            raise ValueError(
                f"control.listen: {self.listen} is off loopback; expected [control.tls], or insecure = true"
            )


class Allowance(Table, frozen=True):
    """`[allowance]`: ceilings, and quotas if so named, shared by gateways through the counter."""

    quotas: bool = False  # quotas too: never passed, where the ordinary path goes by late readings
    window_s: Literal[1, 2, 3, 4] = 3  # the same at all gateways
    calls_per_s: Annotated[float, Meta(gt=0, le=10_000)] = 50.0  # to the counter, over all stations


class AuthoriserTls(Table, frozen=True):
    """`[authorisation.tls]`: PEM files; an empty `ca` is the system's."""

    ca: str = ""
    certificate: str = ""
    key: str = ""


class Authoriser(Table, frozen=True):
    """`[[authorisation]]`: a service that allows or denies requests. The first that matches a request is asked.

    An empty list matches all. Stations are 16 hex digits, as in the cookie `client`.
    """

    name: Annotated[str, Meta(min_length=1, max_length=64)]
    target: Annotated[str, Meta(min_length=1, max_length=256)]  # address:port
    plans: tuple[str, ...] = ()
    stations: tuple[str, ...] = ()
    classes: tuple[str, ...] = ()
    timeout_ms: Annotated[int, Meta(ge=1, le=60_000)] = 200
    without_answer: Literal["refuse", "allow"] = "refuse"  # allow: only classes that are safe to repeat
    most_out: Count = 100  # checks without an answer; a request past that is answered as without one
    cache_entries: Annotated[int, Meta(ge=0, le=1_000_000)] = 0  # answers that are kept; 0: none
    cache_s: Seconds = 10.0
    listener_header: Annotated[str, Meta(min_length=1, max_length=64)] = "authorization"  # who listens
    tls: AuthoriserTls | None = None


class Attempts(Table, frozen=True):
    """`[attempts]`: a journal of attempts of classes that must not run twice."""

    directory: Annotated[str, Meta(min_length=1)]  # on a disk that outlives the process; one gateway's alone
    unrecorded: Literal["refuse", "send"] = (
        "refuse"  # what holds for an attempt that cannot be recorded in time
    )
    wait_ms: Annotated[int, Meta(ge=10, le=10_000)] = 250  # for the disk
    keep_days: Annotated[float, Meta(gt=0, le=3650)] = 7.0
    max_bytes: Annotated[int, Meta(ge=1024 * 1024)] = 1024 * 1024 * 1024
    segment_bytes: Annotated[int, Meta(ge=4096)] = 4 * 1024 * 1024


class Receiver(Table, frozen=True):
    """`[[syslog.receivers]]`: one that messages go to."""

    name: Annotated[str, Meta(pattern="^[a-z0-9][a-z0-9._-]{0,31}$")]  # in the log; of its part of the spool
    target: Annotated[str, Meta(min_length=1, max_length=256)]  # address:port, or a path where it is local
    transport: Literal["tcp", "tls", "udp", "local"] = "tcp"
    ca: str = ""  # PEM files, for tls; empty: the system's authorities, no certificate of our own
    certificate: str = ""
    key: str = ""
    server_name: str = ""  # that its certificate must have; empty: the address in `target`


class Syslog(Table, frozen=True):
    """`[syslog]`: every final answer as a message of RFC 5424."""

    receivers: tuple[Receiver, ...]
    mode: Literal["failover", "all"] = "failover"  # the first that is well, or each of them
    hostname: Annotated[str, Meta(max_length=255)] = ""  # empty: the gateway's name in its configuration
    enterprise: Annotated[str, Meta(pattern="^[0-9]{1,10}$")] = "32473"  # RFC 5612: the one for examples
    facility: Annotated[int, Meta(ge=0, le=23)] = 16  # local0
    synced: bool = False  # whether this machine's clock is kept by an outside source (RFC 5424, 7.1.2)
    message_bytes: Annotated[int, Meta(ge=2048, le=60_000)] = 2048  # of a message; every receiver takes 2,048
    queue_bytes: Annotated[int, Meta(ge=64 * 1024, le=1 << 30)] = 4 * 1024 * 1024  # for each stream
    stall_s: Seconds = 30.0  # without anything taken, after which a receiver counts as gone
    home_s: Seconds = 60.0  # after a failover, after which the first receiver is tried again
    flush_s: Annotated[float, Meta(ge=0, le=60)] = 1.0  # at SIGTERM
    spool: str = ""  # directory on a disk that outlives the process; empty: memory alone
    spool_bytes: Annotated[int, Meta(ge=4 * 1024 * 1024)] = 256 * 1024 * 1024  # for each stream
    names: str = ""  # file with the names of stations and programmes, read again at SIGHUP
    sample_over: Annotated[int, Meta(ge=0, le=1_000_000)] = (
        20  # refusals of a kind and second told one by one
    )
    sample_factor: Annotated[int, Meta(ge=1, le=100_000)] = 1  # beyond those, one in so many; 1: all

    def check(self) -> None:
        if not 1 <= len(self.receivers) <= 8:
            raise ValueError("syslog.receivers: expected 1 to 8 tables")
        names = [receiver.name for receiver in self.receivers]
        for number, receiver in enumerate(self.receivers):
            path = f"syslog.receivers[{number}]"
            if names.index(receiver.name) != number:
                raise ValueError(f"{path}.name: {receiver.name!r} is there already")
            if receiver.transport != "local":
                _address(f"{path}.target", receiver.target)
            elif len(receiver.target.encode()) > 107:  # unix(7)
                raise ValueError(f"{path}.target: expected a path of at most 107 bytes")
            if bool(receiver.certificate) != bool(receiver.key):
                raise ValueError(f"{path}: expected certificate and key together")
            if receiver.transport != "tls" and (receiver.ca or receiver.key or receiver.server_name):
                raise ValueError(f'{path}: ca, key and server_name are for transport = "tls"')


class LedgerTls(Table, frozen=True):
    """`[ledger.tls]`: PEM files; an empty `ca` is the system's."""

    ca: str = ""
    certificate: str = ""
    key: str = ""


class Ledger(Table, frozen=True):
    """`[ledger]`: what stations use, by period, for billing."""

    directory: Annotated[str, Meta(min_length=1)]  # on a disk that outlives the process; one gateway's alone
    target: Annotated[str, Meta(max_length=256)] = ""  # address:port of the billing service; empty: none
    period_s: Annotated[float, Meta(ge=1, le=31 * 86400)] = 3600.0  # the same for good
    grace_s: Seconds = 15.0  # after a period, for its tries to end; at least the longest give-up time
    patience_s: Seconds = 120.0  # after a period, when it is sealed whatever is still open
    gather_s: Annotated[float, Meta(ge=0, le=86400)] = 60.0  # corrections are gathered for as long
    unrecorded: Literal["serve", "refuse"] = "serve"  # what holds for a request that cannot be recorded
    tls: LedgerTls | None = None

    def check(self) -> None:
        if self.target:
            _address("ledger.target", self.target)
        if self.patience_s < self.grace_s:
            raise ValueError("ledger.patience_s: expected at least grace_s")
        if self.tls and bool(self.tls.certificate) != bool(self.tls.key):
            raise ValueError("ledger.tls: expected certificate and key together")


class PlansTls(Table, frozen=True):
    """`[plans.tls]`, `[plan_service.tls]`: PEM files; `ca` signs the other side's certificates."""

    ca: str = ""
    certificate: str = ""
    key: str = ""


class Plans(Table, frozen=True):
    """`[plans]`: plans that change in service, as a plan service tells them."""

    service: Annotated[str, Meta(min_length=1, max_length=256)]  # address:port
    directory: str = ""  # keeps the copy across restarts; one gateway's alone; empty: none is kept
    strict: bool = False  # out of touch with the service, every station is held to the floor
    floor_rate: Annotated[float, Meta(ge=0, le=1e9)] = 0.0  # units a second over all gateways
    floor_burst: Annotated[float, Meta(ge=0, le=1e9)] = 0.0  # units
    tls: PlansTls | None = None

    def check(self) -> None:
        _address("plans.service", self.service)
        if self.strict and not (self.floor_rate > 0 and self.floor_burst > 0):
            raise ValueError("plans.strict: needs floor_rate and floor_burst above 0")
        _pair("plans.tls", self.tls)


class PlanService(Table, frozen=True):
    """`[plan_service]`: the one that has the book (`coralvale plans serve`)."""

    directory: Annotated[str, Meta(min_length=1)]  # on a disk that outlives the process
    listen: str = "127.0.0.1:18100"
    lead_s: Annotated[float, Meta(ge=1, le=3600)] = 5.0  # that every change is told ahead
    floor_rate: Annotated[float, Meta(ge=0, le=1e9)] = 0.0  # no plan's ceiling may be below
    floor_burst: Annotated[float, Meta(ge=0, le=1e9)] = 0.0
    gateways: tuple[str, ...] = ()  # names of those that must know of a change; others as long as they ask
    keep_days: Annotated[float, Meta(gt=0, le=3650)] = 7.0  # for what is over
    insecure: bool = False  # allows listening off loopback without TLS
    tls: PlansTls | None = None

    def check(self) -> None:
        host = _address("plan_service.listen", self.listen)
        if not (_loopback(host) or self.tls or self.insecure):
            raise ValueError(
                f"plan_service.listen: {self.listen} is off loopback; "
                "expected [plan_service.tls], or insecure = true"
            )
        if bool(self.floor_rate) != bool(self.floor_burst):
            raise ValueError("plan_service.floor_burst: expected floor_rate and floor_burst together")
        _pair("plan_service.tls", self.tls)
        if self.tls and not self.tls.certificate:
            raise ValueError("plan_service.tls: expected certificate and key")


class Http2Tls(Table, frozen=True):
    """`[http2.tls]`: TLS to hosts, with ALPN; an empty `ca` is the system's."""

    ca: str = ""
    server_name: str = ""  # that hosts' certificates must have; empty: the host's address


class Http2(Table, frozen=True):
    """`[http2]`: HTTP/2 to hosts, in clear by prior knowledge, or over TLS."""

    kinds: tuple[str, ...] = ()  # kinds of hosts, as the settings name them; empty: all
    connections: Annotated[int, Meta(ge=1, le=16)] = 2  # to one host
    streams: Annotated[int, Meta(ge=1, le=1000)] = 100  # on one connection, whatever more the host allows
    wait_ms: Annotated[int, Meta(ge=1, le=1000)] = 100  # for a free stream; then it goes elsewhere
    without: Literal["http1", "out"] = "http1"  # what holds for a host that does not speak HTTP/2
    idle_s: Seconds = 60.0  # without a request, after which a connection is closed
    ping_after_s: Seconds = 2.0  # of silence with requests out
    ping_wait_s: Seconds = 1.0  # for anything to come after that, or the connection is given up
    tls: Http2Tls | None = None

    def check(self) -> None:
        if self.tls and self.without == "http1":
            raise ValueError('http2.without: "http1" is for hosts in clear; with [http2.tls] expected "out"')


class MembersTls(Table, frozen=True):
    """`[members.tls]`: PEM files; each member shows a certificate that `ca` signed."""

    ca: Annotated[str, Meta(min_length=1)]
    certificate: Annotated[str, Meta(min_length=1)]
    key: Annotated[str, Meta(min_length=1)]


class Members(Table, frozen=True):
    """`[members]`: gateways that know of one another."""

    cluster: Annotated[str, Meta(min_length=1, max_length=64)]  # others' packets are refused
    keys: Annotated[str, Meta(min_length=1)]  # file with the shared keys, read again at SIGHUP
    listen: str = "127.0.0.1:18300"  # UDP and TCP
    advertise: str = ""  # where the others reach it; empty: listen
    seeds: tuple[str, ...] = ()  # addresses of some that are usually there
    name: Annotated[str, Meta(max_length=64)] = ""  # empty: the gateway's; no two may have the same
    zone: Annotated[int, Meta(ge=0, le=65535)] = 0
    weight: Annotated[float, Meta(gt=0, le=1e6)] = 1.0  # of what is shared out, beside the others'
    period_ms: Annotated[int, Meta(ge=50, le=60_000)] = 400  # between probes; the same at all, as all below
    timeout_ms: Annotated[int, Meta(ge=10, le=30_000)] = 100  # until others are asked to probe
    syncs_per_s: Annotated[float, Meta(ge=1, le=10_000)] = 20.0  # of all that is known, that one gives away
    forget_s: Annotated[float, Meta(ge=10, le=86_400)] = 300.0  # for which those gone are remembered
    most: Annotated[int, Meta(ge=2, le=4000)] = 2000  # members known at once
    directory: str = ""  # keeps incarnation and others' addresses across restarts; empty: nothing is kept
    quotas: bool = False  # customers' quotas are kept by their owners among the members
    hold_ms: Annotated[int, Meta(ge=1, le=5000)] = 30  # that a request waits for its quota's owner
    hosts: bool = False  # hosts are split evenly over the members, by capacity and `weight`
    insecure: bool = False  # allows listening off loopback without TLS: sealed all the same, but in clear
    tls: MembersTls | None = None

    def check(self) -> None:
        host = _address("members.listen", self.listen)
        if self.advertise:
            _address("members.advertise", self.advertise)
        for number, seed in enumerate(self.seeds):
            _address(f"members.seeds[{number}]", seed)
        if not (_loopback(host) or self.tls or self.insecure):
            raise ValueError(
                f"members.listen: {self.listen} is off loopback; expected [members.tls], or insecure = true"
            )
        if 2 * self.timeout_ms >= self.period_ms:
            raise ValueError(
                f"members.timeout_ms: {self.timeout_ms}, expected less than half of period_ms ({self.period_ms})"
            )


class Operator(Table, frozen=True):
    """The whole file. A table that is not there is a subsystem that is off."""

    control: Control | None = None
    allowance: Allowance | None = None
    authorisation: tuple[Authoriser, ...] = ()
    attempts: Attempts | None = None
    syslog: Syslog | None = None
    ledger: Ledger | None = None
    plans: Plans | None = None
    plan_service: PlanService | None = None
    http2: Http2 | None = None
    members: Members | None = None

    def check(self) -> None:
        if self.control:
            self.control.check()
        if self.syslog:
            self.syslog.check()
        if self.ledger:
            self.ledger.check()
        if self.plans:
            self.plans.check()
        if self.plan_service:
            self.plan_service.check()
        if self.http2:
            self.http2.check()
        if self.members:
            self.members.check()
            if self.members.quotas and self.allowance:
                raise ValueError("members.quotas: cannot be used with [allowance] yet")
            if self.members.quotas and self.plans:
                raise ValueError("members.quotas: cannot be used with [plans] yet")
        names = [authoriser.name for authoriser in self.authorisation]
        for number, authoriser in enumerate(self.authorisation):
            path = f"authorisation[{number}]"
            _address(f"{path}.target", authoriser.target)
            if names.index(authoriser.name) != number:
                raise ValueError(f"{path}.name: {authoriser.name!r} is there already")
            for station in authoriser.stations:
                if len(station) != 16 or not all(c in "0123456789abcdef" for c in station):
                    raise ValueError(f"{path}.stations: expected 16 hex digits, got {station!r}")
            tls = authoriser.tls
            if tls and bool(tls.certificate) != bool(tls.key):
                raise ValueError(f"{path}.tls: expected certificate and key together")


def _pair(path: str, tls: PlansTls | None) -> None:
    if tls and bool(tls.certificate) != bool(tls.key):
        raise ValueError(f"{path}: expected certificate and key together")


def _address(path: str, text: str) -> str:
    host, colon, port = text.rpartition(":")
    if not (host and colon and port.isascii() and port.isdecimal() and int(port) < 65536):
        raise ValueError(f"{path}: expected address:port, got {text!r}")
    return host.strip("[]")


def _loopback(host: str) -> bool:
    try:
        return ipaddress.ip_address(host).is_loopback
    except ValueError:
        return False  # a name may be anything tomorrow
