"""Limits of the decision module, and the README's example."""

import re
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent


def test_the_module_keeps_its_limits() -> None:
    total = 0
    for name in tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["policy"]:
        lines = (ROOT / name).read_text().splitlines()
        count = sum(bool(line.strip()) for line in lines)
        assert 0 < count <= 400
        assert max(map(len, lines)) <= 110
        total += count
    assert total <= 1200


def test_the_example_in_the_readme_runs() -> None:
    (example,) = re.findall(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.DOTALL)
    assert "assert" in example
    exec(compile(example, "README.md", "exec"), {})
