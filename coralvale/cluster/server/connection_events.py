"""Log events of clients' connections that end."""

from __future__ import annotations

from coralvale.cluster.events import Event, RequestEvents, log_event
from coralvale.net.endings import ConnectionEnd


def log_connection_end(server: str, end: ConnectionEnd) -> None:
    """Logs the end of a connection: a warning if requests were dropped with it, else only at DEBUG."""
    if end.drops_requests:
        log_event(
            Event.REQUESTS_DROPPED,
            server=server,
            cause=end.cause.value,
            in_hand=end.in_hand,
            names=", ".join(map(str, end.requests)),
            unsent=end.unsent_bytes,
            unread=end.unread,
        )
    elif RequestEvents.enabled:
        log_event(
            Event.CONNECTION_ENDED,
            server=server,
            cause=end.cause.value,
            in_hand=end.in_hand,
            partly=int(end.partly_read),
            unsent=end.unsent_bytes,
            unread=end.unread,
        )
