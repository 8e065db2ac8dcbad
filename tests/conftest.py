"""Tests that are known to fail, by KNOWN-RED.txt at the root: they run, and their failure fails no run.

A line names one test or case, its cause and its issue, divided by " | ". All are printed at the end. A case that
is not pytest's is named by its file, and marks no test.
"""

from __future__ import annotations

from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent


def known_red() -> dict[str, str]:
    """By test, the causes and the issues. Raises pytest.UsageError naming a line that cannot be read."""
    path = ROOT / "KNOWN-RED.txt"
    lines = path.read_text().splitlines() if path.exists() else []
    found: dict[str, str] = {}
    for number, line in enumerate(lines, 1):
        parts = line.split(" | ")
        if len(parts) != 3 or not (ROOT / parts[0].partition("::")[0]).is_file():
            raise pytest.UsageError(f"{path}:{number}: not 'test | cause | issue' of a file that is there")
        reason = f"{parts[1]} (issue {parts[2]})"
        found[parts[0]] = f"{found[parts[0]]}; {reason}" if parts[0] in found else reason
    return found


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    red = known_red()
    for item in items:
        if reason := red.get(item.nodeid):
            item.add_marker(pytest.mark.xfail(reason=reason, strict=False))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    for name, reason in known_red().items():
        terminalreporter.write_line(f"KNOWN RED: {name}: {reason}")
