"""Server health, load shedding and the log of refusals."""

import math
from collections import Counter
from dataclasses import replace

from helpers import READ, Bench, server

from coralvale import interface as api

UNSAFE = replace(READ, repeat=api.Repeat.UNSAFE)


def test_a_server_that_refuses_connections_is_avoided_and_tried_again_later() -> None:
    bench = Bench()
    name, actions = bench.request()
    bad = actions[0].server
    (again,) = bench.done(name, api.Outcome.CONNECT_FAILED)
    bench.done(name, attempt=1)
    for customer in range(10, 14):
        name, actions = bench.request(customer=customer)
        assert actions[0].server == again.server != bad
    bench.wait(9.0)
    servers = {bench.request(customer=c)[1][0].server for c in range(20, 30)}
    assert bad in servers


def test_a_server_that_does_not_answer_is_avoided() -> None:
    bench = Bench()
    _, actions = bench.request()
    silent = actions[0].server
    for customer in range(50):
        bench.wait(0.1)
        name, actions = bench.request(customer=100 + customer)
        if actions[0].server != silent:
            bench.done(name)
    assert actions[0].server != silent


def test_refused_connections_do_not_use_up_the_retry_budget() -> None:
    """Most of the fleet refuses connections: each request still reaches the server that accepts them."""
    servers = tuple(server(f"s{i}") for i in range(3))
    bench = Bench(servers=servers, max_attempts=5)
    served = 0
    for customer in range(60):
        bench.wait(0.05)
        name, actions = bench.request(customer=customer)
        attempt = 0
        while actions and isinstance(actions[0], api.Send):
            if actions[0].server == "s0":
                bench.done(name, attempt=attempt)
                served += 1
                break
            actions = bench.done(name, api.Outcome.CONNECT_FAILED, attempt=attempt)
            attempt += 1
    assert served == 60


def test_errors_of_all_servers_do_not_double_the_load() -> None:
    bench = Bench()
    for customer in range(100):
        name, _ = bench.request(customer=customer)
        for attempt in range(4):
            bench.done(name, api.Outcome.ERROR, attempt=attempt)
    assert sum(isinstance(a, api.Send) for a in bench.seen) <= 100 + 10 + 100 * 0.2 + 1


def loaded(delay: float, out: int) -> Bench:
    """A gateway with two servers whose answers take `delay` while `out` requests stay in flight."""
    bench = Bench()
    held: list[str] = []
    for customer in range(400):
        bench.wait(0.02)
        name, actions = bench.request(customer=customer)
        if isinstance(actions[0], api.Send):
            held.append(name)
        if len(held) > out:
            bench.done(held.pop(0), delay=delay)
    return bench


def test_work_is_refused_early_when_a_queue_has_built_up() -> None:
    bench = loaded(delay=0.9, out=60)
    assert bench.gateway.refusals.counts.get("pressed") or any(
        isinstance(a, api.Log) and "pressed" in a.text for a in bench.seen
    )


def test_slow_answers_with_few_requests_in_flight_are_not_taken_for_a_queue() -> None:
    """A slow dependency: every answer is late, but refusing would not speed it up."""
    bench = loaded(delay=0.9, out=2)
    assert not [a for a in bench.seen if isinstance(a, api.Refuse)]


def test_refusals_are_logged_in_one_line_every_ten_seconds() -> None:
    bench = Bench()
    for _ in range(50):
        bench.request()
    logs = [a.text for a in bench.wait(21.0) if isinstance(a, api.Log)]
    assert logs == ["refused in 10 s: quota 42"]


def test_attempts_at_a_hung_server_are_not_taken_for_a_queue() -> None:
    """A hung server keeps its attempts for long, while the other one has room."""
    bench = Bench(servers=(server("hung"), server("well")), gateways=8)
    held: list[str] = []
    for customer in range(300):
        bench.wait(0.02)
        name, actions = bench.request(customer=customer, expires_at=bench.now + 60.0)
        if isinstance(actions[0], api.Send) and actions[0].server == "well":
            held.append(name)
        if len(held) > 4:
            bench.done(held.pop(0), delay=0.1)
    hung = len(bench.gateway.fleet.hosts["hung"].in_flight)
    assert hung >= 1
    assert all(isinstance(bench.request(customer=c)[1][0], api.Send) for c in range(900, 910))


def test_failed_connects_leave_the_retry_budget_to_other_failures() -> None:
    left = {}
    for outcome in (api.Outcome.CONNECT_FAILED, api.Outcome.ERROR):
        bench = Bench(servers=tuple(server(f"s{i}") for i in range(3)))
        for customer in range(30):
            bench.wait(0.1)
            name, _ = bench.request(customer=customer)
            for attempt in range(3):
                bench.done(name, outcome, attempt=attempt)
        left[outcome] = sum(isinstance(a, api.Send) for a in bench.seen)
    assert left[api.Outcome.CONNECT_FAILED] == 30 * 3  # each server once
    assert left[api.Outcome.ERROR] <= 30 * 1.2 + 1


def test_a_server_is_tried_with_one_request_after_its_pause() -> None:
    bench = Bench(servers=tuple(server(f"s{i}") for i in range(4)))
    name, actions = bench.request()
    bad = actions[0].server
    bench.done(name, api.Outcome.CONNECT_FAILED)
    bench.done(name, attempt=1)
    bench.wait(1.0)
    sends = [bench.request(customer=c)[1][0].server for c in range(10, 22)]
    assert sends.count(bad) == 1


def test_the_saved_retry_budget_is_bounded_by_own_traffic() -> None:
    """Hundreds of gateways with ten saved attempts each would repeat thousands at once."""
    bench = Bench(gateways=300)
    for customer in range(60):
        bench.wait(0.5)
        name, _ = bench.request(customer=customer)
        bench.done(name)
    assert bench.gateway.retries < 2.5


def test_sparse_traffic_of_one_of_many_gateways_is_not_taken_for_a_queue() -> None:
    """Two requests per second, three in flight by chance, at one of 300 gateways: no reason to refuse."""
    bench = Bench(servers=tuple(server(f"s{i}") for i in range(75)), gateways=300)
    for customer in range(40):
        bench.wait(0.5)
        name, _ = bench.request(customer=customer)
        bench.done(name, delay=0.3)
    for customer in range(40, 43):
        _, actions = bench.request(customer=customer)
        assert isinstance(actions[0], api.Send)


def test_servers_get_requests_in_proportion_to_their_size_with_many_gateways() -> None:
    """A gateway with nothing in flight must not send everything to the largest servers."""
    servers = tuple(server(f"s{i}", scale=1.0 + i % 2) for i in range(20))
    sent = {1.0: 0, 2.0: 0}
    for seed in range(150):
        bench = Bench(servers=servers, gateways=150, seed=seed)
        for customer in range(10):
            name, actions = bench.request(customer=customer)
            bench.done(name)
            sent[1.0 + int(actions[0].server[1:]) % 2] += 1
    assert 1.4 < sent[2.0] / sent[1.0] < 2.4


def test_requests_with_less_time_left_than_answers_take_are_refused() -> None:
    bench = loaded(delay=0.9, out=2)
    _, actions = bench.request(customer=9000, expires_at=bench.now + 0.3)
    assert [type(a) for a in actions] == [api.Refuse]
    _, actions = bench.request(customer=9001, expires_at=bench.now + 3.0)
    assert [type(a) for a in actions] == [api.Send]


def test_short_client_timeouts_raise_the_usual_delay_and_are_no_server_failures() -> None:
    bench = Bench()
    before = bench.gateway.delays[0]
    for customer in range(40):
        name, actions = bench.request(customer=customer, expires_at=bench.now + 0.5)
        if isinstance(actions[0], api.Send):
            bench.done(name, api.Outcome.TIMEOUT, delay=0.5, finished=True)
    assert bench.gateway.delays[0] > 1.5 * before
    assert all(h.failures == 0 for h in bench.gateway.fleet.hosts.values())


def test_load_reports_of_wrong_length_or_value_do_no_harm() -> None:
    bench = Bench(report_fields=("queue", "qps"))
    for report in ((), (math.nan,), (math.inf, 1.0), (-5.0, -1.0), (1.0, 2.0, 3.0, 4.0)):
        name, actions = bench.request(customer=len(report) * 10 + bench.serial)
        assert isinstance(actions[0], api.Send)
        bench.done(name, report=report)
    assert all(math.isfinite(h.reported) for h in bench.gateway.fleet.hosts.values())


def test_a_gateway_sends_to_a_small_subset_and_replaces_its_slow_server() -> None:
    """Two requests per second spread over 60 servers would give two answers of each in a minute."""
    bench = Bench(servers=tuple(server(f"s{i}") for i in range(60)), gateways=300)
    name, actions = bench.request()
    bench.done(name)
    slow = next(iter({h.info.id for h in bench.gateway.subset.hosts}))
    for customer in range(100):
        bench.wait(0.5)
        name, actions = bench.request(customer=customer)
        bench.done(name, delay=3.0 if actions[0].server == slow else 0.1)
    assert len(bench.gateway.subset.hosts) == 8
    sends = [a.server for a in bench.seen if isinstance(a, api.Send)]
    assert sends.count(slow) <= 5


def test_a_lost_attempt_does_not_make_its_server_unhealthy() -> None:
    """An overdue attempt that later answers overtook is lost: it must not count as silence of its server."""
    bench = Bench(servers=(server("s0"), server("s1")))
    _, (held, *_) = bench.request(customer=1)
    for customer in range(2, 200, 4):
        names = [bench.request(customer=customer + i)[0] for i in range(4)]
        bench.wait(0.01)
        for name in names:
            bench.done(name, delay=0.01)
    bench.wait(1.0)
    picked = {bench.request(customer=customer)[1][0].server for customer in range(200, 205)}
    assert held.server in picked


def test_a_safe_request_times_out_early_for_a_retry_and_an_unsafe_one_does_not() -> None:
    for cls in (READ, UNSAFE):
        bench = Bench(classes=(cls,))
        for customer in range(200):
            name, _ = bench.request(customer=customer)
            bench.wait(0.01)
            bench.done(name, delay=0.01)
        begun = bench.now
        _, (send, *_) = bench.request(customer=1000, expires_at=begun + 4.0)
        assert (send.until < begun + cls.aim) == (cls is READ)
        assert cls is UNSAFE or send.until > begun + cls.aim / 2  # slow answers may still come


def test_a_gateway_that_has_sent_nothing_yet_does_not_take_the_fleet_for_empty() -> None:
    """After a takeover the delays are those of another process, and the servers are not classified yet."""
    bench = Bench(servers=tuple(server(f"s{i}") for i in range(9)))
    gateway = bench.gateway
    gateway.delays, gateway.base_delays, gateway.mean = (
        [0.24] * len(gateway.delays),
        [0.033] * len(gateway.delays),
        0.24,
    )
    gateway.warm, gateway.classify_at = [], -math.inf
    assert isinstance(bench.request()[1][0], api.Send)


def test_slow_answers_of_cold_servers_are_not_taken_for_an_overloaded_fleet() -> None:
    """Most servers are given back and cold: each answer takes longer in proportion to the lower capacity."""
    bench = Bench(servers=tuple(server(f"s{i}") for i in range(8)))
    for i in range(200):
        bench.wait(0.02)
        name, _ = bench.request(customer=i)
        bench.done(name, delay=0.04)
    for i in range(6):
        bench.feed(api.Maintained(f"s{i}", True))
    bench.wait(3.0)
    for i in range(6):
        bench.feed(api.Maintained(f"s{i}", False))
    refused = 0
    for i in range(200):
        bench.wait(0.02)
        name, actions = bench.request(customer=1000 + i)
        if not isinstance(actions[0], api.Send):
            refused += 1
            continue
        host = bench.gateway.fleet.hosts[actions[0].server]
        bench.done(name, delay=0.04 / host.warmup(bench.gateway.settings, bench.now))
    assert refused == 0
    assert all(usual < 0.06 for usual in bench.gateway.delays)


def test_a_server_given_back_is_as_warm_as_the_list_says_and_else_cold() -> None:
    bench = Bench(servers=(server("told"), server("silent")))
    for name in ("told", "silent"):
        bench.feed(api.Maintained(name, True))
    assert not isinstance(bench.request()[1][0], api.Send)
    bench.wait(1.0)
    bench.feed(api.ServerList(api.ListKind.CHANGES, (server("told", started_at=bench.now),)))
    bench.wait(3.0)
    assert not isinstance(bench.request(customer=5)[1][0], api.Send)
    for name in ("told", "silent", "unknown"):
        bench.feed(api.Maintained(name, False))
    warmth = {n: h.warmup(bench.gateway.settings, bench.now) for n, h in bench.gateway.fleet.hosts.items()}
    assert warmth["silent"] < warmth["told"] < 1


def test_list_changes_keep_the_subset_stable() -> None:
    """A release changes the list many times; each new server in a subset costs a handshake per gateway."""
    servers = [server(f"s{i}") for i in range(60)]
    bench = Bench(servers=tuple(servers), gateways=40)
    bench.done(bench.request()[0])
    new, gone = 0, 0
    for i in range(30):  # half of them are replaced, one after another
        before = {h.info.id for h in bench.gateway.subset.hosts}
        bench.feed(api.ServerList(api.ListKind.CHANGES, (server(f"s{i}", state=api.ServerState.GONE),)))
        bench.feed(api.ServerList(api.ListKind.CHANGES, (server(f"t{i}"),)))
        bench.done(bench.request(customer=i)[0])
        near = {h.info.id for h in bench.gateway.subset.hosts}
        new, gone = new + len(near - before), gone + (f"s{i}" in before)
    assert len(bench.gateway.subset.hosts) == 8
    assert new <= gone + 12  # drawn anew each time: over 200


def test_the_subsets_stay_evenly_drawn_after_list_changes() -> None:
    """Every server is in as many subsets, new ones too: else a zone that returns would stay unused."""
    counts: Counter[str] = Counter()
    for seed in range(400):
        bench = Bench(servers=tuple(server(f"s{i}") for i in range(30)), gateways=40, seed=seed)
        bench.done(bench.request()[0])
        bench.feed(api.ServerList(api.ListKind.CHANGES, tuple(server(f"t{i}") for i in range(30))))
        bench.done(bench.request(customer=2)[0])
        counts.update(h.info.id for h in bench.gateway.subset.hosts)
    old, new = (sum(n for name, n in counts.items() if name[0] == letter) for letter in "st")
    assert 0.8 < new / old < 1.25


def test_a_server_that_only_answers_with_errors_is_tried_less_and_less() -> None:
    """Its answers take 3 ms, so that it looks idle: 40 gateways sent seven such servers 378 requests in 11 s."""
    bench = Bench(servers=(server("a"), server("b")), classes=(UNSAFE,))
    errors = 0
    for customer in range(2000):
        bench.wait(0.02)
        name, actions = bench.request(customer=customer)
        (send,) = [a for a in actions if isinstance(a, api.Send)]
        if send.server == "a":
            errors += 1
            bench.done(name, api.Outcome.ERROR, delay=0.003)
        else:
            bench.done(name, delay=0.1)
    assert 4 <= errors <= 16  # in 40 s; with pauses of 2 s at most: 28


def test_a_broken_connection_with_many_requests_counts_as_one_break() -> None:
    for alone, passed_over in ((True, True), (False, False)):
        bench = Bench(servers=(server("s0"),), classes=(UNSAFE,))
        names = [bench.request(customer=customer)[0] for customer in range(6)]
        for number, name in enumerate(names):
            done = api.AttemptDone(
                name, 0, api.Outcome.RESET, 0.1, False, broke=True, alone=alone or not number
            )
            bench.gateway.handle(bench.now, done)
        assert (bench.gateway.fleet.hosts["s0"].retry_at > bench.now) is passed_over
