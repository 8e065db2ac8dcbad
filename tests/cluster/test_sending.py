"""Sending an operator's change until a definite answer comes; `explain` shows one request's log lines."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from coralvale.cluster import commands, sending
from coralvale.cluster.sending import Sent

CHANGE = {"Ver": 7, "Upsert": {"Tenants": {}}}


class Gateways:
    """Gateways with scripted answers, on a clock that `sleep` advances."""

    def __init__(self, *answers: int) -> None:
        self.answers, self.now = list(answers), 0.0
        self.asked: list[tuple[str, str, bytes, str]] = []

    def ask(self, at: str, path: str, body: bytes, **headers: str) -> tuple[int, bytes]:
        self.asked.append((at, path, body, headers["X_Myrtlehatch_Base_Version"]))
        status = self.answers.pop(0) if self.answers else 0
        if not status:
            raise TimeoutError("timed out")
        return status, b"why"

    def sleep(self, seconds: float) -> None:
        self.now += seconds

    def send(self, patience: float = 10.0) -> tuple[Sent, list[str]]:
        lines: list[str] = []
        found = sending.send(
            CHANGE, 3, ["a:1", "b:1"], patience, lines.append, self.ask, lambda: self.now, self.sleep
        )
        return found, lines


def test_without_a_definite_answer_a_change_goes_unchanged_to_another_gateway() -> None:
    gateways = Gateways(503, 0, 429, 200)
    found, lines = gateways.send()
    assert found == Sent(200, "b:1", "why", 4) and len(lines) == 3
    assert [at for at, *_ in gateways.asked] == ["a:1", "b:1", "a:1", "b:1"]
    assert {row[1:] for row in gateways.asked} == {
        ("/rpc?call=config.update", json.dumps(CHANGE).encode(), "3")
    }


@pytest.mark.parametrize("status", [400, 409, 412, 413, 422])
def test_a_refused_change_is_not_sent_again(status: int) -> None:
    gateways = Gateways(status, 200)
    assert gateways.send()[0].status == status and len(gateways.asked) == 1


def test_without_a_definite_answer_sending_ends_at_the_timeout_with_status_0() -> None:
    gateways = Gateways()
    found, _ = gateways.send(5.0)
    assert found.status == 0 and 3 < len(gateways.asked) < 20 and gateways.now < 5.0


def test_a_file_that_is_no_change_is_not_sent(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    file = tmp_path / "c.json"
    for text in ("[]", "{}", '{"Ver": 1}', '{"Ver": "1", "Routes": {}}', "{"):
        file.write_text(text)
        assert commands.main(["config", "send", str(file), "127.0.0.1:1", "--base", "0"]) == 2
        assert str(file) in capsys.readouterr().err
    assert sending.call_of({"Ver": 1, "Routes": {}}) == "config.replace"


def test_explain_does_not_mix_up_requests_whose_ids_begin_alike(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    log = tmp_path / "log"
    log.write_text(
        "10:00:00.000 DEBUG E511 request r-1 on a of b\n"
        "10:00:00.001 DEBUG E511 request r-12 on a of b\n"
        "10:00:00.002 DEBUG E514 request r-1: answered 200 after 2 ms\n"
    )
    assert commands.main(["explain", "r-1", str(log), "--as-json"]) == 0
    assert [row["event"] for row in json.loads(capsys.readouterr().out)] == ["E511", "E514"]
    assert commands.main(["explain", "r-", str(log)]) == 1
