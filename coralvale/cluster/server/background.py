"""Runs a long computation in a thread of its own, beside the event loop."""

from __future__ import annotations

import asyncio
import contextlib
import threading
from collections.abc import Callable
from typing import TypeVar

Result = TypeVar("Result")


async def run_in_thread(function: Callable[[], Result]) -> Result:
    """The result of `function`, or its exception.

    The thread is a daemon, unlike those of an executor: a process that ends does not wait for it.
    """
    loop = asyncio.get_running_loop()
    future: asyncio.Future[Result] = loop.create_future()

    def finish(result: Result | None, error: BaseException | None) -> None:
        if future.done():
            return
        if error is not None:
            future.set_exception(error)
        else:
            future.set_result(result)  # type: ignore[arg-type]

    def run() -> None:
        result: Result | None = None
        error: BaseException | None = None
        try:
            result = function()
        except BaseException as raised:  # noqa: BLE001 - it is the waiting task's
            error = raised
        with contextlib.suppress(RuntimeError):  # the loop is closed
            loop.call_soon_threadsafe(finish, result, error)

    threading.Thread(target=run, daemon=True).start()
    return await future
