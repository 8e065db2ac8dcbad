"""Limits of the decision module, and the README's example."""

import re
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent


def test_the_module_keeps_its_limits() -> None:
    lines = (ROOT / "coralvale/logic.py").read_text().splitlines()
    assert sum(bool(line.strip()) for line in lines) <= 400
    assert max(map(len, lines)) <= 110


def test_the_example_in_the_readme_runs() -> None:
    (example,) = re.findall(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.DOTALL)
    assert "assert" in example
    exec(compile(example, "README.md", "exec"), {})
