"""Checks a recorded history against all rules. It knows only the history, not how it was produced."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator

from coralvale.cluster.soak import (
    rules_configuration,
    rules_coordination,
    rules_processes,
    rules_requests,
)
from coralvale.cluster.soak.history import Event
from coralvale.cluster.soak.timeline import Timeline, Violation

Rule = Callable[[Timeline], Iterator[Violation]]

RULES: tuple[Rule, ...] = (
    rules_requests.answers_match_runs,
    rules_requests.request_runs,
    rules_requests.own_answers,
    rules_requests.request_ends,
    rules_requests.answers_in_place_of_hosts,
    rules_requests.drained_hosts,
    rules_requests.quotas,
    rules_configuration.accepted_changes,
    rules_configuration.configuration_reads,
    rules_configuration.routes_in_force,
    rules_coordination.locks,
    rules_coordination.numbers,
    rules_coordination.revisions,
    rules_coordination.reads,
    rules_coordination.watches,
    rules_processes.process_ends,
    rules_processes.growth,
)


def check(events: Iterable[Event], rules: tuple[Rule, ...] = RULES) -> list[Violation]:
    """All violations, sorted by time."""
    timeline = Timeline(events)
    return sorted((v for rule in rules for v in rule(timeline)), key=lambda v: v.at)


__all__ = ["RULES", "Rule", "Violation", "check"]
