"""The soak's rules on hand-written histories: for each rule one that keeps it and some that break it."""

from __future__ import annotations

from collections.abc import Sequence

import pytest

from coralvale.cluster.soak import checker
from coralvale.cluster.soak import history as h

START: list[h.Event] = [
    h.Began(0.0, 1, 2, {"station": (0.0, 0.0), "hot": (8.0, 8.0)}),
    h.Process(0.1, 0, 1, "start", core=True),
    h.Process(0.1, 1, 1, "start"),
]


def sent(id_: str, at: float, repeatable: bool = True, **more: object) -> h.Sent:
    fields = {"gateway": 0, "life": 1, "connection": 1, "path": "/schedule/read/1", "tenant": "station"}
    return h.Sent(at, id_, repeatable=repeatable, limit=2.5, **{**fields, **more})  # type: ignore[arg-type]


def request(id_: str, at: float, *ran: str, status: int = 200, repeatable: bool = True) -> list[h.Event]:
    """A request that is sent, run at hosts and answered after 0.1 s."""
    runs = [h.Ran(at + 0.02 * n, id_, host, "station") for n, host in enumerate(ran, 1)]
    end = h.Answered(at + 0.1, id_, status, echo=id_ if status == 200 else "")
    return [sent(id_, at, repeatable), h.Written(at + 0.01, id_), *runs, end]


def closed_request(
    id_: str, at: float, closed_at: float, *ran: str, begun: bool = False, limit: float = 2.5
) -> list[h.Event]:
    """A request that is sent and run at hosts; its connection is closed without a whole answer."""
    runs = [h.Ran(at + 0.02, id_, host, "station") for host in ran]
    end = h.Closed(closed_at, id_, begun=begun)
    return [patient(id_, at, limit), h.Written(at + 0.01, id_), *runs, end]


def patient(id_: str, at: float, limit: float = 8.0) -> h.Sent:
    return h.Sent(at, id_, 0, 1, 1, "/schedule/read/1", True, "station", limit)


def failed_request(id_: str, at: float, failed_at: float, host: str) -> list[h.Event]:
    """A request that a host begins to run, and that its gateway answers with a failure of its own."""
    ran = h.Ran(at + 0.02, id_, host, "station")
    return [patient(id_, at), h.Written(at + 0.01, id_), ran, h.Answered(failed_at, id_, 504)]


TERM: list[h.Event] = [h.Process(10.0, 0, 1, "term", True), h.Process(16.0, 0, 1, "exit", True)]


def hot_requests(count: int, seconds: float) -> list[h.Event]:
    """Requests of the tenant with a quota, evenly spread over a time and all served."""
    found: list[h.Event] = []
    for n in range(count):
        at, id_ = 10 + seconds * n / count, f"q{n}"
        found += [sent(id_, at, tenant="hot"), h.Ran(at + 0.01, id_, "i-1", "hot")]
        found += [h.Answered(at + 0.02, id_, 200, id_)]
    return found


def change(number: int, version: int, base: int, status: int = 200, kind: str = "good") -> list[h.Event]:
    at = 10.0 * number
    return [
        h.Change(at, number, version, base, kind, f"d{number}", (f"/v{version}/",)),
        h.ChangeAnswer(at + 0.1, number, status),
    ]


def probe(id_: str, at: float, status: int, gateway: int = 1) -> list[h.Event]:
    ran = [h.Ran(at + 0.01, id_, "i-1", "station")] if status == 200 else []
    asked = sent(id_, at, path="/v2/1", gateway=gateway, proper=False)
    return [asked, *ran, h.Answered(at + 0.02, id_, status, id_ if status == 200 else "")]


def acquire(number: int, owner: str, at: float, fence: int) -> list[h.Event]:
    return [
        h.Called(at, number, "acquire", "lock", owner, hold=2.0),
        h.CallAnswer(at + 0.1, number, 200, fence=fence),
    ]


def release(number: int, owner: str, at: float, fence: int) -> list[h.Event]:
    return [
        h.Called(at, number, "release", "lock", owner, fence),
        h.CallAnswer(at + 0.1, number, 200),
    ]


def renew(number: int, owner: str, at: float, took: float, status: int = 200) -> list[h.Event]:
    return [
        h.Called(at, number, "renew", "lock", owner, 1, 2.0),
        h.CallAnswer(at + took, number, status),
    ]


def number(call: int, at: float, value: int) -> list[h.Event]:
    return [h.Called(at, call, "number", "n"), h.CallAnswer(at + 0.1, call, 200, count=value)]


def put(
    call: int, at: float, value: str, revision: int, status: int = 200, expected: int | None = None
) -> list[h.Event]:
    return [
        h.Called(at, call, "put", "g.k", value=value, expected=expected),
        h.CallAnswer(at + 0.1, call, status, count=revision),
    ]


def get(call: int, at: float, value: str, revision: int, status: int = 200) -> list[h.Event]:
    return [
        h.Called(at, call, "get", "g.k"),
        h.CallAnswer(at + 0.1, call, status, value=value, count=revision),
    ]


def watch(call: int, at: float, after: int, until: int, *reported: tuple[str, int]) -> list[h.Event]:
    events = tuple(("g.k", value, revision) for value, revision in reported)
    return [
        h.Called(at, call, "watch", "g.", after=after),
        h.CallAnswer(at + 0.1, call, 200, count=until, events=events),
    ]


def process(what: str, at: float, code: int = 0) -> h.Event:
    return h.Process(at, 1, 1, what, code=code)


def users(seconds: range, clients: int) -> list[h.Event]:
    """Requests of so many clients to the life that `samples` are of, one a second each."""
    return [
        sent(f"u{n}-{client}", 5.9 + n, gateway=1, connection=client * h.CONNECTIONS_PER_CLIENT)
        for n in seconds
        for client in range(clients)
    ]


def samples(descriptors: Sequence[int], tasks: int = 20, memory: int = 50_000) -> list[h.Event]:
    return [
        h.Sample(6.0 + n, 1, 1, count, memory + memory * n * (tasks == 21), 0.0, tasks)
        for n, count in enumerate(descriptors)
    ]


ACKNOWLEDGED = [h.HostState(10.0, "i-1", "schedule", "acknowledged", 1)]
PUTS = [*put(1, 1, "a", 1), *put(2, 2, "b", 2), *put(3, 3, "c", 3)]
KILLED = [process("kill", 10.2), process("exit", 10.3, -9)]
EXIT_AFTER_TERM = [process("term", 10.2), process("exit", 12.0)]

# Name, events after START, and the rules that they break.
CASES: list[tuple[str, list[h.Event], set[str]]] = [
    ("served", request("a", 1, "i-1"), set()),
    ("answered with success, never run", request("a", 1), {"LOST"}),
    ("repeatable, refused after a run", request("a", 1, "i-1", status=503), set()),
    (
        "not repeatable, refused after a run",
        request("a", 1, "i-1", status=503, repeatable=False),
        {"REFUSED"},
    ),
    ("repeatable, run twice", request("a", 1, "i-1", "i-2"), set()),
    ("not repeatable, run twice", request("a", 1, "i-1", "i-2", repeatable=False), {"TWICE"}),
    ("run, but never sent", [h.Ran(1.0, "x", "i-1", "station")], {"UNASKED"}),
    (
        "run with another body",
        [sent("a", 1), h.Ran(1.1, "a", "i-1", "station", False), h.Answered(1.2, "a", 200, "a")],
        {"UNASKED"},
    ),
    (
        "run as another tenant",
        [sent("a", 1), h.Ran(1.1, "a", "i-1", "hot"), h.Answered(1.2, "a", 200, "a")],
        {"UNASKED"},
    ),
    (
        "answered with the answer to another request",
        [sent("a", 1), h.Ran(1.1, "a", "i-1", "station"), h.Answered(1.2, "a", 200, "b")],
        {"MIXED"},
    ),
    (
        "answered with the body of another request",
        [sent("a", 1), h.Ran(1.1, "a", "i-1", "station"), h.Answered(1.2, "a", 200, "a", False)],
        {"MIXED"},
    ),
    ("answered in time", [sent("a", 1), h.Answered(4.0, "a", 504)], set()),
    ("late", [sent("a", 1), h.Answered(6.0, "a", 504)], {"ENDED"}),
    (
        "answered late because its gateway was frozen",
        [
            sent("a", 1),
            h.Process(1.1, 0, 1, "stop", True),
            h.Process(4.1, 0, 1, "cont", True),
            h.Answered(6.0, "a", 504),
        ],
        set(),
    ),
    (
        "answered late because its gateway waited for a CPU",
        [
            sent("a", 1),
            h.Sample(0.9, 0, 1, 9, 9, 1.0),
            h.Sample(6.1, 0, 1, 9, 9, 4.0),
            h.Answered(6.0, "a", 504),
        ],
        set(),
    ),
    ("no answer at all", [sent("a", 1), h.Silent(19.0, "a")], {"ENDED"}),
    ("closed before it was read", closed_request("a", 10, 10.1), set()),
    ("closed after it was forwarded", closed_request("a", 10, 10.1, "i-1"), {"ENDED"}),
    (
        "closed with a request behind one whose host's link was reset",
        [
            *closed_request("a", 10, 10.3, "i-1", begun=True),
            *closed_request("b", 10.01, 10.3, "i-2"),
            h.Link(10.2, "i-1", "reset"),
        ],
        set(),
    ),
    (
        "closed before any answer, as a host's link was reset",
        [*closed_request("a", 10, 10.3, "i-1"), h.Link(10.2, "i-1", "reset")],
        {"ENDED"},
    ),
    (
        "closed in an answer, as a host's link was silent",
        [*closed_request("a", 10, 10.3, "i-1", begun=True), h.Link(10.2, "i-1", "silent")],
        {"ENDED"},
    ),
    (
        "closed at the end of its process, its host silent",
        [*closed_request("a", 11, 15.5, "i-1", limit=8.0), h.AnswerLost(11.1, "a", "i-1"), *TERM],
        {"ENDED"},
    ),
    (
        "closed in an answer at the end of its process",
        [*closed_request("a", 11, 15.5, "i-1", begun=True, limit=8.0), *TERM],
        set(),
    ),
    (
        "closed in an answer to a late request at the end of its process",
        [*closed_request("a", 13.2, 15.5, "i-1", begun=True, limit=8.0), *TERM],
        {"ENDED"},
    ),
    (
        "closed in an answer before the last sixth of the grace",
        [*closed_request("a", 11, 14.9, "i-1", begun=True, limit=8.0), *TERM],
        {"ENDED"},
    ),
    (
        "failed at the end of its process, its host silent",
        [*failed_request("a", 11, 14.0, "i-1"), h.AnswerLost(11.1, "a", "i-1"), *TERM],
        set(),
    ),
    ("failed in its host's place after SIGTERM", [*failed_request("a", 11, 14.0, "i-1"), *TERM], {"LOST"}),
    ("failed in its host's place in the last sixth", [*failed_request("a", 11, 15.1, "i-1"), *TERM], set()),
    ("failed late in its host's place", [*failed_request("a", 13.1, 15.1, "i-1"), *TERM], {"LOST"}),
    (
        "failed as its host broke off",
        [*failed_request("a", 11, 14.0, "i-1"), h.Link(13.9, "i-1", "reset"), *TERM],
        set(),
    ),
    ("failed in its host's place with no SIGTERM", failed_request("a", 11, 14.0, "i-1"), set()),
    (
        "closed with a request before one whose host's link was reset",
        [
            *closed_request("a", 10, 10.3, "i-1"),
            *closed_request("b", 10.01, 10.3, "i-2"),
            h.Link(10.2, "i-2", "reset"),
        ],
        {"ENDED"},
    ),
    ("closed late without an answer", closed_request("a", 10, 12.0), {"ENDED"}),
    (
        "closed after it was forwarded, by a kill",
        [
            *closed_request("a", 10, 10.3, "i-1"),
            h.Process(10.2, 0, 1, "kill", True),
            h.Process(10.2, 0, 1, "exit", code=-9),
        ],
        set(),
    ),
    (
        "closed after it was forwarded, after SIGTERM",
        [
            *closed_request("a", 10, 10.3, "i-1"),
            h.Process(10.2, 0, 1, "term", True),
            h.Process(12, 0, 1, "exit", True),
        ],
        {"ENDED"},
    ),
    (
        "closed in an answer because the connection to its host was reset",
        [
            *closed_request("a", 10, 10.3, "i-1", begun=True),
            h.Link(10.2, "i-1", "reset"),
            h.Broke(10.2, "a", "i-1"),
        ],
        set(),
    ),
    (
        "closed by its gateway, so that its host could not deliver the answer",
        [*closed_request("a", 10, 10.3, "i-1"), h.Broke(10.3, "a", "i-1")],
        {"ENDED"},
    ),
    ("left", [sent("a", 1), h.Left(1.1, "a"), h.Ran(1.2, "a", "i-1", "station")], set()),
    ("sent to a host within DrainMs", [*ACKNOWLEDGED, *request("a", 12.0, "i-1")], set()),
    ("sent to a host after DrainMs", [*ACKNOWLEDGED, *request("a", 13.0, "i-1")], {"DRAIN"}),
    (
        "sent to a host after DrainMs, by a gateway that was frozen shortly before",
        [*ACKNOWLEDGED, h.Process(12.0, 0, 1, "cont", True), *request("a", 13.0, "i-1")],
        set(),
    ),
    ("requests up to a quota and its tolerance", hot_requests(70, 5.0), set()),
    ("more requests than a quota and its tolerance", hot_requests(75, 5.0), {"QUOTA"}),
    ("two changes in order", [*change(1, 1, 0), *change(2, 2, 1)], set()),
    ("an invalid change is accepted", change(1, 1, 0, kind="bad"), {"CONFIG"}),
    ("two changes on one version", [*change(1, 2, 1), *change(2, 3, 1)], {"CONFIG"}),
    ("one of two changes on one version", [*change(1, 2, 1), *change(2, 3, 1, 412)], set()),
    ("read back", [*change(1, 1, 0), h.ReadBack(12, 11, 1, "d1")], set()),
    ("read back too old", [*change(1, 1, 0), *change(2, 2, 1), h.ReadBack(22, 21, 1, "d1")], {"LOST"}),
    (
        "read back before the next change was accepted",
        [*change(1, 1, 0), *change(2, 2, 1), h.ReadBack(22, 19, 1, "d1")],
        set(),
    ),
    ("read back with another content", [*change(1, 1, 0), h.ReadBack(12, 11, 1, "d9")], {"CONFIG"}),
    ("read back with a refused content", [*change(1, 1, 0, 412), h.ReadBack(12, 11, 1, "d1")], {"CONFIG"}),
    ("no read back at the end", [*change(1, 1, 0), h.Act(50, "last-read", "")], {"LOST"}),
    ("in force soon after", [*change(2, 2, 1), *probe("a", 21.0, 404), *probe("b", 23.0, 200)], set()),
    ("not in force in time", [*change(2, 2, 1), *probe("a", 23.0, 404)], {"CONFIG"}),
    (
        "a served route is no longer served",
        [*change(2, 2, 1), *probe("a", 20.3, 200), *probe("b", 22.0, 404)],
        {"CONFIG"},
    ),
    (
        "a served route is removed by a change",
        [
            *change(2, 2, 1),
            *probe("a", 23.0, 200),
            h.Change(30, 3, 3, 2, "good", "d3", (), ("/v2/",)),
            *probe("b", 30.1, 404),
        ],
        set(),
    ),
    (
        "a lock acquired after its release",
        [*acquire(1, "x", 1, 1), *release(2, "x", 2, 1), *acquire(3, "y", 2.1, 2)],
        set(),
    ),
    ("a lock acquired after it expired", [*acquire(1, "x", 1, 1), *acquire(3, "y", 3.0, 2)], set()),
    ("two holders at once", [*acquire(1, "x", 1, 1), *acquire(2, "y", 2.0, 2)], {"ONE"}),
    (
        "two holders at once, the first by a renewal",
        [*acquire(1, "x", 1, 1), *renew(2, "x", 2.5, 0.1), *acquire(3, "y", 3.5, 2)],
        {"ONE"},
    ),
    (
        "a renewal answered after the hold expired does not extend it",
        [*acquire(1, "x", 1, 1), *renew(2, "x", 2.5, 0.6), *acquire(3, "y", 3.2, 2)],
        set(),
    ),
    (
        "a renewal answered with 409 ends the hold",
        [*acquire(1, "x", 1, 1), *renew(2, "x", 1.5, 0.1, 409), *acquire(3, "y", 2.0, 2)],
        set(),
    ),
    ("a fence that decreases", [*acquire(1, "x", 1, 5), *acquire(2, "y", 4, 4)], {"ONE"}),
    ("one fence issued to two owners", [*acquire(1, "x", 1, 5), *acquire(2, "y", 4, 5)], {"ONE"}),
    ("numbers that increase", [*number(1, 1, 5), *number(2, 2, 9)], set()),
    ("numbers of concurrent calls in any order", [*number(1, 1, 9), *number(2, 1.05, 5)], set()),
    ("a number that decreases", [*number(1, 1, 9), *number(2, 2, 5)], {"ORDER"}),
    ("a number issued twice", [*number(1, 1, 9), *number(2, 1.05, 9)], {"ORDER"}),
    ("puts with increasing revisions", PUTS, set()),
    ("a put that is resent", [*put(1, 1, "a", 0, 0), *put(2, 2, "b", 2), *put(3, 3, "a", 1)], set()),
    ("a put with two revisions", [*put(1, 1, "a", 1), *put(2, 2, "a", 2)], {"MIXED"}),
    ("a revision that decreases", [*put(1, 1, "a", 2), *put(2, 2, "b", 1)], {"ORDER"}),
    (
        "a put that overwrites a later revision than expected",
        [*PUTS, *put(4, 4, "d", 4, expected=2)],
        {"ORDER"},
    ),
    ("a put that expects the newest revision", [*PUTS, *put(4, 4, "d", 4, expected=3)], set()),
    ("a read of the newest", [*PUTS, *get(4, 4, "c", 3)], set()),
    ("a stale read", [*PUTS, *get(4, 4, "b", 2)], {"STALE"}),
    ("a key that is gone", [*PUTS, *get(4, 4, "", 0, 404)], {"STALE"}),
    ("a read of a value that nobody put", [*PUTS, *get(4, 4, "z", 3)], {"MIXED"}),
    ("a read at another revision", [*PUTS, *get(4, 4, "c", 4)], {"MIXED"}),
    (
        "a read of a value whose put was answered 503",
        [*PUTS, *put(4, 4, "d", 0, 503), *get(5, 5, "d", 4)],
        {"REFUSED"},
    ),
    (
        "a read of a value whose put got no definite answer",
        [*PUTS, *put(4, 4, "d", 0, 0), *get(5, 5, "d", 4)],
        set(),
    ),
    ("a watch", [*PUTS, *watch(4, 4, 1, 3, ("b", 2), ("c", 3))], set()),
    ("a watch that skips a put", [*PUTS, *watch(4, 4, 1, 3, ("c", 3))], {"ORDER"}),
    ("a watch whose revisions decrease", [*PUTS, *watch(4, 4, 1, 3, ("c", 3), ("b", 2))], {"ORDER"}),
    (
        "a watch answered 410 within the retention time",
        [*PUTS, *watch(4, 4, 1, 3, ("b", 2), ("c", 3)), h.Called(5, 5, "watch", "g.", after=3)]
        + [h.CallAnswer(5.1, 5, 410)],
        {"LOST"},
    ),
    (
        "a watch answered 410 after the retention time",
        [*PUTS, *watch(4, 4, 1, 3, ("b", 2), ("c", 3)), h.Called(50, 5, "watch", "g.", after=3)]
        + [h.CallAnswer(50.1, 5, 410)],
        set(),
    ),
    ("an exit in time after SIGTERM", EXIT_AFTER_TERM, set()),
    ("a kill", KILLED, set()),
    ("a kill after SIGTERM", [process("term", 10.0), *KILLED], set()),
    ("an exit without a signal", [process("exit", 10.0, 1)], {"END"}),
    ("an exit with code 1 after SIGTERM", [process("term", 10.0), process("exit", 11.0, 1)], {"END"}),
    ("a late exit after SIGTERM", [process("term", 10.0), process("exit", 18.0)], {"END"}),
    (
        "no exit until a kill long after SIGTERM",
        [process("term", 10.0), process("overdue", 19.0), process("kill", 19.0)],
        {"END"},
    ),
    (
        "a late exit because the process was frozen",
        [process("term", 10.0), process("stop", 10.1), process("cont", 13.1), process("exit", 19.0)],
        set(),
    ),
    ("a constant number of descriptors", samples([50] * 30), set()),
    (
        "descriptors of a process that starts slowly",
        [*(h.Sample(6.0 + n, 1, 1, 3, 30_000, 0.0) for n in range(12)), *samples([50] * 30)[12:]],
        set(),
    ),
    ("descriptors that grow", samples(range(50, 350, 10)), {"GROWTH"}),
    (
        "descriptors that grow as clients come",
        [*samples([40] * 12 + [85] * 18), *users(range(12), 2), *users(range(12, 30), 15)],
        set(),
    ),
    (
        "descriptors that grow while clients stay",
        [*samples([40] * 12 + [85] * 18), *users(range(30), 15)],
        {"GROWTH"},
    ),
    ("memory that grows", samples([50] * 30, tasks=21), {"GROWTH"}),
]


@pytest.mark.parametrize(("events", "broken"), [c[1:] for c in CASES], ids=[c[0] for c in CASES])
def test_the_checker_reports_exactly_the_broken_rules(events: list[h.Event], broken: set[str]) -> None:
    found = checker.check([*START, *events])
    assert {violation.rule for violation in found} == broken, found
