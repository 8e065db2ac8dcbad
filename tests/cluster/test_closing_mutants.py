"""Each guard of how connections end, taken out: the test that is named for it must fail."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest
import test_connection_endings as endings
import test_shutdown as shutdown

from coralvale.cluster import shutdown as moments
from coralvale.cluster.routing.router import Router
from coralvale.cluster.server.edge import EdgeServer
from coralvale.net import client_connection
from coralvale.net import server as net_server
from coralvale.net.client_connection import ClientConnection
from coralvale.net.closing import Phase
from coralvale.net.endings import EndCause
from coralvale.net.server import Server
from coralvale.net.sockets import Sockets

Patch = pytest.MonkeyPatch
Make = Callable[[Patch], None]
MUTANTS: dict[str, tuple[Make, Callable[..., None], dict[str, Any]]] = {}


def mutant(test: Callable[..., None], **arguments: Any) -> Callable[[Make], Make]:
    """Registers a mutant and the test that must find it, with the arguments of that test's case."""

    def register(make: Make) -> Make:
        name = make.__name__ if make.__name__ not in MUTANTS else f"{make.__name__}, {test.__name__}"
        MUTANTS[name] = make, test, arguments
        return make

    return register


@mutant(endings.test_requests_behind_an_answer_are_answered_after_sigterm, paths=(endings.READ, endings.READ))
def announces_the_next_answer(patch: Patch) -> None:
    """The next answer after SIGTERM is the last one, whatever is behind it."""
    patch.setattr(client_connection, "answer_is_last", lambda phase, draining, *rest: draining)

    def flush(self: ClientConnection) -> None:
        before = len(self.exchanges)
        right(self)
        if self.server.closing and len(self.exchanges) < before and self.phase is not Phase.FINISHING:
            self.finish(EndCause.SHUTDOWN)

    right = ClientConnection.flush
    patch.setattr(ClientConnection, "flush", flush)


@mutant(endings.test_a_request_read_in_part_is_answered_after_sigterm)
def passes_over_a_request_read_in_part(patch: Patch) -> None:
    right = client_connection.answer_is_last
    patch.setattr(
        client_connection,
        "answer_is_last",
        lambda phase, draining, in_hand, partly_read, unread: right(phase, draining, in_hand, False, unread),
    )


@mutant(endings.test_a_request_in_the_kernel_is_answered_after_sigterm)
def passes_over_unread_input(patch: Patch) -> None:
    right = client_connection.answer_is_last
    patch.setattr(
        client_connection,
        "answer_is_last",
        lambda phase, draining, in_hand, partly_read, unread: right(
            phase, draining, in_hand, partly_read, lambda: False
        ),
    )


@mutant(
    endings.test_a_request_written_while_an_answer_is_read_disturbs_no_answer_after_sigterm, announced=True
)
def reads_on_behind_the_last_answer(patch: Patch) -> None:
    patch.setattr(ClientConnection, "_pause_reading", lambda self: None)


@mutant(
    endings.test_a_request_written_while_an_answer_is_read_disturbs_no_answer_after_sigterm, announced=True
)
def closes_with_bytes_unsent(patch: Patch) -> None:
    patch.setattr(client_connection, "may_close", lambda delivery: True)


@mutant(endings.test_an_answer_that_the_kernel_still_holds_counts_as_being_sent)
def passes_over_the_bytes_of_the_kernel(patch: Patch) -> None:
    patch.setattr(Sockets, "unacknowledged", lambda self, transport: 0)


@mutant(
    endings.test_a_gateway_near_its_end_refuses_what_it_reads_and_reads_nothing_behind_requests,
)
def handles_late_requests(patch: Patch) -> None:
    right = EdgeServer.handle_request

    def handle_request(self: EdgeServer, exchange: Any) -> None:
        self.refusing, before = False, self.refusing
        right(self, exchange)
        self.refusing = before

    patch.setattr(EdgeServer, "handle_request", handle_request)


@mutant(
    endings.test_a_gateway_near_its_end_refuses_what_it_reads_and_reads_nothing_behind_requests,
)
def reads_on_near_the_end(patch: Patch) -> None:
    patch.setattr(ClientConnection, "stop_reading", lambda self: None)


@mutant(endings.test_no_answer_is_cut_for_the_number_of_connections_that_end)
def closes_the_oldest_whatever_it_has_received(patch: Patch) -> None:
    def linger(self: Server, connection: ClientConnection) -> None:
        right(self, connection)
        while len(self.lingering) > net_server.MAX_LINGERING:
            oldest, _ = self.lingering.popitem(last=False)
            assert oldest.transport
            oldest.transport.abort()

    right = Server.linger
    patch.setattr(Server, "linger", linger)


@mutant(endings.test_a_steady_reader_of_the_last_answer_is_not_cut_off)
def holds_the_kernels_bytes_against_a_reader(patch: Patch) -> None:
    def finish(self: ClientConnection, cause: EndCause) -> None:
        before = self.taken_bytes
        right(self, cause)
        self.taken_bytes = before

    right = ClientConnection.finish
    patch.setattr(ClientConnection, "finish", finish)


@mutant(endings.test_a_connection_that_its_client_resets_as_it_ends_is_not_waited_for)
def waits_for_connections_that_were_reset(patch: Patch) -> None:
    patch.setattr(Sockets, "was_reset", lambda self, transport: False)


@mutant(endings.test_each_request_of_a_connection_beyond_the_limit_is_refused)
def ends_a_surplus_connection_at_once(patch: Patch) -> None:
    def handle_request(self: EdgeServer, exchange: Any) -> None:
        exchange.reply_and_close(503)

    patch.setattr(EdgeServer, "handle_request", handle_request)


@mutant(endings.test_nothing_is_passed_on_behind_a_request_of_http_1_0)
def handles_requests_behind_the_last_one(patch: Patch) -> None:
    def handle_complete(self: ClientConnection) -> None:
        while self.complete:
            exchange = self.complete.popleft()
            self.exchanges.append(exchange)
            self.server.handle_request(exchange)

    patch.setattr(ClientConnection, "_handle_complete", handle_complete)


@mutant(shutdown.test_each_request_in_hand_is_answered_with_what_is_known_as_its_process_ends)
@mutant(shutdown.test_a_request_read_in_part_is_refused_as_its_process_ends)
def answers_nothing_at_its_end(patch: Patch) -> None:
    patch.setattr(ClientConnection, "answer_unfinished", lambda self: [])


@mutant(shutdown.test_an_answer_that_has_begun_goes_on_as_its_process_ends)
def ends_answers_that_have_begun(patch: Patch) -> None:
    def end_by(self: Router, moment: float, jobs: Any) -> None:
        for job in list(jobs):
            job.own_deadline = job.deadline = moment

    patch.setattr(Router, "end_by", end_by)


@mutant(shutdown.test_what_is_passed_on_as_the_process_ends_is_handed_the_time_that_it_has)
@mutant(shutdown.test_a_silent_try_is_repeated_elsewhere_only_while_an_answer_can_come_before_the_end)
def reckons_by_the_clients_deadline(patch: Patch) -> None:
    patch.setattr(Router, "end_by", lambda self, moment, jobs: None)


@mutant(shutdown.test_a_try_at_a_silent_host_goes_on_where_the_retry_budget_allows_no_other)
def gives_up_tries_that_none_may_follow(patch: Patch) -> None:
    patch.setattr(Router, "may_repeat", lambda self, now, job, was_sent: True)


@mutant(shutdown.test_nothing_is_given_up_before_the_last_sixth_of_the_grace, grace=6.0, late=0.3)
def gives_up_before_the_last_sixth(patch: Patch) -> None:
    patch.setattr(moments, "LAST_SIXTH", 0.5)


@mutant(shutdown.test_a_process_that_handles_sigterm_late_reckons_from_when_it_may_have_come)
def reckons_from_the_handler(patch: Patch) -> None:
    right = shutdown.shutdown_schedule
    patch.setattr(
        shutdown, "shutdown_schedule", lambda earliest, handled, grace: right(handled, handled, grace)
    )


@pytest.mark.parametrize("name", MUTANTS)
def test_each_guard_is_found_missing_by_its_test(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    make, test, arguments = MUTANTS[name]
    make(monkeypatch)
    monkeypatch.setattr(endings, "SCENE_LIMIT_S", 8.0)
    if "monkeypatch" in test.__code__.co_varnames[: test.__code__.co_argcount]:
        arguments = {**arguments, "monkeypatch": monkeypatch}
    with pytest.raises((AssertionError, TimeoutError, OSError, EOFError, KeyError)):
        test(**arguments)
