"""The stream machine: its rules one by one, then any order of updates, answers, subscriptions, reconnects."""

from __future__ import annotations

from collections import deque

import pytest
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from coralvale.control.model import (
    CLUSTER,
    ENDPOINTS,
    LISTENER,
    ORDER,
    ROUTE,
    Acked,
    Asked,
    AskedDelta,
    Nacked,
    Resource,
    Response,
    Snapshot,
    StreamError,
)
from coralvale.control.snapshots import Snapshots
from coralvale.control.stream import NAME, OUT, PATIENCE, WHOLE, Stream


def resource(name: str, version: int) -> Resource:
    return Resource(name, version, f"{version:x}", b"%d" % version)


def snapshot(version: int, *kinds: str, urgent: int = 0, names: tuple[str, ...] = ("a",)) -> Snapshot:
    held = [(kind, resource(name, version)) for kind in kinds or ORDER for name in names]
    return Snapshot.of(version, *held, urgent=urgent)


def opened(delta: bool = False, version: int = 1) -> Stream:
    stream = Stream(delta, most_names=10)
    stream.offer(snapshot(version))
    return stream


def ask(stream: Stream, kind: str, *names: str, nonce: str = "", error: str | None = None) -> list[object]:
    if stream.delta:
        return list(stream.ask(AskedDelta(kind, subscribe=names, nonce=nonce, error=error)))
    return list(stream.ask(Asked(kind, names, nonce=nonce, error=error)))


def got(stream: Stream, now: float = 0.0) -> Response:
    response = stream.poll(now)
    assert response is not None
    return response


@pytest.mark.parametrize("delta", [False, True])
def test_a_response_is_sent_once_and_its_answer_told(delta: bool) -> None:
    stream = opened(delta)
    assert stream.poll(0) is None  # nothing was asked
    ask(stream, ENDPOINTS, "a")
    first = got(stream)
    assert first.type_url == ENDPOINTS and [r.name for r in first.resources] == ["a"]
    assert stream.poll(0) is None
    names = () if delta else ("a",)
    assert ask(stream, ENDPOINTS, *names, nonce=first.nonce) == [Acked(ENDPOINTS, 1)]
    assert ask(stream, ENDPOINTS, *names, nonce=first.nonce) == []  # told once
    assert stream.poll(0) is None
    stream.offer(snapshot(2))
    second = got(stream)
    assert ask(stream, ENDPOINTS, *names, nonce=second.nonce, error="no") == [Nacked(ENDPOINTS, 2, "no")]
    assert stream.poll(99) is None  # it would be refused again
    assert stream.types[ENDPOINTS].error == "no" and stream.types[ENDPOINTS].acked == 1
    stream.offer(snapshot(3))
    assert ask(stream, ENDPOINTS, *names, nonce=got(stream).nonce) == [Acked(ENDPOINTS, 3)]
    assert stream.types[ENDPOINTS].error == ""


@pytest.mark.parametrize("delta", [False, True])
def test_what_was_well_in_a_refused_response_is_owed_again_with_the_next(delta: bool) -> None:
    stream = opened(delta)
    ask(stream, ENDPOINTS, "a", "b")
    first = got(stream)
    ask(stream, ENDPOINTS, *(() if delta else ("a", "b")), nonce=first.nonce)
    good, bad, better = resource("a", 2), resource("b", 2), resource("b", 3)
    stream.offer(Snapshot.of(2, (ENDPOINTS, good), (ENDPOINTS, bad)))
    second = got(stream)
    ask(stream, ENDPOINTS, *(() if delta else ("a", "b")), nonce=second.nonce, error="b is bad")
    stream.offer(Snapshot.of(3, (ENDPOINTS, good), (ENDPOINTS, better)))
    assert {r.name for r in got(stream).resources} == {"a", "b"}


def test_an_older_snapshot_is_never_taken() -> None:
    stream = opened(version=5)
    stream.offer(snapshot(4))
    ask(stream, CLUSTER)
    assert got(stream).version == 5


def test_a_stale_nonce_changes_no_subscription() -> None:
    stream = opened()
    ask(stream, ENDPOINTS, "a")
    first = got(stream)
    stream.offer(snapshot(2, urgent=2, names=("a", "b")))
    second = got(stream)
    assert ask(stream, ENDPOINTS, "a", "b", nonce=first.nonce) == [Acked(ENDPOINTS, 1)]  # it says that much
    assert ask(stream, ENDPOINTS, "a", "b", nonce=first.nonce) == []
    assert stream.poll(0) is None and stream.passed_over == 2
    ask(stream, ENDPOINTS, "a", "b", nonce=second.nonce)
    assert [r.name for r in got(stream).resources] == ["b"]


def test_who_asks_anew_has_dropped_what_it_had() -> None:
    stream = opened()
    ask(stream, ENDPOINTS, "a")
    ask(stream, ENDPOINTS, nonce=got(stream).nonce)
    ask(stream, ENDPOINTS, "a", nonce=stream.types[ENDPOINTS].nonce)
    assert [r.name for r in got(stream).resources] == ["a"]


def test_a_nonce_of_another_stream_still_subscribes() -> None:
    stream = opened()
    ask(stream, ENDPOINTS, "a", nonce="17")
    assert got(stream).resources


def test_a_drain_goes_ahead_of_all_and_waits_for_no_answer() -> None:
    stream = opened()
    for kind in (LISTENER, ROUTE, CLUSTER):
        ask(stream, kind, "a")
    ask(stream, ENDPOINTS, "a")
    assert [got(stream).type_url for _ in ORDER] == list(ORDER)  # make before break
    stream.offer(snapshot(2))
    assert stream.poll(PATIENCE - 1) is None  # all wait for their ACKs
    assert stream.waits_until() == PATIENCE
    stream.offer(snapshot(3, urgent=3))
    assert got(stream, 1.0).type_url == ENDPOINTS
    assert stream.poll(1.0) is None
    assert got(stream, PATIENCE).type_url == CLUSTER  # it never answers: the rest goes after a while


def test_one_that_does_not_read_gets_the_newest_and_one_response_waits() -> None:
    stream = opened()
    ask(stream, ENDPOINTS, "a")
    first = got(stream)
    for version in range(2, 50):
        stream.offer(snapshot(version))
        assert stream.poll(0.1) is None
    ask(stream, ENDPOINTS, "a", nonce=first.nonce)
    assert got(stream).version == 49 and stream.poll(0) is None


def test_wildcards_old_and_new_and_their_end() -> None:
    for first in ((), ("*",)):
        stream = Stream(False, 10)
        stream.offer(snapshot(1, names=("a", "b")))
        ask(stream, CLUSTER, *first)
        response = got(stream)
        assert {r.name for r in response.resources} == {"a", "b"}
        ask(stream, CLUSTER, "a", nonce=response.nonce)
        stream.offer(snapshot(2, names=("a", "b")))
        response = got(stream)
        assert {r.name for r in response.resources} == {"a"}
        ask(stream, CLUSTER, nonce=response.nonce)  # names were given before, so none means none
        stream.offer(snapshot(3, names=("a", "b")))
        assert stream.poll(0) is None
    stream = Stream(False, 10)
    stream.offer(snapshot(1))
    ask(stream, ENDPOINTS)  # endpoints know no wildcard
    assert stream.poll(0) is None


def test_absence_is_told_where_it_can_be() -> None:
    stream = opened()
    ask(stream, CLUSTER)
    ask(stream, CLUSTER, nonce=got(stream).nonce)
    stream.offer(snapshot(2, ENDPOINTS))
    assert got(stream).resources == ()  # state of the world: what is missing is gone
    stream = opened(delta=True)
    ask(stream, CLUSTER)
    ask(stream, ENDPOINTS, "a", "none")
    first, second = got(stream), got(stream)
    assert [r.name for r in first.resources] == ["a"] and second.removed == ("none",)
    for response in (first, second):
        ask(stream, response.type_url, nonce=response.nonce)
    stream.offer(snapshot(2, LISTENER))
    assert [(r.type_url, r.removed) for r in (got(stream), got(stream))] == [
        (CLUSTER, ("a",)),
        (ENDPOINTS, ("a",)),
    ]
    for kind in (CLUSTER, ENDPOINTS):
        ask(stream, kind, nonce=stream.types[kind].nonce)
    stream.offer(snapshot(3, ENDPOINTS, names=("none",)))
    assert [r.name for r in got(stream).resources] == ["none"]


def test_a_delta_proxy_that_comes_back_is_sent_only_what_it_has_not() -> None:
    stream = Stream(True, 10)
    stream.offer(snapshot(3, names=("a", "b")))
    old = {"a": resource("a", 3).tag, "b": resource("b", 2).tag, "gone": "1.1"}
    stream.ask(AskedDelta(ENDPOINTS, subscribe=("a", "b", "gone"), initial=old))
    response = got(stream)
    assert [r.name for r in response.resources] == ["b"] and response.removed == ("gone",)
    stream.ask(AskedDelta(ENDPOINTS, subscribe=("a",)))  # who asks anew has dropped what it had
    ask(stream, ENDPOINTS, nonce=response.nonce)
    assert [r.name for r in got(stream).resources] == ["a"]


def test_a_lease_is_renewed_with_the_same_version_and_waits_for_the_answer() -> None:
    for delta in (False, True):
        stream = opened(delta)
        stream.renew()  # nobody asked
        ask(stream, ENDPOINTS, "a")
        first = got(stream)
        stream.renew()
        assert stream.poll(0) is None
        ask(stream, ENDPOINTS, *(() if delta else ("a",)), nonce=first.nonce)
        again = got(stream)
        assert again.resources == first.resources and again.nonce != first.nonce
        ask(stream, ENDPOINTS, *(() if delta else ("a",)), nonce=again.nonce, error="no")
        stream.renew()
        assert stream.poll(PATIENCE - 1) is None  # it would be refused again
        assert stream.poll(PATIENCE) is not None


def test_limits_are_told_by_status() -> None:
    for delta in (False, True):
        stream = opened(delta)
        with pytest.raises(StreamError) as error:
            ask(stream, ENDPOINTS, *map(str, range(2000)))
        assert error.value.code == "RESOURCE_EXHAUSTED" and "2000" in error.value.text
        with pytest.raises(StreamError):
            ask(opened(delta), ENDPOINTS, "x" * (NAME + 1))
        with pytest.raises(StreamError, match="characters subscribed"):
            wide = Stream(delta, most_names=1000)
            ask(wide, ENDPOINTS, *(f"{n:04d}{'x' * 1000}" for n in range(100)))
        ask(stream, "type.googleapis.com/unknown", "a")
        assert stream.poll(0) is None and len(stream.types) <= 1
    stream = opened(delta=True)
    with pytest.raises(StreamError):
        stream.ask(AskedDelta(ENDPOINTS, initial={str(i): "1" for i in range(11)}))
    stream = opened(delta=True)
    ask(stream, ENDPOINTS, "a")
    for number in range(3 * OUT):  # a proxy that answers nothing makes no table grow
        stream.offer(snapshot(2 + number, urgent=2 + number))
        got(stream)
    assert len(stream.types[ENDPOINTS].open) <= OUT


def test_versions_grow_over_a_restart_and_what_did_not_change_keeps_its_own() -> None:
    one = Snapshots()
    first = one.make(10.0, {CLUSTER: {"a": b"1", "b": b"2"}})
    assert first and one.make(11.0, {CLUSTER: {"a": b"1", "b": b"2"}}) is None
    two = Snapshots(floor=first.version, kept=one.kept)
    again = two.make(3.0, {CLUSTER: {"a": b"1", "b": b"3"}})  # the clock was set back
    assert again and again.version > first.version
    assert again.types[CLUSTER]["a"].tag == first.types[CLUSTER]["a"].tag
    assert again.types[CLUSTER]["b"].version == again.version
    bare = Snapshots().make(12.0, {CLUSTER: {"a": b"1"}})
    assert bare and bare.version > first.version  # without saved state the clock counts on
    drained = two.make(12.0, {ENDPOINTS: {"a": b"1"}}, urgent=True)
    later = two.make(13.0, {ENDPOINTS: {"a": b"2"}})
    assert drained and later and later.urgent == drained.version == drained.urgent


NAMES = ("a", "b", "c")
KINDS = st.sampled_from([CLUSTER, ENDPOINTS])
WANTED = st.sets(st.sampled_from(NAMES), min_size=1)


class Proxies(RuleBasedStateMachine):
    """A proxy written from the protocol's page, a line between, and a service that restarts."""

    @initialize(delta=st.booleans())
    def begin(self, delta: bool) -> None:
        self.delta, self.now, self.saved = delta, 1.0, True
        self.world: dict[str, dict[str, bytes]] = {kind: {} for kind in ORDER}
        self.snapshots, self.serial = Snapshots(), 0
        self.newest: Snapshot | None = None
        self.highest: dict[tuple[str, str], int] = {}  # the newest version that the proxy ever took
        self.has: dict[str, dict[str, Resource]] = {CLUSTER: {}, ENDPOINTS: {}}
        # Names to the type's version at which the proxy refused what it was last told of them.
        self.refused: dict[str, dict[str, int]] = {CLUSTER: {}, ENDPOINTS: {}}
        self.names: dict[str, set[str]] = {CLUSTER: set(), ENDPOINTS: set()}
        self.connect()
        self.update(CLUSTER, {"a": True, "b": True}, False)
        self.update(ENDPOINTS, {"a": True, "b": True}, False)
        for kind in self.names:
            self.subscribe(kind, {"a", "b"})

    def connect(self) -> None:
        self.stream = Stream(self.delta, 10)
        self.to_service: deque[Asked | AskedDelta] = deque()
        self.to_proxy: deque[Response] = deque()
        self.nonces: dict[str, str] = {}
        if self.newest:
            self.stream.offer(self.newest)

    @rule()
    def reconnect(self) -> None:
        """The stream breaks with all that is on its way; the proxy asks anew for what it wants."""
        self.connect()
        for kind, names in self.names.items():
            if names:
                self.subscribe_first(kind)

    def subscribe_first(self, kind: str) -> None:
        names = tuple(sorted(self.names[kind]))
        if self.delta:
            held = {n: r.tag for n, r in self.has[kind].items() if n in names}
            self.to_service.append(AskedDelta(kind, subscribe=names, initial=held))
        else:
            self.to_service.append(Asked(kind, names, version="old"))

    @rule(kind=KINDS, changes=st.dictionaries(st.sampled_from(NAMES), st.booleans()), urgent=st.booleans())
    def update(self, kind: str, changes: dict[str, bool], urgent: bool) -> None:
        for name, there in changes.items():
            self.serial += 1
            if there:
                self.world[kind][name] = b"%d" % self.serial
            else:
                self.world[kind].pop(name, None)
        self.now += 0.01
        if made := self.snapshots.make(self.now, self.world, urgent):
            self.newest = made
            self.stream.offer(made)

    @rule(keep=st.booleans())
    def restart(self, keep: bool) -> None:
        """The service is killed; what it serves is the same, its memory is the state's or none."""
        self.now += 0.01
        floor, kept = (self.snapshots.version, self.snapshots.kept) if keep else (0, None)
        self.snapshots = Snapshots(floor, kept)
        self.newest = self.snapshots.make(self.now, self.world)
        self.reconnect()

    @rule(kind=KINDS, names=WANTED)
    def subscribe(self, kind: str, names: set[str]) -> None:
        before, self.names[kind] = self.names[kind], set(names)
        for name in before - names:
            self.has[kind].pop(name, None)
        if not before:
            self.subscribe_first(kind)
        elif self.delta:
            added, dropped = tuple(names - before), tuple(before - names)
            self.to_service.append(AskedDelta(kind, subscribe=added, unsubscribe=dropped))
        else:
            self.to_service.append(Asked(kind, tuple(names), nonce=self.nonces.get(kind, "")))

    @precondition(lambda self: self.to_service)
    @rule()
    def service_reads(self) -> None:
        self.stream.ask(self.to_service.popleft())

    @rule()
    def service_writes(self) -> None:
        self.now += 0.01
        if response := self.stream.poll(self.now):
            self.to_proxy.append(response)

    @precondition(lambda self: self.to_proxy)
    @rule(refuse=st.booleans())
    def proxy_reads(self, refuse: bool) -> None:
        response = self.to_proxy.popleft()
        kind = response.type_url
        self.nonces[kind] = response.nonce
        wanted = [r for r in response.resources if r.name in self.names[kind]]
        for r in wanted:
            key = (kind, r.name)
            assert r.version >= self.highest.get(key, 0), "older after newer"
            self.highest[key] = r.version
        told = {r.name for r in wanted} | set(response.removed)
        if not self.delta and kind in WHOLE:
            told = set(NAMES)  # of the others it tells that there are none
        if refuse:
            self.refused[kind] |= dict.fromkeys(told, response.version)
        else:
            for name in told:
                self.refused[kind].pop(name, None)
            if not self.delta and kind in WHOLE:
                self.has[kind] = {}
            self.has[kind] |= {r.name: r for r in wanted}
            for name in response.removed:
                self.has[kind].pop(name, None)
        error = "no" if refuse else None
        if self.delta:
            self.to_service.append(AskedDelta(kind, nonce=response.nonce, error=error))
        else:
            self.to_service.append(Asked(kind, tuple(self.names[kind]), nonce=response.nonce, error=error))

    @rule(steps=st.lists(st.sampled_from(["read", "write", "take", "refuse"]), min_size=3, max_size=12))
    def exchange(self, steps: list[str]) -> None:
        """Several steps of the line at once, so that most runs get far into the protocol."""
        for step in steps:
            if step == "read" and self.to_service:
                self.service_reads()
            elif step == "write":
                self.service_writes()
            elif step in ("take", "refuse") and self.to_proxy:
                self.proxy_reads(step == "refuse")

    @rule()
    def settle(self) -> None:
        """Everything that is on its way arrives and is answered."""
        for _ in range(20):
            while self.to_service:
                self.service_reads()
            self.service_writes()
            while self.to_proxy:
                self.proxy_reads(False)

    @invariant()
    def tables_are_bounded(self) -> None:
        if hasattr(self, "stream"):
            for subscription in self.stream.types.values():
                assert len(subscription.open) <= OUT and len(subscription.sent) <= 2 * len(NAMES)

    def teardown(self) -> None:
        """Once nothing more happens, the proxy ends on the newest state but for what it has refused."""
        if not hasattr(self, "stream"):
            return
        for _ in range(200):
            self.now += PATIENCE + 1
            while self.to_service:
                self.service_reads()
            while response := self.stream.poll(self.now):
                self.to_proxy.append(response)
            if not self.to_proxy:
                break
            while self.to_proxy:
                self.proxy_reads(False)
        assert not self.to_proxy and not self.to_service
        if self.newest is None:
            return
        for kind, names in self.names.items():
            newest = self.newest.types[kind]
            for name in names:
                held = self.has[kind].get(name)
                if self.refused[kind].get(name) == self.newest.versions[kind]:
                    continue  # it has said no to the newest, and has what it had
                if name in newest:
                    assert held is not None and held.body == newest[name].body, (kind, name)
                elif self.delta or kind in WHOLE:
                    assert held is None, (kind, name)


Proxies.TestCase.settings = hypothesis_settings(max_examples=250, stateful_step_count=30, deadline=None)
TestProxies = Proxies.TestCase
