"""Checks that a version reads the files, settings and state of another one, and the other way round.

    python experiments/rollout/stored_files.py --old FOLDER --new FOLDER

FOLDER is the root of a copy of the repository. A gateway of the old version writes a journal of attempts, a
ledger and a spool of syslog messages; the commands of both versions must print the same of them. A gateway of the
new version goes on with the same directories and delivers what the old one had spooled; the commands of the old
version must read what it adds. One process then takes over from the other under requests, in both directions.
Example settings must give both versions the same answer. Prints one JSON line; the exit code is 1 where a check
failed. Only loopback addresses are used.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT))

from coralvale.standins.clients import Client, request  # noqa: E402
from coralvale.standins.demo import CLASSES, settings  # noqa: E402
from coralvale.standins.discovery import Roster, entry  # noqa: E402
from coralvale.standins.gateways import GatewayProcess, free_port, ready  # noqa: E402
from coralvale.standins.hosts import Host  # noqa: E402

PLANS = [{"name": "team", "per_second": 5000.0, "most_at_once": 5000.0, "excess_cost": 1.0}]
REQUESTS = 60  # from each version
DEADLINE_S = 20.0


class VersionedGateway(GatewayProcess):
    """A gateway process that runs the program of a given folder."""

    def use(self, folder: Path, management: int, temporary: Path) -> None:
        """Sets the folder of the next start, the port for operators and the folder that processes share."""
        self.folder = folder
        self.environment |= {
            "PYTHONPATH": str(folder),
            "LB_MANAGEMENT": f"127.0.0.1:{management}",
            "TMPDIR": str(temporary),
        }

    async def start(self) -> VersionedGateway:
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "coralvale", cwd=self.folder, env=self.environment, stderr=log
            )
        await ready(self.port, self.process)
        return self


class SyslogReceiver:
    """Counts messages framed by octet counting."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.messages: list[bytes] = []

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._read, "127.0.0.1", self.port)

    async def _read(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                length = int(await reader.readuntil(b" "))
                self.messages.append(await reader.readexactly(length))
        except asyncio.IncompleteReadError:
            writer.close()

    def stop(self) -> None:
        self.server.close()


class Checks:
    """The checks of one run by name."""

    def __init__(self) -> None:
        self.count = 0
        self.failed: list[str] = []

    def add(self, name: str, passed: bool, seen: Any = "") -> None:  # noqa: ANN401
        self.count += 1
        if not passed:
            self.failed.append(name)
        print(f"{'passed' if passed else 'FAILED'}  {name} {seen}", file=sys.stderr, flush=True)


async def until(condition: Callable[[], bool]) -> bool:
    """Waits until the condition holds, for a bounded time."""
    deadline = time.monotonic() + DEADLINE_S
    while not condition() and time.monotonic() < deadline:
        await asyncio.sleep(0.05)
    return condition()


async def send(port: int, name: str, cls: str) -> int:
    """The status of one request; 0 where the connection broke."""
    body = b"a bookmark" if cls == CLASSES[1] else b""
    fields = {"Plan": "team", "Cookie": "client=0000000000000101", "Quota_Info": "units=1,spread=1,first=0"}
    try:
        client = Client(*await asyncio.open_connection("127.0.0.1", port))
        method = "POST" if body else "GET"
        answer = await client.ask(request(name, cls, body=body, method=method, X_Timeout="4.000", **fields))
        client.close()
        return answer.status
    except (OSError, asyncio.IncompleteReadError):
        return 0


async def send_many(port: int, prefix: str) -> list[int]:
    return [await send(port, f"{prefix}{n}", CLASSES[n % 2]) for n in range(REQUESTS)]


async def command(folder: Path, *words: str, module: str = "coralvale") -> tuple[int, str]:
    """Exit code and output of a command of the version in that folder."""
    done = await asyncio.to_thread(
        subprocess.run,
        [sys.executable, "-m", module, *words],
        cwd=folder,
        env={**os.environ, "PYTHONPATH": str(folder)},
        capture_output=True,
        text=True,
        check=False,
    )
    return done.returncode, done.stdout + done.stderr


async def check_same_output(
    checks: Checks, old: Path, new: Path, writer: str, commands: list[tuple[str, ...]]
) -> None:
    for words in commands:
        one, other = await command(old, *words), await command(new, *words)
        name = f"written by {writer}: {' '.join(words[:2])}"
        checks.add(
            name, one == other and bool(one[1].strip()), f"exit code {one[0]}, {len(one[1])} characters"
        )


async def check_files(checks: Checks, old: Path, new: Path, folder: Path, roster: Roster) -> None:
    receiver = SyslogReceiver(free_port())
    operator = (
        f'[attempts]\ndirectory = "{folder}/attempts"\n'
        f'[ledger]\ndirectory = "{folder}/ledger"\nperiod_s = 1.0\ngrace_s = 5.0\npatience_s = 8.0\n'
        f'[syslog]\nspool = "{folder}/spool"\n'
        f'[[syslog.receivers]]\nname = "r0"\ntarget = "127.0.0.1:{receiver.port}"\ntransport = "tcp"\n'
    )
    known = roster.known()
    gateway = VersionedGateway(
        folder, "g", {**settings(), "packages": PLANS}, roster.address, "", known, 1, operator
    )
    commands: list[tuple[str, ...]] = [
        ("attempts", "show", "--json", f"{folder}/attempts"),
        ("attempts", "check", "--json", f"{folder}/attempts"),
        ("ledger", "show", "--json", f"{folder}/ledger"),
    ]
    for writer, version in (("old", old), ("new", new), ("old again", old)):
        gateway.use(version, free_port(), folder)
        await gateway.start()
        statuses = await send_many(gateway.port, writer[0] + str(len(writer)))
        checks.add(f"requests to the {writer} version", statuses == [200] * REQUESTS, set(statuses))
        if writer == "new":
            await receiver.start()
            await until(lambda: len(receiver.messages) >= 2 * REQUESTS)
            count = sum(b"[answer@" in message for message in receiver.messages)
            checks.add("the new version delivers what both spooled", count == 2 * REQUESTS, count)
            receiver.stop()
        code = await gateway.end()
        checks.add(f"the {writer} version ends with 0", code == 0, code)
        await check_same_output(checks, old, new, writer, commands)
    faults = [line for line in gateway.said() if "Traceback" in line or "ERROR" in line]
    checks.add("no error in the log", not faults, faults[:3])


async def check_takeover(checks: Checks, old: Path, new: Path, folder: Path, roster: Roster) -> None:
    for name, first, second in (("old to new", old, new), ("new to old", new, old)):
        shared = folder / name.replace(" ", "-")
        shared.mkdir()
        before = VersionedGateway(
            shared, "g", {**settings(), "packages": PLANS}, roster.address, "", roster.known()
        )
        before.use(first, free_port(), shared)
        await before.start()
        statuses = await send_many(before.port, "a")
        after = VersionedGateway(
            shared, "g", {**settings(), "packages": PLANS}, roster.address, "", roster.known()
        )
        after.log = shared / "after.log"
        after.port = before.port
        after.config.write_text(
            json.dumps({**json.loads(after.config.read_text()), "listen": listen(before)})
        )
        after.use(second, free_port(), shared)
        await after.start()
        taken = await until(lambda after=after: any("taken over, with what" in s for s in after.said()))  # type: ignore[misc]
        ended = asyncio.create_task(before.end())
        statuses += await send_many(after.port, "b")
        code = await ended
        line = [s for s in after.said() if "taken over" in s or "cannot take" in s or "no state" in s]
        checks.add(f"takeover from {name}", taken and code == 0, line)
        checks.add(f"requests around it, {name}", statuses == [200] * 2 * REQUESTS, set(statuses))
        await after.end()


def listen(gateway: GatewayProcess) -> str:
    return f"127.0.0.1:{gateway.port}"


async def check_settings(checks: Checks, old: Path, new: Path) -> None:
    for module, words in (
        ("coralvale", ("check", str(old / "deploy" / "operator.example.toml"), "--json")),
        ("coralvale.cluster", ("check", str(old / "deploy" / "cluster.example.yaml"))),
    ):
        one, other = await command(old, *words, module=module), await command(new, *words, module=module)
        checks.add(f"example settings of {module}", one == other and one[0] == 0, one[0])


async def run(old: Path, new: Path) -> Checks:
    checks = Checks()
    hosts = [await Host(f"s-{n}", delay=0.004, slots=64, queue=256).start() for n in range(3)]
    roster = await Roster(*(entry(host.name, host.port, zone="north") for host in hosts)).start()
    with tempfile.TemporaryDirectory(prefix="rollout-") as name:
        await check_settings(checks, old, new)
        await check_files(checks, old, new, Path(name), roster)
        await check_takeover(checks, old, new, Path(name), roster)
    for host in hosts:
        host.stop()
    roster.stop()
    return checks


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--old", type=Path, required=True, help="root of the older copy of the repository")
    parser.add_argument("--new", type=Path, default=ROOT, help="root of the newer copy, by default this one")
    options = parser.parse_args()
    checks = asyncio.run(run(options.old.resolve(), options.new.resolve()))
    print(json.dumps({"checks": checks.count, "failed": checks.failed}))
    return int(bool(checks.failed))


if __name__ == "__main__":
    sys.exit(main())
