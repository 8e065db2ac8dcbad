"""Each guard of the memory that clients make a process hold, taken out: the test named for it must fail."""

from __future__ import annotations

from collections.abc import Callable

import pytest
import test_client_memory as clients
import test_memory as account
import test_upstream as upstream

from coralvale.net import client_connection, memory
from coralvale.net.body_buffer import BodyBuffer
from coralvale.net.client_connection import ClientConnection
from coralvale.net.exchange import Exchange
from coralvale.net.header_block import HeaderBlock
from coralvale.net.memory import MemoryShare
from coralvale.net.upstream import Connection

Patch = pytest.MonkeyPatch
Make = Callable[[Patch], None]
MUTANTS: dict[str, tuple[Make, Callable[[], None]]] = {}


def mutant(test: Callable[[], None]) -> Callable[[Make], Make]:
    """Registers a mutant and the test that must find it."""

    def register(make: Make) -> Make:
        MUTANTS[f"{make.__name__}, {test.__name__}"] = make, test
        return make

    return register


@mutant(account.test_what_cannot_be_given_up_is_kept_and_who_asks_refused)
def has_no_limit(patch: Patch) -> None:
    patch.setattr(MemoryShare, "_fits", lambda self, size: True)


@mutant(account.test_a_guaranteed_part_is_given_however_much_others_hold)
def guarantees_nothing(patch: Patch) -> None:
    patch.setattr(MemoryShare, "_fits", lambda self, size: self.account.held + size <= self.account.limit)


@mutant(account.test_the_largest_holder_is_shed_for_another_and_no_more_than_needed)
def sheds_the_smallest(patch: Patch) -> None:
    patch.setattr(
        memory, "sorted", lambda holders, key: sorted(holders, key=lambda h: -key(h)), raising=False
    )


@mutant(account.test_the_largest_holder_is_shed_for_another_and_no_more_than_needed)
def sheds_all(patch: Patch) -> None:
    patch.setattr(memory, "RECLAIM_MARGIN", 1.0)


@mutant(account.test_a_server_sheds_those_of_a_lower_rank_first_and_none_of_a_higher_one)
def knows_no_ranks(patch: Patch) -> None:
    right = memory.MemoryAccount.share
    patch.setattr(
        memory.MemoryAccount,
        "share",
        lambda self, holders, guaranteed, rank: right(self, holders, guaranteed, 0),
    )


@mutant(account.test_a_body_in_pieces_of_any_size_is_kept_in_few)
def keeps_small_pieces(patch: Patch) -> None:
    def append(self: BodyBuffer, piece: bytes) -> None:
        self.size += len(piece)
        self._pieces.append(piece)

    patch.setattr(BodyBuffer, "append", append)


@mutant(clients.test_a_trailer_line_that_does_not_end_is_refused)
@mutant(clients.test_a_chunk_extension_that_does_not_end_is_refused)
def bounds_no_framing(patch: Patch) -> None:
    right = ClientConnection._parse

    def parse(self: ClientConnection, piece: memoryview) -> None:
        self.framing_bytes = -len(piece)
        right(self, piece)

    patch.setattr(ClientConnection, "_parse", parse)


@mutant(clients.test_the_account_holds_what_a_request_holds_and_nothing_after_it)
def charges_nothing(patch: Patch) -> None:
    patch.setattr(Exchange, "hold", lambda self, size: True)


@mutant(clients.test_the_account_holds_what_a_request_holds_and_nothing_after_it)
def gives_nothing_back(patch: Patch) -> None:
    patch.setattr(Exchange, "release", lambda self: None)


@mutant(clients.test_a_request_beyond_the_account_is_refused_with_a_time_to_come_again)
def handles_what_was_refused(patch: Patch) -> None:
    patch.setattr(MemoryShare, "reserve", lambda self, holder, size: True)


@mutant(clients.test_of_pipelined_requests_no_more_than_the_bound_are_taken_and_all_are_answered)
@mutant(clients.test_of_pipelined_requests_with_long_heads_few_are_taken)
@mutant(clients.test_no_request_is_taken_while_answers_are_not_read)
def takes_all_that_comes(patch: Patch) -> None:
    patch.setattr(ClientConnection, "_may_take_more", lambda self: True)


@mutant(clients.test_small_chunks_leave_the_loop_to_others)
def parses_all_at_once(patch: Patch) -> None:
    patch.setattr(client_connection, "PARSED_PER_TURN_BYTES", 1 << 30)


@mutant(clients.test_a_closed_connection_keeps_nothing_until_the_garbage_collection)
def keeps_the_parser(patch: Patch) -> None:
    right = ClientConnection._drop_input

    def drop_input(self: ClientConnection) -> None:
        parser = self.parser
        right(self)
        self.parser = parser

    patch.setattr(ClientConnection, "_drop_input", drop_input)


@mutant(
    lambda: upstream.test_a_stall_of_the_loop_while_connecting_keeps_no_place_among_the_open_connections(1)
)
def forgets_no_late_connection(patch: Patch) -> None:
    def forget(self: Connection) -> None:
        if self.transport is None:
            right(self)

    right = Connection.forget
    patch.setattr(Connection, "forget", forget)


@mutant(clients.test_an_answered_request_keeps_nothing_until_the_garbage_collection)
def keeps_header_lines(patch: Patch) -> None:
    patch.setattr(HeaderBlock, "clear", lambda self: None)


@mutant(clients.test_a_request_that_was_read_within_the_account_is_not_refused_at_its_end)
def checks_a_charge_of_less(patch: Patch) -> None:
    def hold(self: Exchange, size: int) -> bool:
        if not self.connection.server.memory.reserve(self.connection, size - self.held_bytes):
            return False
        self.held_bytes = size
        return True

    patch.setattr(Exchange, "hold", hold)


@mutant(clients.test_input_that_waits_is_charged_as_long_as_it_is_held)
def charges_no_input(patch: Patch) -> None:
    patch.setattr(ClientConnection, "_charge_input", lambda self: None)


@mutant(clients.test_answers_that_are_not_read_are_cut_off_while_the_account_is_full)
def sheds_no_unread_answers(patch: Patch) -> None:
    patch.setattr(ClientConnection, "cut", lambda self, cause: None)


@mutant(lambda: upstream.test_framing_of_an_answer_that_does_not_end_is_given_up(b"0\r\nX-Sum: "))
def bounds_no_framing_of_answers(patch: Patch) -> None:
    patch.setattr(Connection, "_framing_is_too_long", lambda self, data: False)


@pytest.mark.parametrize("name", MUTANTS)
def test_each_guard_is_found_missing_by_its_test(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    make, test = MUTANTS[name]
    make(monkeypatch)
    with pytest.raises((AssertionError, TimeoutError, OSError, EOFError)):
        test()
