"""Reads an experiment's file: all mistakes at once, each with its place; what varies becomes points.

A path is a dotted key, with a number for the place in a list: `counter.capacity`, `plans.0.rate`.
"""

from __future__ import annotations

import hashlib
import itertools
from typing import Any, get_args, get_origin

import msgspec

from coralvale.lab import measure, policies
from coralvale.lab.model import Experiment, LabError
from coralvale.lab.streams import generator
from coralvale.operator.model import OperatorError
from coralvale.operator.read import read_toml

Data = dict[str, Any]
MOST = 1000  # points of one experiment


def load(path: str, quick: bool = False) -> tuple[Experiment, str]:
    """The file at `path`, and the hash of what it says. Raises LabError with a line for each mistake."""
    try:
        data = read_toml(path)
    except OperatorError as error:
        raise LabError(str(error)) from None
    made = parse(data, path, quick)
    return made, fingerprint(made)


def parse(data: Data, place: str = "experiment", quick: bool = False) -> Experiment:
    """An experiment from a table of TOML; `quick` puts its quick form's values in."""
    mistakes: list[str] = []
    _walk(data, Experiment, "", mistakes)
    if not mistakes:
        if quick:
            for path, value in data.get("quick", {}).items():
                try:
                    put(data, path, value)
                except LabError as error:
                    mistakes.append(f"quick.{error}")
            if not mistakes:
                _walk(data, Experiment, "", mistakes)
        if not mistakes:
            made = msgspec.convert(data, Experiment)
            mistakes += made.mistakes()
            mistakes += _names(made)
            mistakes += _variants(made)
            if not mistakes:
                return made
    raise LabError("\n".join(f"{place}: {mistake}" for mistake in mistakes))


def fingerprint(experiment: Experiment) -> str:
    """Equal for experiments that say the same, whatever their files look like."""
    said = msgspec.json.encode(msgspec.structs.replace(experiment, about="", quick={}), order="sorted")
    return hashlib.sha256(said).hexdigest()[:16]


def _walk(value: Any, kind: Any, path: str, mistakes: list[str]) -> None:  # noqa: ANN401
    """Checks each key by itself, so that one mistake does not hide the next."""
    if get_origin(kind) is not None and type(None) in get_args(kind):
        if value is None:
            return
        kind = next(k for k in get_args(kind) if k is not type(None))
    if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
        if not isinstance(value, dict):
            mistakes.append(f"{path or 'top level'}: expected a table")
            return
        told = {f.encode_name: f for f in msgspec.structs.fields(kind)}
        for key, inner in value.items():
            here = f"{path}.{key}" if path else key
            if key not in told:
                mistakes.append(f"{here}: unknown key; expected one of {', '.join(told)}")
            else:
                _walk(inner, told[key].type, here, mistakes)
        for key, one in told.items():
            if one.required and key not in value:
                mistakes.append(f"{f'{path}.{key}' if path else key}: missing")
        return
    inner_kind = next(iter(get_args(kind)), None) if get_origin(kind) is tuple else None
    if isinstance(inner_kind, type) and issubclass(inner_kind, msgspec.Struct):
        if not isinstance(value, list):
            mistakes.append(f"{path}: expected a list of tables")
            return
        for n, one in enumerate(value):
            _walk(one, inner_kind, f"{path}[{n}]", mistakes)
        return
    try:
        msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        mistakes.append(f"{path}: {str(error).partition(' - at ')[0]}")


def _names(made: Experiment) -> list[str]:
    """Names of policies and figures that nobody knows."""
    told = [
        f"policies[{n}]: {name!r} is no policy; expected one of {', '.join(policies.known())}"
        for n, name in enumerate(made.policies)
        if name not in policies.known()
    ]
    fixed = {f for f in measure.FIGURES if "." not in f and " " not in f} | {"violations"}
    for n, must in enumerate(made.must):
        place = f"must[{n}]"
        if must.figure not in fixed and "." not in must.figure:
            told.append(
                f"{place}.figure: {must.figure!r} is no figure; expected one of {', '.join(sorted(fixed))}"
            )
        if must.policy not in made.policies:
            told.append(f"{place}.policy: {must.policy!r} is not among the policies")
        if must.at_least is None and must.at_most is None:
            told.append(f"{place}: expected at_least or at_most")
    return told


# What varies


def points(experiment: Experiment) -> list[dict[str, float]]:
    """Every combination of a grid, or as many samples of a Latin hypercube (McKay, Beckman, Conover, 1979)."""
    vary = experiment.vary
    if not vary.keys:
        return [{}]
    if vary.how == "grid":
        return [
            dict(zip(vary.keys, values, strict=True)) for values in itertools.product(*vary.keys.values())
        ]
    made: list[dict[str, float]] = [{} for _ in range(vary.samples)]
    for path, (low, high) in vary.keys.items():
        draw = generator(0, f"vary/{path}")
        places = (draw.permutation(vary.samples) + draw.random(vary.samples)) / vary.samples
        for point, place in zip(made, places.tolist(), strict=True):
            point[path] = round(low + (high - low) * place, 6)
    return made


def at(experiment: Experiment, point: dict[str, float]) -> Experiment:
    """The experiment with a point's values in place. Raises LabError for one that makes no sense."""
    if not point:
        return experiment
    data = msgspec.json.decode(msgspec.json.encode(experiment))
    for path, value in point.items():
        put(data, path, value)
    data["vary"] = {}
    return parse(data, "point " + ", ".join(f"{k} = {v:g}" for k, v in point.items()))


def put(data: Data, path: str, value: Any) -> None:  # noqa: ANN401
    """Sets what a path names; whole numbers stay whole. Raises LabError if there is no such place."""
    here: Any = data
    words = path.split(".")
    try:
        for word in words[:-1]:
            here = here[int(word)] if isinstance(here, list) else here.setdefault(word, {})
        last: Any = int(words[-1]) if isinstance(here, list) else words[-1]
        if isinstance(value, float) and value.is_integer():
            value = int(value)
        here[last] = value
    except (ValueError, IndexError, TypeError, AttributeError):
        raise LabError(f"{path}: there is no such place") from None


def _variants(made: Experiment) -> list[str]:
    """Mistakes of [vary], and of the points that it makes."""
    told = []
    for path, values in made.vary.keys.items():
        if not values:
            told.append(f"vary.keys.{path}: expected at least one value")
        if made.vary.how == "latin" and (len(values) != 2 or values[0] >= values[-1]):
            told.append(f"vary.keys.{path}: expected low and high for a Latin hypercube")
    if told:
        return told
    made_points = points(made)
    if len(made_points) > MOST:
        return [f"vary: {len(made_points)} points, expected at most {MOST}"]
    for point in made_points if made.vary.keys else []:
        try:
            at(made, point)
        except LabError as error:
            return [f"vary: {line}" for line in str(error).splitlines()]
    return []
