"""The YAML file that binds services to regions, for configurations that cannot carry bindings.

Lease: 10          # s without contact to the core, after which no bound request is begun
Bindings:          # regions by patterns of service names; the first match counts
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
    """Content of the file. `Lease`: s."""

    Bindings: dict[str, str] = field(factory=dict)
    Lease: float = LEASE_S


_converter = cattrs.Converter(forbid_extra_keys=True)


def parse(text: str, place: str, zones: Mapping[str, str]) -> Regions:
    """Reads and checks the text of a file. Raises SettingsError with all mistakes found.

    `place`: what errors call the file; `zones`: the settings' regions by zone.
    """
    try:
        loaded: Any = yaml.load(text, Loader=Loader) or {}
        found: Regions = _converter.structure(loaded, Regions)
    except yaml.YAMLError as error:
        raise SettingsError(f"{place}: not YAML: {error}") from None
    except (cattrs.BaseValidationError, ValueError, TypeError) as error:
        lines = (
            cattrs.transform_error(error) if isinstance(error, cattrs.BaseValidationError) else [str(error)]
        )
        raise SettingsError("\n".join(f"{place}: {line}" for line in lines)) from None
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
    """Reads the file; without a path nothing is bound by one. Raises SettingsError."""
    if not path:
        return Regions()
    try:
        return parse(Path(path).read_text(), path, zones)
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from None
