"""The state machine of one ADS stream, state of the world and delta (the xDS protocol page; discovery.proto).

The rules, and why they are so:

  request                                   what it does
  ----------------------------------------  ---------------------------------------------------------------
  first of its type on the stream           subscribes, whatever nonce it carries: a nonce belongs to a
                                            stream, and nothing has been sent on this one. SotW answers it
                                            in any case, since what a proxy has is only known by a number;
                                            delta sends what `initial_resource_versions` does not match.
  nonce of the newest response, no error    ACK; its names are the subscription from now on (SotW).
  nonce of the newest response, an error    NACK; the error is kept, the same version is not sent again (it
                                            would be refused again), its names count all the same. With the
                                            next version of the type all that was in the refused response is
                                            owed again: a proxy refuses a response whole, also what was well
                                            in it, and did not drop what it told as removed.
  another nonce (SotW)                      stale: its names are passed over. The proxy wrote it before it had
                                            the newest response, will answer that one too, and then names all
                                            that it wants. It still answers the response that it names, once.
  another nonce (delta)                     its subscriptions count: delta requests are changes and are not
                                            repeated. As an ACK it counts for the response it names.
  no nonce, not first                       a change of subscription that crossed the first response.
  a type that is not served                 passed over; kept as a number only.

A stream is a cursor over snapshots: it holds the newest offered, never a queue. `poll` gives what differs from
what was sent, one type at a time:

  1. endpoints that tell a drain, ahead of all else and without waiting for an ACK,
  2. then by `ORDER`, what is named before what names it,
  3. a type whose last response is not answered waits (for `PATIENCE` at most), so that a proxy that does not
     read has one response of each type on its way and gets the newest when it reads again,
  4. a renewal of a lease is the same version once more; what was refused is not renewed before `PATIENCE`.

Events in: `ask`, `offer`, `renew`. Out: what the proxy told (ACK, NACK) and, from `poll`, the next response.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from coralvale.control.model import (
    CLUSTER,
    ENDPOINTS,
    LISTENER,
    ORDER,
    Acked,
    Asked,
    AskedDelta,
    Nacked,
    Response,
    Snapshot,
    StreamError,
    Told,
)

WILDCARD = "*"
WHOLE = (LISTENER, CLUSTER)  # types whose SotW responses hold all that is subscribed, so that absence removes
PATIENCE = 5.0  # s for which a response without an answer holds back the next of its type
OUT = 64  # delta responses without an answer that are kept in mind; older ones can no longer be ACKed
NAME = 1024  # characters of a resource name
NAMES = 64 * 1024  # characters of all names of a subscription: names alone must not fill the memory
TAG = 64  # characters of a version that a delta proxy names; ours are shorter, a longer one is not ours
UNKNOWN = "?"  # in place of a version: the proxy has something or nothing, but not what it should
ABSENT = ""  # in place of a version: the proxy has been told that there is no such resource


@dataclass(slots=True)
class Subscription:
    """One type on one stream."""

    names: set[str] = field(default_factory=set)
    wildcard: bool = False
    explicit: bool = False  # SotW: names have been given once
    sent: dict[str, str] = field(default_factory=dict)  # name to the tag that the proxy was last sent
    nonce: str = ""  # of the newest response; empty until there is one
    version: int = 0  # of the newest response
    sent_at: float = 0.0
    # Nonces without an answer, to the version and the names of their responses.
    open: dict[str, tuple[int, tuple[str, ...]]] = field(default_factory=dict)
    refused: set[str] = field(
        default_factory=set
    )  # names in responses that were refused, until the next version
    acked: int = 0
    nacked: int = 0
    error: str = ""  # of the newest NACK, until an ACK
    due: bool = False  # a response is owed even if nothing differs
    renewing: bool = False
    settled: bool = False  # nothing was asked for since the newest response

    def wants(self, name: str) -> bool:
        return self.wildcard or name in self.names


class Stream:
    """One stream; `delta` tells which of the two forms it speaks."""

    def __init__(self, delta: bool, most_names: int) -> None:
        self.delta, self.most_names = delta, most_names
        self.snapshot: Snapshot | None = None
        self.types: dict[str, Subscription] = {}
        self.passed_over = 0  # stale requests and those for types that are not served
        self.serial = 0
        self.urgent_sent = 0  # version of the newest drain that endpoints sent here have told

    # In

    def offer(self, snapshot: Snapshot) -> None:
        """Takes the newest snapshot; one that is not newer changes nothing."""
        if self.snapshot is None or snapshot.version > self.snapshot.version:
            self.snapshot = snapshot

    def renew(self) -> bool:
        """Owes the endpoints once more, unchanged, so that a lease on them goes on (`endpoint_stale_after`).

        Returns whether any were asked for.
        """
        if subscription := self.types.get(ENDPOINTS):
            subscription.renewing, subscription.settled = True, False
        return subscription is not None

    def ask(self, request: Asked | AskedDelta) -> list[Told]:
        """Takes a request; returns what it tells of a response. Raises StreamError past a limit."""
        if request.type_url not in ORDER:
            self.passed_over += 1
            return []
        subscription = self.types.get(request.type_url)
        first = subscription is None
        if subscription is None:
            subscription = self.types[request.type_url] = Subscription()
        if isinstance(request, AskedDelta):
            return self._ask_delta(request, subscription, first)
        told = [] if first or not request.nonce else self._told(request, subscription)
        if not first and request.nonce not in ("", subscription.nonce):
            self.passed_over += 1
            return told
        if first or subscription.names != set(request.names) or subscription.wildcard:
            self._subscribe(request, subscription, first)
        return told

    def _subscribe(self, request: Asked, subscription: Subscription, first: bool) -> None:
        names = set(request.names) - {WILDCARD}
        self._check(names, subscription.names)
        # No names is the old way to say all; it says none once any have been given, the wildcard too.
        subscription.explicit = subscription.explicit or bool(request.names)
        legacy = request.type_url in WHOLE and not subscription.explicit
        wildcard = WILDCARD in request.names or legacy
        added = names - subscription.names or (wildcard and not subscription.wildcard)
        if first or names != subscription.names or wildcard != subscription.wildcard:
            subscription.settled = False
        for name in (names - subscription.names) | (subscription.names - names):
            subscription.sent.pop(name, None)  # who asks anew has dropped what it had
        subscription.names, subscription.wildcard = names, wildcard
        if first or (added and request.type_url in WHOLE):
            subscription.due = True

    def _ask_delta(self, request: AskedDelta, subscription: Subscription, first: bool) -> list[Told]:
        told = self._told(request, subscription) if request.nonce else []
        if first:
            self._check(set(request.initial), set())
            subscription.sent = {n: v if len(v) <= TAG else UNKNOWN for n, v in request.initial.items()}
            subscription.wildcard = not request.subscribe and request.type_url in WHOLE
            subscription.due = not request.initial
        for name in request.unsubscribe:
            if name == WILDCARD:
                subscription.wildcard = False
                for held in set(subscription.sent) - subscription.names:
                    del subscription.sent[held]
            else:
                subscription.names.discard(name)
                subscription.sent.pop(name, None)  # it drops what it had; a wildcard brings it back
        if first or request.subscribe or request.unsubscribe:
            subscription.settled = False
        names = set(request.subscribe) - {WILDCARD}
        self._check(subscription.names | names, subscription.names)
        subscription.wildcard = subscription.wildcard or WILDCARD in request.subscribe
        for name in names:  # also one that it has: who asks anew has dropped what it had
            if not first:
                subscription.sent.pop(name, None)
        subscription.names |= names
        return told

    def _check(self, names: set[str], known: set[str]) -> None:
        if len(names) > self.most_names:
            raise StreamError(
                "RESOURCE_EXHAUSTED", f"{len(names)} names subscribed, at most {self.most_names}"
            )
        if (size := sum(map(len, names))) > NAMES:
            raise StreamError("RESOURCE_EXHAUSTED", f"names of {size} characters subscribed, at most {NAMES}")
        for name in names - known:
            if len(name) > NAME:
                raise StreamError(
                    "INVALID_ARGUMENT", f"a resource name of {len(name)} characters, at most {NAME}"
                )

    @staticmethod
    def _told(request: Asked | AskedDelta, subscription: Subscription) -> list[Told]:
        answered = subscription.open.get(request.nonce)
        if answered is None:  # answered before, or too old to be kept in mind
            return []
        for nonce in list(
            subscription.open
        ):  # a stream is read in order: who skips an answer will not give it
            del subscription.open[nonce]
            if nonce == request.nonce:
                break
        version, names = answered
        if request.error is None:
            subscription.acked, subscription.error = max(subscription.acked, version), ""
            return [Acked(request.type_url, version)]
        subscription.nacked, subscription.error = version, request.error[:1024]
        subscription.refused.update(names)
        return [Nacked(request.type_url, version, subscription.error)]

    # Out

    def poll(self, now: float) -> Response | None:
        """The next response, marked as sent; None while there is nothing to say."""
        if self.snapshot is None:
            return None
        endpoints = self.types.get(ENDPOINTS)
        if (
            endpoints
            and self.urgent_sent < self.snapshot.urgent
            and (response := self._differs(now, ENDPOINTS, endpoints, self.snapshot))
        ):
            return response
        for kind in ORDER:
            subscription = self.types.get(kind)
            if subscription is None or (subscription.open and now < subscription.sent_at + PATIENCE):
                continue
            if response := self._differs(now, kind, subscription, self.snapshot):
                return response
        return None

    def settled(self) -> bool:
        """Whether `poll` would surely say nothing: the newest of each type was sent, and nothing is owed.

        Most ACKs leave a stream so; a service with a thousand streams need not look at each again.
        """
        return self.snapshot is not None and all(
            s.version == self.snapshot.versions[kind] and s.settled for kind, s in self.types.items()
        )

    def waits_until(self) -> float | None:
        """When a response that is held back for an ACK may go all the same; None if none is."""
        ends = [s.sent_at + PATIENCE for s in self.types.values() if s.open]
        return min(ends, default=None)

    def _differs(
        self, now: float, kind: str, subscription: Subscription, snapshot: Snapshot
    ) -> Response | None:
        held, sent = snapshot.types[kind], subscription.sent
        if subscription.refused and snapshot.versions[kind] > subscription.nacked:
            sent.update(dict.fromkeys(subscription.refused, UNKNOWN))
            subscription.refused.clear()
        wanted = held if subscription.wildcard else {n: held[n] for n in subscription.names if n in held}
        changed = [r for name, r in wanted.items() if sent.get(name) != r.tag]
        gone = [n for n, tag in sent.items() if n not in held and tag != ABSENT and subscription.wants(n)]
        # An ACK may bring names that were told absent; a delta proxy is told once that there is none.
        missing = [n for n in subscription.names if n not in held and n not in sent] if self.delta else []
        refused = bool(subscription.error) and subscription.nacked == snapshot.versions[kind]
        if subscription.renewing and not (refused and now < subscription.sent_at + PATIENCE):
            changed = list(wanted.values())
            subscription.renewing = False
        if not (changed or gone or missing or subscription.due):
            return None
        if not self.delta and kind in WHOLE:
            changed = list(wanted.values())
        elif not self.delta and not changed:  # absence is not told for these types: there is nothing to say
            for name in gone:
                sent.pop(name)
            subscription.due = False
            return None
        if subscription.due and self.delta and not (changed or gone or missing) and not subscription.wildcard:
            subscription.due = False
            return None
        for resource in changed:
            sent[resource.name] = resource.tag
        for name in gone + missing:
            if self.delta and name in subscription.names:
                sent[name] = ABSENT
            else:
                sent.pop(name, None)
        self.serial += 1
        subscription.nonce, subscription.due = str(self.serial), False
        subscription.settled = not subscription.renewing
        subscription.version, subscription.sent_at = snapshot.versions[kind], now
        told = (*(r.name for r in changed), *gone, *missing)
        subscription.open[subscription.nonce] = subscription.version, told
        if len(subscription.open) > OUT:
            del subscription.open[next(iter(subscription.open))]
        if kind == ENDPOINTS:
            self.urgent_sent = snapshot.urgent
        return Response(
            kind,
            subscription.version,
            subscription.nonce,
            tuple(changed),
            tuple(gone + missing) if self.delta else (),
        )
