"""The five rules of the platform in edge cases, each with one gateway."""

from dataclasses import replace

from helpers import PLAN, READ, Bench, full_list, server

from coralvale import interface as api

KEYED = replace(READ, aim=4.0, repeat=api.Repeat.KEYED, group=api.Group.CELL, key_window=2.0)
UNSAFE = replace(READ, repeat=api.Repeat.UNSAFE, key_window=9.0)
CAPPED = replace(PLAN, rate=10.0, burst=40.0, ceiling_rate=4.0, ceiling_burst=8.0)


def only(actions: list[api.Action], kind: type) -> list[api.Action]:
    assert [type(a) for a in actions] == [kind]
    return actions


# Every request gets one final answer


def test_an_expired_request_is_refused_and_not_sent() -> None:
    bench = Bench()
    _, actions = bench.request(expires_at=bench.now)
    only(actions, api.Refuse)


def test_a_request_is_refused_when_no_server_is_known() -> None:
    bench = Bench(servers=())
    only(bench.request()[1], api.Refuse)


def test_a_time_out_at_the_deadline_gets_one_final_answer() -> None:
    bench = Bench(classes=(UNSAFE,))
    name, _ = bench.request()
    bench.now += 4.0
    assert bench.done(name, api.Outcome.TIMEOUT, finished=False) == [api.Fail(name)]
    assert bench.done(name, api.Outcome.TIMEOUT, finished=False) == []


def test_repeated_unknown_and_late_outcomes_are_ignored() -> None:
    bench = Bench()
    name, _ = bench.request()
    bench.done(name)
    assert bench.done(name) == []
    assert bench.done(name, attempt=7) == []
    assert bench.done("never seen") == []
    assert bench.feed(api.Abandoned("never seen")) == []
    assert bench.feed(api.TimerFired(99)) == []
    assert bench.feed(api.CounterReply(5, True, 1.0)) == []
    assert bench.gateway.requests == {}


def test_a_repeated_outcome_does_not_start_another_attempt() -> None:
    bench = Bench(servers=tuple(server(f"s{i}") for i in range(4)))
    name, _ = bench.request()
    only(bench.done(name, api.Outcome.CONNECT_FAILED), api.Send)
    assert bench.done(name, api.Outcome.CONNECT_FAILED) == []
    assert bench.gateway.customers[1].open == 1


def test_nothing_is_sent_for_a_request_whose_client_left() -> None:
    bench = Bench()
    name, _ = bench.request()
    bench.feed(api.Abandoned(name))
    assert bench.done(name, api.Outcome.CONNECT_FAILED) == []


def test_a_broken_stream_is_not_retried() -> None:
    bench = Bench(classes=(replace(READ, streamed=True),))
    name, _ = bench.request()
    bench.feed(api.StreamStarted(name, 0, 0.1))
    assert bench.done(name, api.Outcome.RESET, finished=True) == []


# No request runs twice


def test_an_unsafe_request_that_may_have_run_is_neither_repeated_nor_refused() -> None:
    for outcome in (api.Outcome.ERROR, api.Outcome.RESET, api.Outcome.TIMEOUT, api.Outcome.CANCELLED):
        bench = Bench(classes=(UNSAFE,))
        name, _ = bench.request()
        assert bench.done(name, outcome) == [api.Fail(name)]


def test_an_unsafe_request_that_never_ran_is_retried_elsewhere_at_once() -> None:
    for outcome in (api.Outcome.FULL, api.Outcome.CONNECT_FAILED):
        bench = Bench(classes=(UNSAFE,))
        name, actions = bench.request()
        (again,) = only(bench.done(name, outcome), api.Send)
        assert again.server != actions[0].server


def test_a_keyed_request_that_may_have_run_is_retried_only_in_its_group_and_window() -> None:
    servers = tuple(server(f"s{i}", cell=i % 2) for i in range(8))
    cells = {s.id: s.cell for s in servers}
    bench = Bench(servers=servers, classes=(KEYED,))
    name, actions = bench.request()
    (again,) = only(bench.done(name, api.Outcome.ERROR), api.Send)
    assert cells[again.server] == cells[actions[0].server]
    bench.now += 2.0  # the window is counted from the first attempt that may have run
    assert bench.done(name, api.Outcome.ERROR, attempt=1) == [api.Fail(name)]


def test_a_keyed_request_without_servers_of_its_group_fails_and_is_not_refused() -> None:
    bench = Bench(servers=(server("a", cell=1), server("b", cell=2)), classes=(KEYED,))
    name, _ = bench.request()
    assert bench.done(name, api.Outcome.ERROR) == [api.Fail(name)]


def test_no_second_attempt_is_sent_while_one_is_in_flight() -> None:
    bench = Bench()
    name, _ = bench.request()
    assert [a for a in bench.wait(3.0) if isinstance(a, api.Send | api.Cancel)] == []
    only(bench.done(name, api.Outcome.CANCELLED), api.Refuse)  # past its aim a retry is of no use


# Draining servers get nothing new


def test_a_draining_or_gone_server_gets_nothing_new_at_once() -> None:
    for seed in range(20):
        state = (api.ServerState.DRAINING, api.ServerState.GONE)[seed % 2]
        bench = Bench(seed=seed)
        bench.feed(api.ServerList(api.ListKind.CHANGES, (server("a", state=state),)))
        for _ in range(4):
            name, actions = bench.request()
            assert actions[0].server == "b"
            bench.done(name)


def test_a_server_missing_from_a_full_list_is_gone() -> None:
    for seed in range(20):
        bench = Bench(seed=seed)
        bench.feed(full_list(server("b")))
        assert bench.request()[1][0].server == "b"


def test_a_failed_list_call_keeps_the_list_and_is_retried() -> None:
    bench = Bench(ask_for_list=True)
    assert api.FollowList() in bench.seen
    bench.feed(api.ServerList(api.ListKind.FAILED))
    only(bench.request()[1], api.Send)
    assert api.FollowList() in bench.wait(2.0)


# A cold server is not overloaded


def test_a_cold_server_gets_at_most_its_warm_up_share() -> None:
    bench = Bench(servers=(server("cold", started_at=99.9), server("warm")))
    sent = {"cold": 0, "warm": 0}
    held: list[str] = []
    for i in range(300):  # three seconds at 100 requests per second, four in flight
        bench.wait(0.01)
        name, actions = bench.request(customer=1000 + i)
        sent[actions[0].server] += 1
        held.append(name)
        if len(held) > 4:
            bench.done(held.pop(0), delay=0.04)
    warmup = bench.gateway.fleet.hosts["cold"].warmup(bench.gateway.settings, bench.now)
    assert 0 < sent["cold"] <= 2 * warmup * sent["warm"]


def test_a_server_that_restarts_is_cold_again() -> None:
    bench = Bench(servers=(server("a"),))
    bench.feed(api.ServerList(api.ListKind.CHANGES, (server("a", started_at=bench.now),)))
    sends = [bench.request(customer=i)[1] for i in range(100)]
    assert (
        10 < sum(isinstance(a[0], api.Send) for a in sends) < 45
    )  # a quarter of its capacity counts as sure


def fleet_sends(servers: tuple[api.Server, ...], gateways: int, each: int) -> dict[str, int]:
    """Requests by server that many gateways, each aware of its own only, send within three seconds."""
    sent = dict.fromkeys((s.id for s in servers), 0)
    for seed in range(gateways):
        bench = Bench(servers=servers, gateways=gateways, seed=seed)
        for i in range(each):
            bench.wait(3.0 / each)
            name, actions = bench.request(customer=seed * 100 + i)
            if isinstance(actions[0], api.Send):
                sent[actions[0].server] += 1
                bench.done(name)
    return sent


def test_hundreds_of_gateways_do_not_overload_one_cold_server() -> None:
    servers = (server("cold", started_at=99.9), *(server(f"w{i}") for i in range(19)))
    sent = fleet_sends(servers, gateways=300, each=6)
    even = sum(sent.values()) / 20
    assert 0.15 * even < sent["cold"] < 0.75 * even  # at most 0.48 warm after three seconds


def test_a_fleet_of_cold_servers_gets_at_most_its_warm_up_capacity() -> None:
    servers = tuple(server(f"c{i}", started_at=99.9) for i in range(10))
    sent = fleet_sends(servers, gateways=200, each=6)
    assert 0.2 < sum(sent.values()) / 1200 < 0.55


def test_requests_are_refused_while_the_list_is_empty_and_sent_after_it() -> None:
    bench = Bench(servers=tuple(server(f"s{i}") for i in range(3)))
    held = [bench.request(customer=i)[0] for i in range(3)]
    bench.feed(full_list())
    only(bench.request(customer=8)[1], api.Refuse)
    for name in held:
        only(bench.done(name, api.Outcome.RESET, finished=False), api.Refuse)
    bench.feed(full_list(server("s1")))
    only(bench.request(customer=9)[1], api.Send)


def test_more_entry_gateways_than_gateways_is_no_error() -> None:
    bench = Bench(gateways=2, plans=(CAPPED,))
    bench.wait(60.0)
    only(bench.request(entry_gateways=50)[1], api.Refuse)  # a share of the ceiling under one request
    bench = Bench(gateways=2)
    only(bench.request(entry_gateways=50)[1], api.Send)


# Ceilings are not exceeded


def test_a_fresh_instance_starts_with_an_empty_share_of_the_ceiling() -> None:
    bench = Bench(plans=(CAPPED,))
    only(bench.request()[1], api.Refuse)
    bench.wait(0.25)  # 4 units per second
    only(bench.request()[1], api.Send)
    only(bench.request()[1], api.Refuse)


def test_the_share_of_the_ceiling_never_exceeds_rate_and_burst() -> None:
    bench = Bench(plans=(CAPPED,))
    bench.wait(30.0)
    sent = 0
    for _ in range(200):  # two seconds: at most 8 + 2 x 4 at one of one entry gateways
        bench.wait(0.01)
        name, actions = bench.request()
        sent += isinstance(actions[0], api.Send)
        bench.done(name)
    assert 14 <= sent <= 16


def test_hung_attempts_count_against_the_open_limit() -> None:
    bench = Bench(plans=(replace(PLAN, rate=0.0, burst=0.0, open_limit=2.0),))
    first, _ = bench.request()
    bench.request()
    only(bench.request()[1], api.Refuse)
    bench.feed(api.Abandoned(first))  # the client left, the attempt is still in flight
    only(bench.request()[1], api.Refuse)
    bench.done(first, api.Outcome.TIMEOUT)
    only(bench.request()[1], api.Send)
