"""SIGHUP while a gateway starts: kept pending until its handler is installed.

Without a handler SIGHUP ends a process, and imports take longer than the interpreter's own start. This module
imports nothing else of the package.
"""

import signal


def hold_reload_signal() -> None:
    """Blocks SIGHUP; one that arrives from now on is delivered by `release_reload_signal`."""
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})


def release_reload_signal() -> None:
    """Unblocks SIGHUP. To be called once its handler is installed, before threads are started."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
