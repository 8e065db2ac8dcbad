"""Seats as bytes of an entry."""

from __future__ import annotations

import msgspec

from coralvale.cluster.consensus.messages import Seats

_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Seats).decode


def pack_seats(seats: Seats) -> bytes:
    return _encode(seats)


def unpack_seats(body: bytes) -> Seats:
    return _decode(body)
