"""The parts of an operator's settings file that a soak run uses: bounds, limits, the fault budget."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec
import yaml

from coralvale.cluster.settings import Bounds, SettingsError, parse
from coralvale.cluster.soak.history import Began
from coralvale.cluster.soak.schedule import Schedule

OVERRIDDEN_KEYS = ("Bounds", "Limits", "FaultBudget", "HeartbeatMs", "Guarantees")


class Terms:
    """Settings that replace the soak's own in the settings files of all its gateways."""

    def __init__(self, fields: dict[str, Any] | None = None, bounds: Bounds | None = None) -> None:
        self.fields, self.bounds = fields or {}, bounds

    def fit(self, schedule: Schedule) -> Schedule:
        """The schedule with as many disks as the fault budget needs, and with it as the most lost at once."""
        if "FaultBudget" not in self.fields:
            return schedule
        nodes = int(self.fields["FaultBudget"].get("Nodes", 0))
        disks = max(schedule.disks, 2 * nodes + 1)
        return msgspec.structs.replace(
            schedule, budget=nodes, disks=disks, gateways=max(schedule.gateways, disks)
        )

    def apply_to(self, text: str) -> str:
        """A gateway's settings with these terms. A gateway without a disk (DiskMb 0) stays without one."""
        if not self.fields:
            return text
        settings = yaml.safe_load(text)
        disk = settings["Limits"]["DiskMb"]
        settings.update(self.fields)
        if "Limits" in self.fields and not disk:
            settings["Limits"] = {**self.fields["Limits"], "DiskMb": 0}
        dumped: str = yaml.safe_dump(settings)
        return dumped

    def began_event(
        self, at: float, seed: int, gateways: int, quotas: dict[str, tuple[float, float]]
    ) -> Began:
        """The first event of a run, with the bounds that its rules check."""
        if self.bounds is None:
            return Began(at, seed, gateways, quotas)
        b = self.bounds
        return Began(
            at,
            seed,
            gateways,
            quotas,
            contact=b.ContactMs / 1000,
            drain=b.DrainMs / 1000,
            grace=b.GraceS,
            apply=b.ApplyMs / 1000,
            revert=b.RevertMs / 1000,
            loss=b.LossMs / 1000,
            quota_window=b.QuotaWindowS,
            quota_excess=b.QuotaExcess,
            quota_slack=b.QuotaSlack,
            retain=b.RetainS,
        )


def read(path: Path) -> Terms:
    """The terms of a settings file. Raises SettingsError."""
    try:
        text = path.read_text()
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from None
    parsed = parse(text, str(path))
    raw = yaml.safe_load(text)
    return Terms({name: raw[name] for name in OVERRIDDEN_KEYS if name in raw}, parsed.Bounds)
