"""Socket operations that the event loop does not offer: binding listeners, and checking for unread data.

The node gets them as an object, so that a simulated network (`coralvale.lab.virtual`) can replace them.
"""

from __future__ import annotations

import fcntl
import select
import socket
import struct
import termios
from collections.abc import Callable
from typing import Any

from coralvale.net.config import Address


def readable(descriptor: int) -> bool:
    """Whether the kernel has an event on the descriptor that the event loop has not reported yet."""
    poll = select.poll()
    poll.register(descriptor, select.POLLIN)
    return bool(poll.poll(0))


class Sockets:
    """The operations on the kernel's sockets."""

    def bind(self, address: Address, shared: bool) -> socket.socket:
        """A socket bound to an address, not listening yet; `shared`: other processes may bind it too."""
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        bound = socket.socket(family, socket.SOCK_STREAM)
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if shared:
            bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        bound.setblocking(False)
        bound.bind(address)
        return bound

    def waiting(self, listener: socket.socket) -> bool:
        """Whether a client is waiting to be accepted."""
        return readable(listener.fileno())

    def unread(self, transport: Any) -> Callable[[], bool]:  # noqa: ANN401
        """Returns a check whether data or EOF has come that the event loop has not reported yet."""
        poll = select.poll()
        poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
        return lambda: bool(poll.poll(0))

    def unacknowledged(self, transport: Any) -> int:  # noqa: ANN401
        """Bytes in the kernel that the peer has not acknowledged; 0 where the kernel does not tell."""
        descriptor = transport.get_extra_info("socket").fileno()
        try:
            answer = fcntl.ioctl(descriptor, termios.TIOCOUTQ, bytes(4))
        except OSError:
            return 0
        return int(struct.unpack("i", answer)[0])

    def closed_by_peer(self, transport: Any) -> bool:  # noqa: ANN401
        """Whether the peer has closed its side of a connection, or reset it."""
        poll = select.poll()
        poll.register(transport.get_extra_info("socket").fileno(), select.POLLRDHUP)
        return bool(poll.poll(0))

    def was_reset(self, transport: Any) -> bool:  # noqa: ANN401
        """Whether a connection was reset: what is not acknowledged by then never will be."""
        poll = select.poll()
        poll.register(transport.get_extra_info("socket").fileno(), 0)  # errors are always reported
        return any(event & select.POLLERR for _, event in poll.poll(0))
