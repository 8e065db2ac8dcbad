"""The configuration file: read once at start, every mistake in it named by a `ConfigError`."""

from __future__ import annotations

import json
import os
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from coralvale import interface as api
from coralvale.adapter import Fields, read_settings, read_value, whole

Address = tuple[str, int]
HostInstance = tuple[str, float, Address]  # a host: its id, when it started, where it listens


class ConfigError(ValueError):
    """The configuration cannot be used; the message is one plain line."""


@dataclass(frozen=True, slots=True)
class Config:
    name: str
    listen: Address
    discovery: Address
    counter: Address | None
    management: Address | None  # where operators call; without it there is no door for them
    seed: int
    sockets: int
    memory: float  # MB
    known: dict[str, Any]
    settings: api.Settings
    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    connect_timeout: float
    conn_idle: float
    most_held: int


def read_address(text: str) -> Address:
    host, colon, port = text.rpartition(":")
    if not (host and colon and port.isdecimal() and int(port) < 65536):
        raise ValueError(f"{text!r} is no address:port")
    return host.strip("[]"), int(port)


def flatten(settings: dict[str, Any]) -> Fields:
    """Nested JSON to the paths of the simulator's wire, so that the adapter's reader serves both."""
    fields: Fields = {}

    def walk(path: str, value: object) -> None:
        if isinstance(value, dict):
            for key, item in value.items():
                walk(f"{path}.{key}" if path else str(key), item)
        elif isinstance(value, list) and any(isinstance(item, dict) for item in value):
            fields[f"{path}.count"] = str(len(value))
            for i, item in enumerate(value):
                walk(f"{path}.{i}", item)
        elif isinstance(value, list):
            fields[path] = ",".join(str(item) for item in value)
        elif isinstance(value, bool):
            fields[path] = "true" if value else "false"
        elif value is not None:
            fields[path] = str(value)

    walk("", settings)
    return fields


def read_config(path: str) -> Config:
    try:
        data = json.loads(Path(path).read_bytes())
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    except ValueError as error:
        raise ConfigError(f"{path}: no JSON: {error}") from None
    try:
        if isinstance(data, dict) and os.environ.get("LB_MANAGEMENT"):
            data.setdefault("management", os.environ["LB_MANAGEMENT"])
        return parse_config(data)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        told = f"{error.args[0]}: missing" if isinstance(error, KeyError) else str(error)
        raise ConfigError(f"{path}: {told}") from None


def parse_config(data: dict[str, Any]) -> Config:
    settings = data["settings"]
    pairs = flatten(settings)

    def names(path: str) -> tuple[str, ...]:
        value = settings.get(path, [])  # as they stand: the wire's commas would split a name that holds one
        return tuple(map(str, value)) if isinstance(value, list) else (str(value),)

    config = Config(
        name=str(data.get("name", "gateway")),
        listen=read_address(data["listen"]),
        discovery=read_address(data["discovery"]),
        counter=read_address(data["counter"]) if data.get("counter") else None,
        management=read_address(data["management"]) if data.get("management") else None,
        seed=int(str(data["seed"]), 16),
        sockets=int(data.get("limits", {}).get("sockets", 1024)),
        memory=float(data.get("limits", {}).get("memory_mb", 192)),
        known=data.get("known") or {},
        settings=read_settings(pairs),
        zones=names("zones"),
        kinds=names("skus"),
        connect_timeout=read_value(pairs, "ceilings.connect_timeout_s", float, 0.25),
        conn_idle=read_value(pairs, "ceilings.conn_idle_s", float, 15.0),
        most_held=read_value(pairs, "ceilings.most_held", whole, 20000),
    )
    if config.sockets < 64:
        raise ValueError(f"limits.sockets: {config.sockets} is under 64")
    for name in ("connect_timeout", "conn_idle", "most_held", "memory"):
        if not getattr(config, name) > 0:
            raise ValueError(f"{name}: {getattr(config, name)} is not above 0")
    return config
