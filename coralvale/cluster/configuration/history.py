"""The replicated configuration: it applies the changes of the log in order and remembers which were applied.

The result depends only on the changes, so it is the same at every member. The leader calls `validate` before
it proposes a change, every member calls `deliver` on a committed one. Both apply the checks of `model`, so a
change that lost a race against another, or is invalid, has no effect even if it is in the log. Those of
`admission` are the leader's alone: they may differ between versions.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from functools import cached_property
from hashlib import blake2b
from typing import Any

import msgspec
from attrs import frozen

from coralvale.cluster.configuration.admission import admit
from coralvale.cluster.configuration.model import Configuration, apply_patch, differences, parse_configuration
from coralvale.cluster.configuration.stepwise import decode_stepwise
from coralvale.cluster.errors import Kind, Problem

MAX_KNOWN_CHANGES = 4096  # applied changes remembered to recognise retries: 12 bytes and a version each
MAX_RECENT_CHANGES = 64  # applied changes kept whole, for updates that hold single changes
MAX_REFUSED_CHANGES = 16  # remembered, to answer their retries
MAX_SUMMARIES = 64
MAX_NAMES_PER_SUMMARY = 12  # of each section, for each of added, changed and removed
LARGE_BODY_BYTES = 256 * 1024  # a larger body takes longer to read than an event loop should stand still
LARGE_CONFIGURATION_ITEMS = 5000  # likewise for a change of one with more items


class Change(msgspec.Struct, frozen=True, array_like=True, dict=True):
    """An operator's change request, as received. `base`: the version that it builds on."""

    base: int
    whole: bool  # True: config.replace; False: config.update
    body: bytes

    @cached_property
    def _digest(self) -> bytes:
        found = blake2b(b"%d %d " % (self.base, self.whole), digest_size=12)
        found.update(self.body)
        return found.digest()

    def digest(self) -> bytes:
        """Identifies the change by its body, base and kind."""
        return self._digest


class ChangeSummary(msgspec.Struct, frozen=True, array_like=True):
    """What an applied change did. `did`: for each section, count and first names of added, changed and
    removed."""

    version: int
    base: int
    whole: bool
    size: int  # bytes of the body
    did: dict[str, dict[str, tuple[int, list[str]]]]


class Image(msgspec.Struct, frozen=True, array_like=True):
    """The history as it is stored in a snapshot, with the other state machines of the log."""

    config: bytes  # JSON
    applied: tuple[tuple[int, bytes], ...]
    summaries: tuple[ChangeSummary, ...] = ()
    oldest_base: int = 0  # the oldest base of the changes in `applied`
    shares: bytes = b""  # the table of shares, as packed by the rate limiter
    coordination: bytes = b""  # locks, numbers and keys, as packed by `CoordinationState`


EMPTY_IMAGE = Image(b"{}", ())


class ConfigurationUpdate(msgspec.Struct, frozen=True, array_like=True):
    """An update from an older version to the newest: single changes, or the whole configuration as JSON."""

    changes: tuple[Change, ...] = ()
    whole: bytes = b""

    @property
    def size(self) -> int:
        """Bytes of what was sent."""
        return len(self.whole) + sum(len(change.body) for change in self.changes)


class AlreadyApplied:
    """The change was applied before; it is a retry."""


class BaseTooOld:
    """The change's base is so old that it is not known any more whether the change was applied."""


ALREADY_APPLIED, BASE_TOO_OLD = AlreadyApplied(), BaseTooOld()
_decode_image = msgspec.msgpack.Decoder(Image).decode
_decode_change = msgspec.msgpack.Decoder(Change).decode


def pack(change: Change) -> bytes:
    """Encodes a change as a log entry."""
    return msgspec.msgpack.encode(change)


def unpack(body: bytes) -> Change:
    """The change of a log entry."""
    return _decode_change(body)


def _decode_body(body: bytes) -> Any:  # noqa: ANN401
    try:
        return decode_stepwise(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return Problem(Kind.INVALID, f"cannot be read whole: {error}")


def build_configuration(change: Change, before: Configuration) -> Configuration | Problem:
    """The configuration that results from a change, or why there is none."""
    sent = _decode_body(change.body)
    if isinstance(sent, Problem):
        return sent
    raw = sent if change.whole else apply_patch(before.raw, sent)
    return raw if isinstance(raw, Problem) else parse_configuration(raw, before)


@frozen
class BuiltChange:
    """What a change leads to: the new configuration, and a summary of what is different in it."""

    configuration: Configuration
    summary: ChangeSummary


@frozen
class Build:
    """A build that may take long. Uses nothing that changes, so `run` may be called in a thread."""

    change: Change
    before: Configuration

    def run(self) -> BuiltChange | Problem:
        """The result."""
        self.change.digest()  # takes long as well, and is kept with the change
        return build_change(self.change, self.before)


def takes_long(size: int, before: Configuration) -> bool:
    """Whether a build takes longer than an event loop should stand still. `size`: bytes of what was sent."""
    items = sum(len(section) for section in before.items.values())
    return size > LARGE_BODY_BYTES or items > LARGE_CONFIGURATION_ITEMS


def build_change(change: Change, before: Configuration) -> BuiltChange | Problem:
    """What a change leads to, or why it has no effect."""
    configuration = build_configuration(change, before)
    if isinstance(configuration, Problem):
        return configuration
    did = {
        section: {what: (len(names), names[:MAX_NAMES_PER_SUMMARY]) for what, names in rows.items()}
        for section, rows in differences(before.raw, configuration.raw).items()
    }
    summary = ChangeSummary(configuration.version, change.base, change.whole, len(change.body), did)
    return BuiltChange(configuration, summary)


def check_change(change: Change, before: Configuration) -> BuiltChange | Problem:
    """The leader's check of a change before it is proposed: what it leads to, or why it is refused.

    Raises nothing: an order that makes the check fail is answered like any other.
    """
    try:
        return admit(change.body, change.whole) or build_change(change, before)
    except Exception as error:  # noqa: BLE001
        return Problem(Kind.CHECK_FAILED, repr(error))


class ChangeHistory:
    """The current configuration, and the changes applied to it."""

    def __init__(self) -> None:
        self.configuration = Configuration()
        self.applied: OrderedDict[bytes, int] = OrderedDict()  # by digest of a change: resulting version
        self.oldest_base = 0  # a change with an older base may have been applied without being remembered
        # Version before, version after, change.
        self.recent_changes: deque[tuple[int, int, Change]] = deque(maxlen=MAX_RECENT_CHANGES)
        self.summaries: deque[ChangeSummary] = deque(maxlen=MAX_SUMMARIES)
        # By digest: what a change on the current version was found to lead to, for its delivery.
        self.built: tuple[bytes, BuiltChange | Problem] | None = None
        # By digest: why a change on the current version was refused.
        self.refused: OrderedDict[bytes, Problem] = OrderedDict()

    def was_applied(self, change: Change) -> bool:
        """Whether this change (same body, base and kind) is among the remembered ones."""
        return change.digest() in self.applied

    def known_outcome(self, change: Change) -> Problem | AlreadyApplied | BaseTooOld | None:
        """Why the change is not to be proposed, as far as it is known without a check; None: it is to be
        checked."""
        digest = change.digest()
        if digest in self.applied:
            return ALREADY_APPLIED
        if change.base < self.oldest_base:
            return BASE_TOO_OLD
        if change.base != self.configuration.version:
            return Problem(Kind.OTHER_VERSION, f"version {self.configuration.version} is current")
        return self.refused.get(digest)

    def record_check(self, change: Change, checked: BuiltChange | Problem) -> None:
        """Keeps the result of a check on the current version, so that neither delivery nor a repeated order
        checks again."""
        if change.base != self.configuration.version:
            return
        if isinstance(checked, BuiltChange):
            self.built = (change.digest(), checked)
        elif checked.kind is not Kind.CHECK_FAILED:
            self.refused[change.digest()] = checked
            if len(self.refused) > MAX_REFUSED_CHANGES:
                self.refused.popitem(last=False)

    def long_build(self, change: Change) -> Build | None:
        """The build that the delivery of a committed change needs, if it takes long; None if it does not."""
        if change.base != self.configuration.version or not takes_long(len(change.body), self.configuration):
            return None
        if self.built and self.built[0] == change.digest():
            return None
        return Build(change, self.configuration)

    def record_build(self, change: Change, result: BuiltChange | Problem) -> None:
        """Keeps the result of a build for the delivery of its change."""
        self.built = (change.digest(), result)

    def validate(self, change: Change) -> Problem | AlreadyApplied | BaseTooOld | None:
        """None if the change is to be proposed, else why not; checks it here and now."""
        known = self.known_outcome(change)
        if known is not None:
            return known
        checked = check_change(change, self.configuration)
        self.record_check(change, checked)
        return checked if isinstance(checked, Problem) else None

    def deliver(self, body: bytes) -> bool:
        """Applies a committed change; returns whether it took effect."""
        return self.deliver_change(unpack(body))

    def deliver_change(self, change: Change) -> bool:
        """Applies a committed change; returns whether it took effect."""
        if change.base != self.configuration.version:
            return False
        digest = change.digest()
        built = self.built[1] if self.built and self.built[0] == digest else None
        built = built or build_change(change, self.configuration)
        self.built = None
        if isinstance(built, Problem):
            return False
        version = built.configuration.version
        self.refused.clear()
        self.recent_changes.append((self.configuration.version, version, change))
        self.summaries.append(built.summary)
        self.configuration = built.configuration
        self.applied[digest] = version
        while len(self.applied) > MAX_KNOWN_CHANGES:
            _, self.oldest_base = self.applied.popitem(last=False)
        return True

    def config(self) -> bytes:
        """The current configuration as JSON."""
        return msgspec.json.encode(self.configuration.raw)

    def image(self, shares: bytes = b"", coordination: bytes = b"") -> bytes:
        """The history as bytes, for a snapshot. `shares`, `coordination`: the log's other state machines as
        bytes."""
        taken = tuple((version, digest) for digest, version in self.applied.items())
        image = Image(self.config(), taken, tuple(self.summaries), self.oldest_base, shares, coordination)
        return msgspec.msgpack.encode(image)

    def restore(self, body: bytes) -> Image:
        """Loads the result of `image`; returns the decoded snapshot, for its `shares` and `coordination`.

        Raises ValueError where the stored configuration is not valid.
        """
        if not body:
            return EMPTY_IMAGE
        image = _decode_image(body)
        raw = decode_stepwise(image.config)
        configuration = parse_configuration(raw, Configuration()) if raw else Configuration()
        # It was valid when it was applied: only a program version with other checks rejects it.
        if isinstance(configuration, Problem):
            raise ValueError(f"the stored configuration is not valid: {configuration.reason}")
        self.configuration = configuration
        self.refused.clear()
        self.applied = OrderedDict((digest, version) for version, digest in image.applied)
        self.oldest_base = image.oldest_base
        self.summaries = deque(image.summaries, maxlen=MAX_SUMMARIES)
        self.recent_changes.clear()
        return image

    def update_since(self, version: int) -> ConfigurationUpdate | None:
        """The update from `version` to the current one; None if `version` is current."""
        if version >= self.configuration.version:
            return None
        changes: list[Change] = []
        for start, _, change in self.recent_changes:
            if changes or start == version:
                changes.append(change)
        return ConfigurationUpdate(tuple(changes)) if changes else ConfigurationUpdate(whole=self.config())


def apply_update(configuration: Configuration, news: ConfigurationUpdate) -> Configuration | Problem:
    """The configuration of a gateway without a replica after an update, or why it cannot be used."""
    if news.whole:
        raw = _decode_body(news.whole)
        return raw if isinstance(raw, Problem) else parse_configuration(raw, configuration)
    for change in news.changes:
        planned = build_configuration(change, configuration)
        if isinstance(planned, Problem):
            return planned
        configuration = planned
    return configuration
