"""Reads the configuration file. A mistake in it raises a `ConfigError` that names it."""

from __future__ import annotations

import json
import os
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from coralvale import interface as api
from coralvale.adapter import Fields, read_settings, read_value, whole

Address = tuple[str, int]
HostInstance = tuple[str, float, Address]  # a run of a host: its id, start time (Unix time, s) and address


class ConfigError(ValueError):
    """The configuration is invalid; the message is one line."""


@dataclass(frozen=True, slots=True)
class Config:
    """A gateway's configuration. Timeouts are in seconds."""

    name: str
    listen: Address
    discovery: Address
    counter: Address | None
    management: Address | None  # of the operators' server; None: there is none
    seed: int
    sockets: int
    memory: float  # MB
    known: dict[str, Any]  # list of hosts to start with
    settings: api.Settings
    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    connect_timeout: float
    conn_idle: float
    most_held: int


def read_address(text: str) -> Address:
    """Parses `host:port` or `[v6]:port`; raises ValueError."""
    host, colon, port = text.rpartition(":")
    if not (host and colon and port.isdecimal() and int(port) < 65536):
        raise ValueError(f"{text!r} is not address:port")
    return host.strip("[]"), int(port)


def flatten(settings: dict[str, Any]) -> Fields:
    """Converts nested JSON to the flat paths of the simulator's messages, so that the adapter reads both."""
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
    """Reads the configuration file; LB_MANAGEMENT gives `management` if the file does not."""
    try:
        data = json.loads(Path(path).read_bytes())
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    except ValueError as error:
        raise ConfigError(f"{path}: invalid JSON: {error}") from None
    try:
        if isinstance(data, dict) and os.environ.get("LB_MANAGEMENT"):
            data.setdefault("management", os.environ["LB_MANAGEMENT"])
        return parse_config(data)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        message = f"{error.args[0]}: missing" if isinstance(error, KeyError) else str(error)
        raise ConfigError(f"{path}: {message}") from None


def parse_config(data: dict[str, Any]) -> Config:
    """Builds a Config from the JSON object; raises KeyError, TypeError, ValueError or AttributeError."""
    settings = data["settings"]
    pairs = flatten(settings)

    def names(path: str) -> tuple[str, ...]:
        value = settings.get(path, [])  # not from `pairs`, whose commas would split names that contain one
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
