"""The operator's file and the command line: valid input, errors and their messages."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import tomllib
from pathlib import Path

import msgspec
import pytest

from coralvale.operator import (
    Allowance,
    Control,
    Ledger,
    LedgerTls,
    Members,
    MembersTls,
    Operator,
    OperatorError,
    Plans,
    PlanService,
    PlansTls,
    Receiver,
    Syslog,
    read_operator,
)

ROOT = Path(__file__).resolve().parent.parent
OPTIONAL_MODULES = (
    "grpc",
    "google",
    "envoy",
    "msgspec",
    "coralvale.operator",
    "coralvale.allowance",
    "coralvale.attempts",
    "coralvale.authorisation",
    "coralvale.control",
    "coralvale.disk",
    "coralvale.ledger",
    "h11",
    "aiohttp",
    "coralvale.plans",
    "coralvale.standins",
    "coralvale.syslog",
    "coralvale.members",
)


def call(*arguments: str, code: str = "", **env: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, *(["-c", code] if code else ["-m", "coralvale"]), *arguments]
    clean = {k: v for k, v in os.environ.items() if k not in ("LB_CONFIG", "CORALVALE_OPERATOR")}
    return subprocess.run(
        command, cwd=ROOT, env={**clean, **env}, capture_output=True, text=True, timeout=60, check=False
    )


def test_example_file_has_every_key_with_its_default() -> None:
    text = (ROOT / "deploy/operator.example.toml").read_text()
    example = read_operator(str(ROOT / "deploy/operator.example.toml"))
    assert example == Operator(control=Control(service="parana-campus"), allowance=Allowance())
    named = tomllib.loads("\n".join(line.removeprefix("# ") for line in text.splitlines()[3:]))
    keys = {"control": Control, "control.tls": msgspec.inspect.type_info(Control)}
    assert set(named["control"]) == set(keys["control"].__struct_fields__)
    for table in ("limits", "quotas"):
        kind = type(getattr(Control(service="x"), table))
        assert set(named["control"][table]) == set(kind.__struct_fields__)
    for name, table, kind in (
        ("syslog", named["syslog"], Syslog),
        ("receivers", named["syslog"].pop("receivers")[0], Receiver),
        ("tls", named["ledger"].pop("tls"), LedgerTls),
        ("ledger", named["ledger"], Ledger),
        ("tls", named["members"].pop("tls"), MembersTls),
        ("members", named["members"], Members),
        ("tls", named["plans"].pop("tls"), PlansTls),
        ("plans", named["plans"], Plans),
        ("tls", named["plan_service"].pop("tls"), PlansTls),
        ("plan_service", named["plan_service"], PlanService),
    ):
        fields = {
            f.name: f.default for f in msgspec.structs.fields(kind) if f.name not in ("receivers", "tls")
        }
        assert set(table) == set(fields), name
        for key, default in fields.items():
            default = list(default) if isinstance(default, tuple) else default
            assert table[key] == default or default is msgspec.NODEFAULT, key
    assert set(named["control"]["tls"]) == {"certificate", "key", "client_ca"}


@pytest.mark.parametrize(
    ("text", "told"),
    [
        ("[control]\nservice = 'a'\nlisen = 'x'", "control: Object contains unknown field `lisen`"),
        ("[contrl]", "top level: Object contains unknown field `contrl`"),
        ("[control]", "control: Object missing required field `service`"),
        ("[members]\ncluster = 'a'", "members: Object missing required field `keys`"),
        ("[members]\ncluster = 'a'\nkeys = 'k'\nseeds = ['x']", "members.seeds[0]: expected address:port"),
        ("[members]\ncluster = 'a'\nkeys = 'k'\nlisten = '0.0.0.0:1'", "members.listen: 0.0.0.0:1 is off"),
        ("[members]\ncluster = 'a'\nkeys = 'k'\ntimeout_ms = 300", "members.timeout_ms: 300, expected less"),
        ("[http2]\nstreams = 0", "http2.streams: Expected `int` >= 1"),
        ("[http2]\nwithout = 'h3'", "http2.without: Invalid enum value 'h3'"),
        ("[http2]\nstream = 5", "http2: Object contains unknown field `stream`"),
        ("[http2]\n[http2.tls]", 'http2.without: "http1" is for hosts in clear'),
        ("[control]\nservice = 3", "control.service: Expected `str`, got `int`"),
        (
            "[control]\nservice = 'a'\n[control.limits]\nnames = 0",
            "control.limits.names: Expected `int` >= 1",
        ),
        ("[control]\nservice = 'a'\nlisten = 'here'", "control.listen: expected address:port, got 'here'"),
        ("[control]\nservice = 'a'\nlisten = '0.0.0.0:1'", "control.listen: 0.0.0.0:1 is off loopback"),
        ("[plans]\nservice = 'x'", "plans.service: expected address:port"),
        ("[plans]\nservice = 'x:1'\nstrict = true", "plans.strict: needs floor_rate and floor_burst"),
        ("[plan_service]\ndirectory = 'x'\nlisten = '0.0.0.0:1'", "plan_service.listen: 0.0.0.0:1 is off"),
        ("[plan_service]\ndirectory = 'x'\nfloor_rate = 1", "plan_service.floor_burst: expected floor_rate"),
        ("[control\n", "no TOML"),
        ("[syslog]", "syslog: Object missing required field `receivers`"),
        ("[syslog]\nreceivers = []", "syslog.receivers: expected 1 to 8 tables"),
        (
            "[[syslog.receivers]]\nname = 'a'\ntarget = 'x'",
            "syslog.receivers[0].target: expected address:port",
        ),
        (
            "[[syslog.receivers]]\nname = 'a'\ntarget = 'x:1'\nca = 'y'",
            'syslog.receivers[0]: ca, key and server_name are for transport = "tls"',
        ),
        (
            "[[syslog.receivers]]\nname = 'a'\ntarget = 'x:1'\n[[syslog.receivers]]\nname = 'a'\ntarget = 'x:1'",
            "syslog.receivers[1].name: 'a' is there already",
        ),
        ("[[syslog.receivers]]\nname = '../a'\ntarget = 'x:1'", "syslog.receivers[0].name: Expected `str`"),
    ],
)
def test_error_names_file_key_and_expected_value(tmp_path: Path, text: str, told: str) -> None:
    path = tmp_path / "operator.toml"
    path.write_text(text)
    with pytest.raises(OperatorError) as error:
        read_operator(str(path))
    assert str(error.value).startswith(f"{path}: {told}") and "\n" not in str(error.value)


def test_listening_off_loopback_needs_tls_or_insecure(tmp_path: Path) -> None:
    path = tmp_path / "operator.toml"
    head = "[control]\nservice = 'a'\nlisten = '0.0.0.0:1'\n"
    path.write_text(head + "insecure = true")
    assert read_operator(str(path)).control is not None
    path.write_text(head + "[control.tls]\ncertificate = 'c'\nkey = 'k'")
    assert read_operator(str(path)).control is not None
    for loopback in ("127.9.0.1:1", "[::1]:1"):
        path.write_text(f"[control]\nservice = 'a'\nlisten = '{loopback}'")
        assert read_operator(str(path)).control is not None


def test_commands_have_help_and_documented_exit_codes(tmp_path: Path) -> None:
    for words in ([], ["gateway"], ["control"], ["check"], ["demo"]):
        result = call(*words, "--help")
        assert result.returncode == 0 and "usage: coralvale" in result.stdout
    assert call("nonsense").returncode == 2
    bad = tmp_path / "bad.toml"
    bad.write_text("[control]\nservice = 1\n")
    result = call("check", str(bad), "--json")
    assert result.returncode == 2 and not json.loads(result.stdout)["ok"] and result.stderr.count("\n") == 1
    result = call("check", "deploy/operator.example.toml", "--json")
    assert result.returncode == 0 and json.loads(result.stdout)["tables"] == ["control", "allowance"]
    for words in (["control"], ["control", "--operator", str(bad)], ["gateway", "--operator", str(bad)]):
        result = call(*words, LB_CONFIG="nowhere.json")
        assert result.returncode == 2 and result.stderr.count("\n") == 1, result
    result = call(CORALVALE_OPERATOR=str(bad), LB_CONFIG="nowhere.json")  # the command is `gateway`
    assert result.returncode == 2 and "control.service" in result.stderr


def test_gateway_without_an_operators_file_imports_no_subsystem() -> None:
    code = (
        "import sys; sys.argv = ['coralvale']; import coralvale.__main__ as m; m.main();"
        "import coralvale.net.node;"
        f"print(sorted(n for n in sys.modules if n.startswith({OPTIONAL_MODULES!r}) or n == 'coralvale.cli'))"
    )
    result = call(code=code)
    assert "LB_CONFIG is not set" in result.stderr and result.stdout.strip() == "[]"


def test_missing_extra_is_named_in_a_one_line_error() -> None:
    code = (
        "import sys; sys.modules['msgspec'] = None; from coralvale.cli import main;"
        "sys.exit(main(['check', 'deploy/operator.example.toml']))"
    )
    result = call(code=code)
    assert result.returncode == 1 and result.stderr.count("\n") == 1
    assert "needs the package msgspec: pip install '.[operator]'" in result.stderr


def test_demo_serves_and_reports_that_the_drain_was_kept() -> None:
    process = call("demo", "--seconds", "2", "--json")
    assert process.returncode == 0, process.stderr
    result = json.loads(process.stdout)
    assert result["lost"] == 0 and result["late_after_drain"] == 0 and result["gateway_exit"] == 0
    assert result["stations"]["Radio Federal"]["refused"] > 0 < result["served"]
