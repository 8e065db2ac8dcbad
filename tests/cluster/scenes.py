"""Plays of a test's scene that leave nothing behind, also where the test fails."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, Protocol, TypeVar


class Stoppable(Protocol):
    """What a scene is played with."""

    async def stop(self) -> None: ...


Stopped = TypeVar("Stopped", bound=Stoppable)


async def cancel_other_tasks() -> None:
    """Cancels all tasks of the loop but the current one, and waits for them."""
    own = asyncio.current_task()
    tasks = [task for task in asyncio.all_tasks() if task is not own]
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def play(made: Stopped, scene: Callable[[Stopped], Awaitable[None]]) -> None:
    """Plays a scene, and closes everything before the loop ends, whatever became of it.

    The errors of tasks that a failed scene left behind count as seen. Otherwise asyncio logs them whenever the
    tasks are collected, which parses source; within pytest's own parse of the failure that is a SystemError in
    Python 3.11, which ends the whole run and names no test.
    """
    started: list[asyncio.Task[Any]] = []

    def start_task(loop: asyncio.AbstractEventLoop, coroutine: Any, **more: Any) -> asyncio.Task[Any]:
        started.append(asyncio.Task(coroutine, loop=loop, **more))
        return started[-1]

    asyncio.get_running_loop().set_task_factory(start_task)
    failed = True
    try:
        await scene(made)
        failed = False
    finally:
        await made.stop()
        if failed:
            for task in started:
                if task.done() and not task.cancelled():
                    task.exception()
