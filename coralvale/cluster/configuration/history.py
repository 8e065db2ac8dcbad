"""What the changes, delivered in their one order, lead to: the configuration, and which changes were taken.

The same at every member, since it depends on nothing but the changes. `consider` is what the leader asks
before it orders a change, `deliver` what every member does with it; both judge alike, so a change that lost
its race, or is invalid, has no effect wherever it stands.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from hashlib import blake2b
from typing import Any

import msgspec

from coralvale.cluster.configuration.model import Configuration, apply_patch, differences, parse_configuration
from coralvale.cluster.errors import Kind, Problem

REMEMBERED = 4096  # changes that are remembered, to know one that is sent again: 12 bytes and a version each
NEWS = 64  # of them, that are handed on one by one
STEPS = 64  # changes of which is remembered what they did
NAMED = 12  # names that are remembered of each kind in each section


class Change(msgspec.Struct, frozen=True, array_like=True):
    """An operator's call as it came."""

    base: int
    whole: bool  # config.replace, else config.update
    body: bytes

    def digest(self) -> bytes:
        return blake2b(b"%d %d " % (self.base, self.whole) + self.body, digest_size=12).digest()


class ChangeSummary(msgspec.Struct, frozen=True, array_like=True):
    """What a change did: by section what was added, changed and removed; how many, and the first names."""

    version: int
    base: int
    whole: bool
    size: int  # bytes of the operator's call
    did: dict[str, dict[str, tuple[int, list[str]]]]


class Image(msgspec.Struct, frozen=True, array_like=True):
    """All of it as bytes."""

    config: bytes  # JSON
    applied: tuple[tuple[int, bytes], ...]
    summaries: tuple[ChangeSummary, ...] = ()
    oldest_base: int = 0  # of the changes in `taken`
    shares: bytes = b""  # the table of shares, as the rate limiter packs it
    coordination: bytes = b""  # locks, numbers and keys, as `CoordinationState` packs them


EMPTY_IMAGE = Image(b"{}", ())


class ConfigurationUpdate(msgspec.Struct, frozen=True, array_like=True):
    """What leads from the version asked about to a newer one: changes, or the whole configuration."""

    changes: tuple[Change, ...] = ()
    whole: bytes = b""


class AlreadyApplied:
    """A change that is in force already."""


class BaseTooOld:
    """A change on a base so old that whether it was taken is not remembered any more."""


ALREADY_APPLIED, BASE_TOO_OLD = AlreadyApplied(), BaseTooOld()
_image, _json = msgspec.msgpack.Decoder(Image).decode, msgspec.json.decode
_change = msgspec.msgpack.Decoder(Change).decode


def pack(change: Change) -> bytes:
    return msgspec.msgpack.encode(change)


def _decoded(body: bytes) -> Any:  # noqa: ANN401
    try:
        return _json(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return Problem(Kind.INVALID, f"cannot be read whole: {error}")


def build_configuration(change: Change, before: Configuration) -> Configuration | Problem:
    """The configuration that a change leads to."""
    sent = _decoded(change.body)
    if isinstance(sent, Problem):
        return sent
    raw = sent if change.whole else apply_patch(before.raw, sent)
    return raw if isinstance(raw, Problem) else parse_configuration(raw, before)


class ChangeHistory:
    def __init__(self) -> None:
        self.configuration = Configuration()
        self.applied: OrderedDict[bytes, int] = (
            OrderedDict()
        )  # digest of a change: the version that it led to
        self.oldest_base = 0  # a change on an older base may have been taken and forgotten
        self.news: deque[tuple[int, int, Change]] = deque(maxlen=NEWS)  # from, to, change
        self.summaries: deque[ChangeSummary] = deque(maxlen=STEPS)
        self.planned: tuple[bytes, Configuration] | None = None  # what the newest consideration led to

    def was_applied(self, change: Change) -> bool:
        """Whether this very change (its bytes, on its base) is among those remembered."""
        return change.digest() in self.applied

    def validate(self, change: Change) -> Problem | AlreadyApplied | BaseTooOld | None:
        """Why a change is not to be ordered; None if it is."""
        digest = change.digest()
        if digest in self.applied:
            return ALREADY_APPLIED
        if change.base < self.oldest_base:
            return BASE_TOO_OLD
        if change.base != self.configuration.version:
            return Problem(Kind.OTHER_VERSION, f"version {self.configuration.version} is current")
        planned = build_configuration(change, self.configuration)
        if isinstance(planned, Problem):
            return planned
        self.planned = (digest, planned)
        return None

    def deliver(self, body: bytes) -> bool:
        """Takes a change; whether it is in force now."""
        change = _change(body)
        digest = change.digest()
        if change.base != self.configuration.version:
            return False
        known = self.planned if self.planned and self.planned[0] == digest else None
        planned = known[1] if known else build_configuration(change, self.configuration)
        self.planned = None
        if isinstance(planned, Problem):
            return False
        self.news.append((self.configuration.version, planned.version, change))
        self._remember(change, planned)
        self.configuration = planned
        self.applied[digest] = planned.version
        while len(self.applied) > REMEMBERED:
            _, self.oldest_base = self.applied.popitem(last=False)
        return True

    def _remember(self, change: Change, planned: Configuration) -> None:
        did = {
            section: {what: (len(names), names[:NAMED]) for what, names in rows.items()}
            for section, rows in differences(self.configuration.raw, planned.raw).items()
        }
        self.summaries.append(
            ChangeSummary(planned.version, change.base, change.whole, len(change.body), did)
        )

    def config(self) -> bytes:
        return msgspec.json.encode(self.configuration.raw)

    def image(self, shares: bytes = b"", coordination: bytes = b"") -> bytes:
        """`shares`, `coordination`: what else the same log keeps, as bytes, to be kept beside it."""
        taken = tuple((version, digest) for digest, version in self.applied.items())
        image = Image(self.config(), taken, tuple(self.summaries), self.oldest_base, shares, coordination)
        return msgspec.msgpack.encode(image)

    def restore(self, body: bytes) -> Image:
        """Takes what `image` gave, at another member or before this process began; returns it, for what was
        kept beside it."""
        if not body:
            return EMPTY_IMAGE
        image = _image(body)
        raw = _json(image.config)
        configuration = parse_configuration(raw, Configuration()) if raw else Configuration()
        if isinstance(
            configuration, Problem
        ):  # it was checked before it was taken: only another program's checks differ
            raise ValueError(f"the configuration kept cannot be used: {configuration.reason}")
        self.configuration = configuration
        self.applied = OrderedDict((digest, version) for version, digest in image.applied)
        self.oldest_base = image.oldest_base
        self.summaries = deque(image.summaries, maxlen=STEPS)
        self.news.clear()
        return image

    def update_since(self, version: int) -> ConfigurationUpdate | None:
        """What is newer than a version; None if nothing is."""
        if version >= self.configuration.version:
            return None
        changes: list[Change] = []
        for start, _, change in self.news:
            if changes or start == version:
                changes.append(change)
        return ConfigurationUpdate(tuple(changes)) if changes else ConfigurationUpdate(whole=self.config())


def apply_update(configuration: Configuration, news: ConfigurationUpdate) -> Configuration | Problem:
    """What a gateway makes of news."""
    if news.whole:
        raw = _decoded(news.whole)
        return raw if isinstance(raw, Problem) else parse_configuration(raw, configuration)
    for change in news.changes:
        planned = build_configuration(change, configuration)
        if isinstance(planned, Problem):
            return planned
        configuration = planned
    return configuration
