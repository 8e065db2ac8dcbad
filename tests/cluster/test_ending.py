"""A process that stops while its disk is writing exits normally, and does not crash during the write."""

from __future__ import annotations

import asyncio
import multiprocessing
from pathlib import Path

from coralvale.cluster.consensus.messages import Entry, Write
from coralvale.cluster.server.core import Core
from coralvale.cluster.server.runtime import Runtime
from coralvale.cluster.settings import parse
from coralvale.net.clock import Clock
from coralvale.standins.cluster import settings

ENTRIES, SIZE = 200, 2000  # of each write: large enough that the close happens during one


def end_while_writing(folder: Path) -> None:
    async def whole() -> None:
        text = settings(0, ["127.0.0.1"], 1, folder, bootstrap=False)
        runtime = Runtime(parse(text), "", Clock(), lambda frames, parcel: None, lambda ip, data: None)
        core = Core(runtime, lambda configuration: None, lambda rows: None)
        await core.open()
        assert core.store
        writes = []
        for number in range(1, 21):
            first = number * ENTRIES
            entries = tuple(Entry(first + n, 1, 1, bytes(SIZE)) for n in range(ENTRIES))
            write = Write(number, 1, "", 0, None, entries)
            writes.append(runtime.loop.run_in_executor(core.disk, core.store.write, [write]))
        await asyncio.sleep(0.02)
        for one in writes:
            one.cancel()
        await core.close()

    asyncio.run(whole())


def test_closing_the_disk_during_a_write_does_not_crash_the_process(tmp_path: Path) -> None:
    for number in range(4):
        folder = tmp_path / str(number)
        process = multiprocessing.get_context("spawn").Process(target=end_while_writing, args=(folder,))
        process.start()
        process.join()
        assert process.exitcode == 0
