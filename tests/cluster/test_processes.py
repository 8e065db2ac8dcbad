"""Real gateway processes on loopback: guards against errors between the state machines, which have their own
tests, and the servers that execute their actions."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest
from scenes import cancel_other_tasks, play

from coralvale.cluster import commands
from coralvale.standins.cluster import CTL, EDGE, METRICS, LocalCluster, call, configuration


def net() -> str:
    """An address range for this process, as tests run in parallel."""
    number = os.getpid() % 60000 + 1000
    return f"127.{number >> 8}.{number & 255}"


def run_scene(scene: Callable[[LocalCluster], Awaitable[None]], gateways: int = 4, **more: Any) -> None:
    async def whole(cluster: LocalCluster) -> None:
        try:
            await _found_cluster(cluster, gateways)
            await scene(cluster)
            assert sum(cluster.log(n).count("E202") for n in range(gateways)) == 1  # and no other later
        except BaseException:
            for number in range(gateways):
                print(f"--- gateway-{number}\n{cluster.log(number)[-3000:]}")
            raise
        finally:
            await cancel_other_tasks()

    async def main() -> None:
        await play(await LocalCluster(gateways, 3, net(), "DEBUG", **more).start(), whole)

    asyncio.run(main())


async def _found_cluster(cluster: LocalCluster, gateways: int) -> None:
    """Starts two hosts, and waits until all gateways are ready with a first configuration."""
    await cluster.host("schedule")
    await cluster.host("schedule")
    first = await cluster.send("config.replace", configuration(1, ["schedule"], 0.0), 0)
    assert first and first.status == 200
    for number in range(gateways):
        await cluster.until(lambda number=number: cluster.ready(number))  # type: ignore[misc]
    founded = [n for n in range(gateways) if "E202" in cluster.log(n)]
    assert len(founded) == 1  # exactly one core, whichever gateway started first


def test_a_change_survives_kills_and_a_lost_disk_becomes_a_voter_again() -> None:
    async def scene(cluster: LocalCluster) -> None:
        upsert = {"Tenants": {"second": {"ApiKeys": ["k2"], "RatePerS": 0, "Burst": 0}}}
        change = {"Ver": 5, "Upsert": upsert}
        found = await cluster.send("config.update", change, 1)
        assert found and found.status == 200
        await cluster.kill(0)  # the founder of the core
        again = await cluster.send("config.update", change, 1)  # a retry, as if no answer had come
        assert again and again.status == 200
        other = await cluster.send("config.update", {"Ver": 5, "Remove": {"Tenants": ["second"]}}, 1)
        assert other and other.status in (400, 412)
        for file in (cluster.path / "data-0").iterdir():
            file.unlink()  # the disk is lost: it comes back empty
        await cluster.begin(0)

        async def seated() -> bool:
            found = await call(cluster.ips[0], CTL, "POST", "/rpc?call=gateway.status")
            return found is not None and json.loads(found.body)["replica"] == "voter"

        await cluster.until(seated)
        await cluster.kill(1)
        last = await cluster.send("config.update", {"Ver": 6, "Upsert": upsert}, 5)
        assert last and last.status == 200
        assert (await cluster.read())["Ver"] == 6
        found = await cluster.request(3, "/schedule/read/1", key="k2")
        assert found and found.status == 200

    run_scene(scene)


def test_no_gateway_sends_requests_to_a_host_whose_drain_was_acknowledged() -> None:
    async def scene(cluster: LocalCluster) -> None:
        leaving, staying = cluster.hosts
        leaving.state = "draining"
        await cluster.until(leaving.beat)  # repeats the drain until it is acknowledged

        async def known(n: int) -> bool:
            found = await call(cluster.ips[n], CTL, "POST", "/rpc?call=gateway.status")
            hosts = json.loads(found.body)["hosts"] if found else []
            return any(host["id"] == leaving.id and host["state"] == "draining" for host in hosts)

        for n in range(4):  # no time limit here: a busy machine may be slow; a benchmark checks DrainMs
            await cluster.until(lambda n=n: known(n))  # type: ignore[misc]
        before, served = sum(leaving.ran.values()), 0
        for n in range(200):
            found = await cluster.request(n % 4, "/schedule/book/1", "POST")
            if found and found.status == 200:  # a request may time out on a busy machine
                assert found.body == staying.id.encode()
                served += 1
            if served == 40:
                break
        assert sum(leaving.ran.values()) == before and served == 40

    run_scene(scene)


def test_sigterm_finishes_open_requests_and_ends_in_time() -> None:
    async def scene(cluster: LocalCluster) -> None:
        for host in cluster.hosts:
            host.work = 1.0
        open_requests = [
            asyncio.create_task(cluster.request(3, "/schedule/book/1", "POST")) for _ in range(4)
        ]
        await cluster.until(lambda: sum(host.running for host in cluster.hosts) == 4)
        started_at = time.monotonic()
        ended = asyncio.create_task(cluster.kill(3, signal.SIGTERM))
        await cluster.until(lambda: "E103" in cluster.log(3))
        assert not await cluster.ready(3)
        late = await cluster.request(3, "/schedule/book/1", "POST")
        # Still accepted: the platform checks readiness twice before it sends no more requests.
        assert late and late.status == 200 and late.headers[b"connection"] == b"close"
        answers = await asyncio.gather(*open_requests)
        assert [a.status for a in answers if a] == [200] * 4
        assert await ended == 0 and time.monotonic() - started_at < 6.0

    run_scene(scene)


# Guards against LOST: the end of a long answer that its client was still reading was cut after SIGTERM.
def test_an_answer_that_its_client_still_reads_is_sent_whole_after_sigterm() -> None:
    async def scene(cluster: LocalCluster) -> None:
        for host in cluster.hosts:
            host.padding = bytes(8_000_000)
        reader, writer = await asyncio.open_connection(cluster.ips[3], EDGE, limit=1 << 16)
        writer.write(
            b"GET /schedule/read/1 HTTP/1.1\r\nHost: demo.example\r\nX-Myrtlehatch-Request-Id: 1\r\n"
            b"X-Myrtlehatch-Time-Left: 2000\r\nAuthorization: Bearer demo-key\r\n\r\n"
        )
        assert b" 200 " in await reader.readuntil(b"\r\n\r\n")
        ended = asyncio.create_task(cluster.kill(3, signal.SIGTERM))
        await asyncio.sleep(4.0)  # the host has finished long ago, the gateway holds the rest
        left = 8_000_000 + len(cluster.hosts[0].id)
        while part := await reader.read(1 << 16):
            left -= len(part)
        assert left == 0 and await ended == 0
        writer.close()

    run_scene(scene)


# Guards against LOST: a submission whose last byte came in a gateway's last moments was passed on, and then cut.
def test_submissions_that_end_as_their_gateway_does_are_answered_or_not_run() -> None:
    async def scene(cluster: LocalCluster) -> None:
        for host in cluster.hosts:
            host.work = 0.16
        streams = [await asyncio.open_connection(cluster.ips[3], EDGE) for _ in range(8)]
        for _, writer in streams:
            writer.write(b"POST")  # so that it is not idle when SIGTERM comes
        await asyncio.sleep(0.1)

        async def submit(number: int) -> bytes:
            reader, writer = streams[number]
            await asyncio.sleep(1.5)
            with contextlib.suppress(OSError):
                writer.write(
                    b" /schedule/book/1 HTTP/1.1\r\nHost: demo.example\r\nX-Myrtlehatch-Request-Id: %d\r\n"
                    b"X-Myrtlehatch-Time-Left: 9000\r\nAuthorization: Bearer demo-key\r\n"
                    b"Content-Length: 9\r\n\r\n12345" % number
                )
                await asyncio.sleep(1.2 + 0.19 * number)  # the gateway ends in one of the gaps
                writer.write(b"6789")
                return await reader.read(12)
            return b""

        ended = asyncio.create_task(cluster.kill(3, signal.SIGTERM))
        answers = await asyncio.gather(*(submit(number) for number in range(len(streams))))
        assert await ended == 0
        ran = Counter(id_ for host in cluster.hosts for id_ in host.ran)
        assert (
            ran["0"] == 1 and not ran[str(len(streams) - 1)]
        )  # the gateway ended between the first and the last
        for number, answered in enumerate(answers):
            assert answered[9:] == b"200" if ran[str(number)] else answered[9:] in (b"", b"503"), number
        for _, writer in streams:
            writer.close()

    run_scene(scene)


def test_a_changed_settings_file_is_reloaded_and_an_invalid_one_ignored() -> None:
    async def scene(cluster: LocalCluster) -> None:
        file = cluster.path / "settings-3.yaml"
        good = file.read_text()
        file.write_text("Hostname: [")
        await cluster.until(lambda: "E106" in cluster.log(3))  # noticed without a signal
        file.write_text(good.replace(f"{cluster.ips[0]}:{CTL}", f"{cluster.ips[1]}:{CTL}"))
        cluster.processes[3].send_signal(signal.SIGHUP)
        await cluster.until(lambda: "E105" in cluster.log(3))
        found = await cluster.request(3, "/schedule/read/1")
        assert found and found.status == 200 and await cluster.ready(3)

    run_scene(scene)


def test_sighup_while_a_gateway_starts_does_not_end_it() -> None:
    """Guards against a process that ends by itself: the settings change as it starts, before it has a handler."""

    async def scene(cluster: LocalCluster) -> None:
        await cluster.kill(3)
        logged = cluster.log(3).count("E101")
        await cluster.begin(3)
        process = cluster.processes[3]
        maps = Path(f"/proc/{process.pid}/maps")
        await cluster.until(lambda: process.returncode is not None or "uvloop" in maps.read_text())
        process.send_signal(signal.SIGHUP)  # its imports are under way
        await cluster.until(lambda: process.returncode is not None or cluster.log(3).count("E101") > logged)
        assert process.returncode is None
        await cluster.until(lambda: cluster.ready(3))
        status = Path(f"/proc/{process.pid}/status").read_text().split()
        blocked = int(status[status.index("SigBlk:") + 1], 16)
        assert not blocked >> (signal.SIGHUP - 1) & 1  # later ones are handled

    run_scene(scene)


def test_any_gateway_refuses_invalid_input_and_changes_nothing() -> None:
    async def scene(cluster: LocalCluster) -> None:
        bad = configuration(9, ["schedule"])
        bad["Routes"]["schedule-read"]["Svc"] = "nobody"
        for ip in cluster.ips:
            body = json.dumps(bad).encode()
            replace = "/rpc?call=config.replace"
            found = await call(ip, CTL, "POST", replace, body, X_Myrtlehatch_Base_Version="1")
            assert found and found.status == 400 and b"nobody" in found.body
            cut = await call(ip, CTL, "POST", replace, body[:-9], X_Myrtlehatch_Base_Version="1")
            assert cut and cut.status == 400
            for path in ("/rpc?call=nothing", "/other", "/rpc"):
                assert (await call(ip, CTL, "POST", path)).status == 404  # type: ignore[union-attr]
        assert (await cluster.read())["Ver"] == 1
        tries = (("/schedule/read/1", "no"), ("/nowhere/", "demo-key"), ("/schedule/read", "demo-key"))
        found = [await cluster.request(0, path, key=key) for path, key in tries]
        assert [f.status for f in found if f] == [401, 404, 404]
        ran = [id_ for host in cluster.hosts for id_ in host.ran]
        for n in range(4):
            await cluster.request(n, "/schedule/read/1")
        name = next(id_ for host in cluster.hosts for id_ in host.ran if id_ not in ran)
        await cluster.until(lambda: "answered 200" in "".join(cluster.log(n) for n in range(4)))
        logs = [str(cluster.path / f"log-{n}") for n in range(4)]
        assert commands.main(["explain", name, *logs, "--as-json"]) == 0
        assert commands.main(["explain", "0" * 16, *logs]) == 1

    run_scene(scene)


def test_operators_see_changes_health_verdicts_and_metrics(
    capsys: pytest.CaptureFixture[str],
) -> None:
    async def run_command(*words: str) -> tuple[int, Any]:
        capsys.readouterr()
        code = await asyncio.to_thread(commands.main, list(words))
        told = capsys.readouterr()
        return code, json.loads(told.out) if told.out else told.err

    async def scene(cluster: LocalCluster) -> None:
        at = [f"{ip}:{CTL}" for ip in cluster.ips]
        file = cluster.path / "before.json"
        file.write_text(json.dumps(await cluster.read()))
        change = {"Ver": 4, "Upsert": {"Tenants": {"second": {"ApiKeys": ["k2"]}}}}
        found = await cluster.send("config.update", change, 1)
        assert found and found.status == 200
        assert await run_command("config", "diff", str(file), at[3], "--as-json") == (
            1,
            {"Tenants": {"added": ["second"]}},
        )
        assert (await run_command("config", "diff", at[3], at[3], "--as-json")) == (0, {})

        async def known() -> bool:
            code, steps = await run_command("config", "history", at[1], "--as-json")
            return code == 0 and bool(steps) and steps[-1]["version"] == 4

        await cluster.until(known)
        code, steps = await run_command("config", "history", at[1], "--as-json")
        assert [(s["version"], s["base"], s["whole"]) for s in steps] == [(1, 0, True), (4, 1, False)]
        assert steps[1]["did"] == {"Tenants": {"added": [1, ["second"]]}}
        code, why = await run_command("config", "history", at[3], "--as-json")  # it has no disk
        assert code == 2 and "ask a member of the core" in why

        ill, well = cluster.hosts
        ill.status = 500
        seen: list[Any] = []

        async def found_ill() -> bool:
            for n in range(20):
                await cluster.request(n % 4, "/schedule/book/1", "POST")
            seen[:] = await run_command("health", *at, "--as-json")
            return seen[0] == 1

        await cluster.until(found_ill, 60.0)
        code, copies = seen
        assert code == 1 and copies[ill.id]["at"].keys() == {f"gateway-{n}" for n in range(4)}
        assert any(told["health"] != "well" and told["by"] for told in copies[ill.id]["at"].values())
        assert {told["health"] for told in copies[well.id]["at"].values()} == {"well"}

        page = await call(cluster.ips[2], METRICS, "GET", "/metrics")
        assert page and page.status == 200
        text = page.body.decode()
        assert "myrtlehatch_configuration_version 4.0" in text and "myrtlehatch_core_members 3.0" in text
        assert 'myrtlehatch_hosts{service="schedule",state="up"} 2.0' in text
        # No API keys, and no series per host, as hosts come and go.
        assert "k2" not in text and ill.id not in text
        other = await call(cluster.ips[2], METRICS, "POST", "/metrics")
        assert other and other.status == 404

    run_scene(scene, metrics=True)


def test_bound_requests_are_served_only_in_their_region_and_follow_a_changed_binding(
    capsys: pytest.CaptureFixture[str],
) -> None:
    async def head(ip: str, path: str) -> bytes:
        """The answer to a booking whose body never arrives."""
        reader, writer = await asyncio.open_connection(ip, EDGE)
        lines = f"POST {path} HTTP/1.1\r\nHost: demo.example\r\nX-Myrtlehatch-Request-Id: r\r\n"
        writer.write(f"{lines}Authorization: Bearer demo-key\r\nContent-Length: 9000\r\n\r\n".encode())
        found = await asyncio.wait_for(reader.read(), 20.0)  # the connection is closed after the answer
        writer.close()
        return found

    async def scene(cluster: LocalCluster) -> None:
        coast, delta = (0, 2), (1, 3)
        await cluster.host("schedule", "zone-1")

        async def bound_to(region: str, version: int) -> None:
            service = {"HealthPath": "/healthz", "Region": region}
            change = {"Ver": version, "Upsert": {"Svcs": {"schedule": service}}}
            found = await cluster.send("config.update", change, (await cluster.read())["Ver"])
            assert found and found.status == 200

            async def in_force(n: int) -> bool:
                found = await call(cluster.ips[n], CTL, "POST", "/rpc?call=gateway.status")
                return found is not None and json.loads(found.body)["version"] == version

            for n in range(4):
                await cluster.until(lambda n=n: in_force(n))  # type: ignore[misc]

        for version, region, home, abroad in ((4, "coast", coast, delta), (9, "delta", delta, coast)):
            await bound_to(region, version)
            ran = {host.id: sum(host.ran.values()) for host in cluster.hosts}
            for n in home:
                found = await cluster.request(n, "/schedule/book/secret", "POST")
                assert found and found.status == 200
            for n in abroad:
                for path in ("/schedule/read/secret", "/schedule/book/secret"):
                    found = await cluster.request(n, path)
                    assert found and found.status == 421
                assert (await head(cluster.ips[n], "/schedule/book/secret")).startswith(b"HTTP/1.1 421 ")
            zone = "zone-0" if region == "coast" else "zone-1"
            used = {host.zone for host in cluster.hosts if sum(host.ran.values()) > ran[host.id]}
            assert used == {zone}
        logs = [str(cluster.path / f"log-{n}") for n in range(4)]
        capsys.readouterr()
        at = [f"{ip}:{CTL}" for ip in cluster.ips]
        assert await asyncio.to_thread(commands.main, ["regions", "show", *at, "--as-json"]) == 0
        told = json.loads(capsys.readouterr().out)
        assert told["services"]["schedule"]["gateways"] == ["gateway-1", "gateway-3"]
        assert told["services"]["schedule"]["hosts"] == {"coast": 2, "delta": 1}
        assert told["refused_abroad"]["gateway-0"]["refused"] == {"delta": 3}
        await cluster.until(lambda: "E522 refused 3 requests that are bound to delta" in cluster.log(2))
        assert await asyncio.to_thread(commands.main, ["regions", "audit", *logs, "--as-json"]) == 0
        told = json.loads(capsys.readouterr().out)
        assert told["answers"] == {"schedule": {"coast": 2, "delta": 2}} and not told["outside"]
        everything = "".join(cluster.log(n) for n in range(4))
        assert "secret" not in everything

    run_scene(scene, regions=("coast", "delta"))
