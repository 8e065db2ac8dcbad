"""The account of client memory: who is shed, who is refused, and what no other server can take."""

from __future__ import annotations

from coralvale.net.body_buffer import JOINED_PIECE_BYTES, BodyBuffer
from coralvale.net.header_block import HeaderBlock
from coralvale.net.memory import MemoryAccount, MemoryShare


class Connection:
    """A connection that holds `kept` bytes that cannot be given up, and `sheddable` others."""

    def __init__(self, share: MemoryShare, sheddable: int, kept: int = 0, parses: bool = False) -> None:
        self.share, self.sheddable, self.parses = share, sheddable, parses
        self.was_shed = False
        share.charge(sheddable + kept)

    def sheddable_bytes(self) -> int:
        return self.sheddable

    def may_be_shed(self) -> bool:
        return not self.parses

    def shed(self) -> None:
        self.was_shed = True
        self.share.charge(-self.sheddable)
        self.sheddable = 0


def shares(limit: int, *guaranteed: int) -> list[tuple[MemoryShare, list[Connection]]]:
    """Shares of one account, each with a higher rank than the one before, and lists of their connections."""
    account = MemoryAccount(limit)
    made: list[tuple[MemoryShare, list[Connection]]] = []
    for rank, size in enumerate(guaranteed):
        holders: list[Connection] = []
        made.append((account.share(holders, size, rank), holders))
    return made


def test_the_largest_holder_is_shed_for_another_and_no_more_than_needed() -> None:
    ((share, holders),) = shares(1000, 0)
    holders += [Connection(share, size) for size in (100, 500, 300)]
    holders.append(Connection(share, 0))
    assert share.reserve(holders[3], 200)
    assert [holder.was_shed for holder in holders] == [False, True, False, False]
    assert share.held == share.account.held == 600


def test_the_one_that_asks_is_refused_where_it_holds_most() -> None:
    ((share, holders),) = shares(1000, 0)
    holders += [Connection(share, size) for size in (100, 500, 300)]
    assert not share.reserve(holders[1], 200)
    assert not any(holder.was_shed for holder in holders) and share.held == 900


def test_the_one_that_asks_is_compared_by_what_it_holds_while_it_is_parsed() -> None:
    ((share, holders),) = shares(1000, 0)
    holders += [Connection(share, 300), Connection(share, 600, parses=True)]
    assert not share.reserve(holders[1], 200) and not holders[0].was_shed


def test_a_connection_that_is_parsed_is_passed_over() -> None:
    ((share, holders),) = shares(1000, 0)
    holders += [Connection(share, 300), Connection(share, 600, parses=True), Connection(share, 0)]
    assert share.reserve(holders[2], 200)
    assert holders[0].was_shed and not holders[1].was_shed


def test_what_cannot_be_given_up_is_kept_and_who_asks_refused() -> None:
    ((share, holders),) = shares(1000, 0)
    holders += [Connection(share, 0, kept=950), Connection(share, 0)]
    assert not share.reserve(holders[1], 100) and share.account.refused == 1
    assert share.held == 950


def test_a_server_sheds_those_of_a_lower_rank_first_and_none_of_a_higher_one() -> None:
    (clients, below), (control, above) = shares(1000, 0, 0)
    below += [Connection(clients, 200), Connection(clients, 300)]
    above += [Connection(control, 400), Connection(control, 0)]
    assert control.reserve(above[1], 150)
    assert below[1].was_shed and not below[0].was_shed and not above[0].was_shed
    asks = Connection(clients, 0)
    below.append(asks)
    assert not clients.reserve(asks, 700)
    assert below[0].was_shed and not above[0].was_shed


def test_a_guaranteed_part_is_given_however_much_others_hold() -> None:
    (clients, below), (control, above) = shares(1000, 100, 50)
    above.append(Connection(control, 0, kept=1000))
    below.append(Connection(clients, 0))
    assert clients.reserve(below[0], 100)
    assert not clients.reserve(below[0], 1)
    assert clients.account.held == 1100


def test_header_lines_are_kept_as_they_came_in_about_their_size() -> None:
    block = HeaderBlock()
    lines = [(b"a", b""), (b"X-Time", b"10:20"), (b"x-time", b" c\td"), (b"\xe9", b"\xff\x00")] * 500
    for name, value in lines:
        block.append(name, value)
    assert list(block) == lines == list(block)
    assert block.held_bytes == sum(len(name) + len(value) + 2 for name, value in lines)
    assert block.last(b"x-time") == b" c\td" and block.last(b"b") is None
    block.clear()
    assert list(block) == []


def test_a_body_in_pieces_of_any_size_is_kept_in_few() -> None:
    buffer = BodyBuffer()
    whole = bytes(range(256)) * 2000
    for at in range(0, 300_000, 2):
        buffer.append(whole[at : at + 2])
    buffer.append(whole[300_000:400_000])
    buffer.append(whole[400_000:])
    assert len(buffer.pieces) <= 300_000 // JOINED_PIECE_BYTES + 3
    assert b"".join(buffer.pieces) == whole and buffer.size == len(whole)
    assert len(whole) <= buffer.held_bytes < len(whole) * 1.01
    assert b"".join(buffer.take()) == whole and buffer.size == 0 and not buffer.pieces
