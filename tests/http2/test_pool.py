"""Selection of a connection: few connections, none beyond its limit, none that is closing."""

from __future__ import annotations

import subprocess
import sys

from hypothesis import given, settings
from hypothesis import strategies as st

from coralvale.http2.pool import ConnectionLoad, Fallback, choose, idle_connections

LOADS = st.lists(
    st.builds(ConnectionLoad, st.integers(-5, 5), st.integers(0, 6), st.booleans(), st.booleans(), st.none()),
    max_size=5,
)


@settings(derandomize=True, deadline=None)
@given(LOADS, st.integers(1, 4))
def test_a_request_goes_only_to_a_connection_with_room(loads: list[ConnectionLoad], most: int) -> None:
    chosen = choose(loads, most, 4)
    alive = [load for load in loads if not load.closing]
    with_room = [load for load in alive if load.ready and load.free_streams > load.waiting]
    if chosen is Fallback.OPEN:
        assert len(alive) < most and not with_room
        assert all(load.ready or load.waiting >= 4 for load in alive)  # no connecting one could take it
    elif chosen is Fallback.NOT_SENT:
        assert len(alive) >= most and not with_room
    else:
        load = loads[chosen]
        assert not load.closing and (load in with_room or not with_room)
        assert load in with_room or load.waiting < 4


def test_only_idle_connections_are_closed() -> None:
    loads = [
        ConnectionLoad(5, 0, True, idle_since=1.0),
        ConnectionLoad(4, 0, True),
        ConnectionLoad(0, 0, True, closing=True, idle_since=1.0),
    ]
    assert idle_connections(loads, 10.9, 10.0) == [] and idle_connections(loads, 11.0, 10.0) == [0]


def test_a_gateway_without_http2_settings_does_not_import_it() -> None:
    code = (
        "import sys, coralvale.__main__, coralvale.net.node; "
        "sys.exit(any(m.split('.')[0] in ('h2', 'hpack', 'hyperframe') or m.startswith('coralvale.http2') "
        "for m in sys.modules))"
    )
    assert subprocess.run([sys.executable, "-c", code], check=False).returncode == 0
