"""Reads the operator's file with msgspec: typed, unknown keys refused, mistakes named by their path."""

from __future__ import annotations

import re
import tomllib
from pathlib import Path
from typing import Any

import msgspec

from coralvale.operator.model import Operator, OperatorError

PATH = re.compile(r" - at `\$\.?(?P<path>[^`]*)`$")


def read_toml(path: str) -> dict[str, Any]:
    """What a file of TOML says. Raises OperatorError, one line: file, what is wrong with it."""
    try:
        return tomllib.loads(Path(path).read_text("utf-8"))
    except OSError as error:
        raise OperatorError(f"{path}: {error.strerror}") from None
    except ValueError as error:  # no TOML, or no UTF-8
        raise OperatorError(f"{path}: no TOML: {error}") from None


def read_operator(path: str) -> Operator:
    """The file at `path`, checked. Raises OperatorError, one line: file, key path, what was expected."""
    data = read_toml(path)
    try:
        read = msgspec.convert(data, Operator)
        read.check()
    except msgspec.ValidationError as error:
        text = str(error)
        place = PATH.search(text)
        where = place["path"] if place else "top level"
        raise OperatorError(f"{path}: {where}: {PATH.sub('', text)}") from None
    except ValueError as error:
        raise OperatorError(f"{path}: {error}") from None
    return read
