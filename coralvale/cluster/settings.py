"""The settings file of a gateway, parsed with attrs and cattrs; each error is reported with its place."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Any

import cattrs
import yaml
from attrs import field, frozen

Address = tuple[str, int]
try:
    Loader: Any = yaml.CSafeLoader
except AttributeError:  # a build without the C library
    Loader = yaml.SafeLoader


class SettingsError(ValueError):
    """Invalid settings; the text has one line per error, with its place."""


def parse_address(text: str) -> Address:
    """Parses `ip:port`. Raises ValueError."""
    ip, _, port = text.rpartition(":")
    if not ip or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"{text!r}: expected ip:port")
    return ip, int(port)


@frozen
class Listen:
    """Addresses, `ip:port`, of the servers; no server for an empty one."""

    Edge: str = ""
    Readyz: str = ""
    Ctl: str = ""


@frozen
class MachineLimits:
    """Resources of the machine."""

    CpuFrac: float = 1.0
    Ncpu: int = 1
    MemMb: float = 512.0
    MaxFds: int = 1024
    NicMbps: float = 1000.0
    DiskMb: float = 0.0


@frozen
class FaultBudget:
    """Number of simultaneous failures that must be survived."""

    Nodes: int = 0
    Zones: int = 0
    Regions: int = 0


@frozen
class Bounds:
    """Parameters of the rules; the end of a name is its unit: S for seconds, Ms for milliseconds."""

    SeedStaleS: float = 3.0
    ReuseS: float = 2.0
    ContactMs: float = 3000.0
    AckMs: float = 5000.0
    SyncS: float = 4.0
    DrainMs: float = 2500.0
    GraceS: float = 6.0
    LossMs: float = 200.0
    ApplyMs: float = 2500.0
    RevertMs: float = 250.0
    RetryRatio: float = 0.2
    RetryWindowS: float = 10.0
    RetryExtra: float = 0.0
    QuotaWindowS: float = 5.0
    QuotaExcess: float = 0.1
    QuotaSlack: float = 0.0
    RecoveryS: float = 15.0
    RetainS: float = 20.0


@frozen
class Settings:
    """Settings of one gateway; the names of the fields are the keys of the file."""

    Hostname: str
    Ip: str
    Az: str
    PortRange: list[int]
    Listen: Listen
    Region: str = ""
    Zones: dict[str, str] = field(factory=dict)
    Seeds: list[str] = field(factory=list)
    Bootstrap: bool = False
    Voting: bool = False
    Limits: MachineLimits = field(factory=MachineLimits)
    Datadir: str = ""
    HeartbeatMs: float = 1500.0
    FaultBudget: FaultBudget = field(factory=FaultBudget)
    Bounds: Bounds = field(factory=Bounds)

    @property
    def peers_port(self) -> int:
        return self.PortRange[0]

    @property
    def seeds(self) -> list[str]:
        """IP addresses of the seeds; gateways use the same port on all machines for traffic between them."""
        return [parse_address(seed)[0] for seed in self.Seeds]

    @property
    def holds_state(self) -> bool:
        """Whether this gateway keeps the replicated state on a disk, whose loss counts as a fault."""
        return self.Voting and bool(self.Datadir)


def _bounds(texts: Any) -> dict[str, float]:  # noqa: ANN401
    if isinstance(texts, str):
        texts = texts.split(",")
    known = {a.name for a in Bounds.__attrs_attrs__}
    found: dict[str, float] = {}
    for text in texts or []:
        name, _, value = str(text).strip().partition("=")
        if name in known:
            try:
                found[name] = float(value)
            except ValueError:
                raise SettingsError(f"Bounds: {name}: {value!r} is not a number") from None
    return found


_converter = cattrs.Converter(forbid_extra_keys=False)


def parse(text: str, place: str = "settings") -> Settings:
    """Parses the text of a settings file. Raises SettingsError, which lists all errors.

    `place`: prefix of each error, such as the path of the file.
    """
    try:
        raw = yaml.load(text, Loader=Loader)
    except yaml.YAMLError as error:
        raise SettingsError(f"{place}: not YAML: {error}") from None
    if not isinstance(raw, dict):
        raise SettingsError(f"{place}: expected a mapping of keys to values")
    raw = {**raw, "Bounds": _bounds(raw.get("Bounds"))}
    try:
        settings = _converter.structure(raw, Settings)
        errors = _errors(settings)
    except (cattrs.BaseValidationError, ValueError, TypeError) as error:
        messages = (
            cattrs.transform_error(error) if isinstance(error, cattrs.BaseValidationError) else [str(error)]
        )
        raise SettingsError("\n".join(f"{place}: {line}" for line in messages)) from None
    if errors:
        raise SettingsError("\n".join(f"{place}: {line}" for line in errors))
    return settings


def _errors(settings: Settings) -> list[str]:
    found = []
    if len(settings.PortRange) != 2 or not 0 < settings.PortRange[0] <= settings.PortRange[-1] < 65536:
        found.append(f"PortRange: {settings.PortRange!r}: expected the first and the last port")
    named = [("Listen.Edge", settings.Listen.Edge), ("Listen.Readyz", settings.Listen.Readyz)]
    named += [("Listen.Ctl", settings.Listen.Ctl)]
    named += [(f"Seeds[{i}]", seed) for i, seed in enumerate(settings.Seeds)]
    for name, text in named:
        try:
            if text or name.startswith("Seeds"):
                parse_address(text)
        except ValueError as error:
            found.append(f"{name}: {error}")
    if not settings.Hostname:
        found.append("Hostname: empty")
    if settings.HeartbeatMs <= 0:
        found.append(f"HeartbeatMs: {settings.HeartbeatMs}: expected a value above 0")
    return found


def remarks(text: str) -> list[str]:
    """Warnings about settings that are valid but possibly unintended."""
    raw, settings = yaml.load(text, Loader=Loader), parse(text)
    found = [
        f"{name}: not known, ignored"
        for name in raw
        if name not in {a.name for a in Settings.__attrs_attrs__}
    ]
    if settings.Az not in settings.Zones:
        found.append(f"Az: {settings.Az!r} is not among Zones: no service bound to a region is served")
    elif settings.Zones[settings.Az] != settings.Region:
        region = settings.Zones[settings.Az]
        found.append(
            f"Region: {settings.Region!r}, but Zones says {region!r}: no service bound to a region is served"
        )
    if settings.Datadir and not settings.Voting:
        found.append("Datadir: not used without Voting")
    if settings.Voting and not settings.Datadir:
        found.append("Voting: this gateway keeps no state without a Datadir")
    if not settings.Seeds:
        found.append("Seeds: empty, so this gateway cannot find others")
    return found


def read(path: str | None = None) -> Settings:
    """Reads the settings file `path`, by default the one named by MYRTLEHATCH_CONFIG. Raises SettingsError."""
    path = path or os.environ.get("MYRTLEHATCH_CONFIG", "")
    if not path:
        raise SettingsError("MYRTLEHATCH_CONFIG: not set")
    try:
        return parse(Path(path).read_text(), path)
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from None
