"""The system's own file of bindings, for configurations that cannot carry them: YAML, checked.

Lease: 10          # s without a word of the core, after which nothing bound is begun
Bindings:          # services, by patterns of their names, in this order
  "booking-*": "litoral"
"""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path
from typing import Any

import cattrs
import yaml
from attrs import field, frozen

from coralvale.cluster.routing.home import LEASE_S
from coralvale.cluster.settings import Loader, SettingsError


@frozen
class Regions:
    Bindings: dict[str, str] = field(factory=dict)
    Lease: float = LEASE_S


_converter = cattrs.Converter(forbid_extra_keys=True)


def parse(text: str, place: str, zones: Mapping[str, str]) -> Regions:
    """Raises SettingsError, which names all mistakes. `zones`: of the settings, with their regions."""
    try:
        raw: Any = yaml.load(text, Loader=Loader) or {}
        found: Regions = _converter.structure(raw, Regions)
    except yaml.YAMLError as error:
        raise SettingsError(f"{place}: not YAML: {error}") from None
    except (cattrs.BaseValidationError, ValueError, TypeError) as error:
        told = (
            cattrs.transform_error(error) if isinstance(error, cattrs.BaseValidationError) else [str(error)]
        )
        raise SettingsError("\n".join(f"{place}: {line}" for line in told)) from None
    wrong = [
        f"Bindings.{pattern}: {region!r} is the region of no zone"
        for pattern, region in found.Bindings.items()
        if region not in zones.values()
    ]
    if not 1 <= found.Lease <= 3600:
        wrong.append(f"Lease: {found.Lease:g}: expected 1 to 3600 s")
    if wrong:
        raise SettingsError("\n".join(f"{place}: {line}" for line in wrong))
    return found


def read(path: str, zones: Mapping[str, str]) -> Regions:
    """Without a path nothing is bound by a file. Raises SettingsError."""
    if not path:
        return Regions()
    try:
        return parse(Path(path).read_text(), path, zones)
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from None
