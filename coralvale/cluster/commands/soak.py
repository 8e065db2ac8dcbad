"""The command that tests a version and its settings under injected faults."""

from __future__ import annotations

from pathlib import Path

from coralvale.cluster.commands.asking import CommandError


def soak(
    *,
    gateways: int = 5,
    seconds: float = 20.0,
    seeds: int = 1,
    first: int = 1,
    settings: str = "",
    replay: str = "",
    check: str = "",
    folder: str = "soak",
    at_once: int = 1,
    log: str = "INFO",
    plot: bool = False,
    shrink: bool = False,
    as_json: bool = False,
) -> int:
    """Run real gateway processes on loopback under traffic and inject faults: signals, restarts, changes.

    Exit code 0: no rule was broken; 1: a rule was broken; 2: a run could not be carried out.

    :param gateways: how many gateways each run starts with
    :param seconds: how long faults are injected; start-up and shutdown take extra time
    :param seeds: how many seeds are run
    :param first: the first seed
    :param settings: a settings file: its Bounds, Limits, FaultBudget, HeartbeatMs and Guarantees are tested
    :param replay: a schedule (TOML) that is run instead of seeds
    :param check: a history (history.jsonl) that is checked again; nothing is run
    :param folder: where histories, logs and reports are written
    :param at_once: how many runs are carried out in parallel
    :param log: the gateways' log level
    :param plot: plot served, refused and failed requests over time (needs the extra lab)
    :param shrink: re-run a failed schedule with parts left out, and write the smallest one that still fails
    :param as_json: print one JSON object per run
    """
    from importlib.util import find_spec

    from coralvale.cluster.settings import SettingsError
    from coralvale.cluster.soak import main as runs
    from coralvale.cluster.soak import schedule, terms
    from coralvale.cluster.soak.history import HistoryError

    try:
        if check:
            return runs.recheck(Path(check), as_json)
        if gateways < 3 or seconds <= 0 or at_once < 1:
            raise CommandError("soak: --gateways must be at least 3, --seconds above 0, --at-once at least 1")
        for wanted, package in ((shrink, "tomli_w"), (plot, "matplotlib")):
            if wanted and find_spec(package) is None:
                raise CommandError("soak: --shrink and --plot need the extra lab (pip install '.[lab]')")
        schedules = (
            [schedule.load(Path(replay))] if replay else runs.draw_schedules(first, seeds, gateways, seconds)
        )
        found = terms.read(Path(settings)) if settings else terms.Terms()
    except (SettingsError, schedule.ScheduleError, HistoryError, OSError) as error:
        raise CommandError(str(error)) from None
    schedules = [found.fit(one) for one in schedules]
    return runs.play_all(schedules, runs.Options(Path(folder), found, at_once, log, as_json, plot, shrink))
