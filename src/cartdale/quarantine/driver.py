"""Hold the evidence, and cancel pending work of quarantined requests."""

from collections import OrderedDict
from collections.abc import Callable
from types import TracebackType
from typing import Self

import trio
from loguru import logger

from cartdale.clock import SECOND_MS, Clock, Millis
from cartdale.problems.types import NotRun, NotRunReason
from cartdale.quarantine.decide import (
    EVENTS_PAST_START,
    decide,
    find_expiry,
    is_quarantined,
    list_crashes,
)
from cartdale.quarantine.identity import Fingerprint, Identity
from cartdale.quarantine.part_records import count_crashes_of_parts
from cartdale.quarantine.parts import list_since_run
from cartdale.quarantine.publishing import (
    describe,
    describe_part,
    select_news,
)
from cartdale.quarantine.requests import CRASHES_TO_QUARANTINE
from cartdale.quarantine.types import (
    Action,
    CrashesTold,
    CrashNews,
    Message,
    PartRanOn,
    Quarantined,
    QuarantineState,
    RanOn,
    Released,
    RequestRecord,
    TimePassed,
    UpstreamEnded,
)

#: Time between checks for expired evidence; one takes 2 ms on a full table.
_FORGET_INTERVAL: Millis = 5 * SECOND_MS
#: Maximum number of requests whose survival here is remembered, about 150 bytes
#: each: those of some minutes, and those that are repeated often.
MAX_SURVIVALS = 4096


class Guard:
    """Cancel the work inside the context once a request is quarantined.

    :param fingerprint: of the request.
    :param guards_by_identity: registry of all active guards, by the request
        and by each shared part of its prompt.
    """

    def __init__(
        self,
        fingerprint: Fingerprint,
        guards_by_identity: 'GuardsByIdentity',
    ) -> None:
        self._identities = (fingerprint.identity, *fingerprint.parts)
        self._guards_by_identity = guards_by_identity
        self._scope = trio.CancelScope()

    def __enter__(self) -> Self:
        """Register the guard and enter its cancel scope."""
        for identity in self._identities:
            self._guards_by_identity.setdefault(identity, []).append(self)
        self._scope.__enter__()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> bool:
        """Unregister the guard and leave its cancel scope."""
        self.release()
        return self._scope.__exit__(kind, error, trace)

    @property
    def stopped(self) -> bool:
        """Return whether the guard cancelled its work."""
        return self._scope.cancelled_caught

    def release(self) -> None:
        """Unregister the guard, so that it no longer cancels."""
        for identity in self._identities:
            guards = self._guards_by_identity.get(identity, [])
            if self in guards:
                guards.remove(self)
            if not guards:
                self._guards_by_identity.pop(identity, None)

    def stop(self) -> None:
        """Cancel the guarded work."""
        self._scope.cancel()


GuardsByIdentity = dict[Identity, list[Guard]]


class Quarantine:
    """Hold the evidence against requests that crash upstreams.

    :param announce: called when there is something to publish to peers.
    """

    def __init__(self, clock: Clock, announce: Callable[[], None]) -> None:
        self._clock = clock
        self._announce = announce
        self._message_count = 0
        self._next_forget_at: Millis = 0
        #: Called with a request whose quarantine changed by an observation of
        #: this instance.
        self.on_observed: Callable[[Identity], None] | None = None
        #: Times at which requests survived here, or at which runs of requests
        #: with a part began that did; the latest last.
        self._ran_at_by_identity: OrderedDict[Identity, Millis] = OrderedDict()
        self._guards_by_identity: GuardsByIdentity = {}
        self.state = QuarantineState()
        #: Version of the evidence, counted up on each change, for news.
        self.version = 0

    def dispatch(self, message: Message) -> None:
        """Apply one message and perform the resulting actions."""
        before = self.state
        after, actions = decide(before, message, self._clock.now())
        self.state = after
        if after is before:
            return
        self._record_known_survivals(message)
        self.version += 1
        self._announce()
        for action in actions:
            self._perform(action, message)

    @property
    def guarded(self) -> tuple[Identity, ...]:
        """Return the requests that have active guards."""
        return tuple(self._guards_by_identity)

    def is_quarantined(self, identity: Identity) -> bool:
        """Return whether a request, or each with a part, is quarantined."""
        return is_quarantined(self.state, identity)

    def is_suspect(self, fingerprint: Fingerprint) -> bool:
        """Return whether a request is quarantined or one crash short of it."""
        crashes = len(list_crashes(self.state, fingerprint.identity))
        shared = count_crashes_of_parts(
            self.state.records_by_part, fingerprint.parts
        )
        return max(crashes, shared) >= CRASHES_TO_QUARANTINE - 1

    def time_left(self, identity: Identity) -> Millis:
        """Return the time until the quarantine ends without new evidence."""
        return max(find_expiry(self.state, identity) - self._clock.now(), 0)

    def find_refusal(
        self, fingerprint: Fingerprint, request_id: str
    ) -> NotRun | None:
        """Return the refusal of a quarantined request, otherwise ``None``."""
        if not self.is_barred(fingerprint):
            return None
        return self.refuse(fingerprint, request_id)

    def is_barred(self, fingerprint: Fingerprint) -> bool:
        """Return whether a request or a part of its prompt is quarantined."""
        return bool(self._list_barred(fingerprint))

    def refuse(self, fingerprint: Fingerprint, request_id: str) -> NotRun:
        """Return the problem sent to the caller of a quarantined request."""
        barred = self._list_barred(fingerprint) or [fingerprint.identity]
        left = max(map(self.time_left, barred))
        logger.info(
            'request barred',
            request=request_id,
            identity=fingerprint.identity.hex(),
            barred=' '.join(each.hex() for each in barred),
            ended=' '.join(self.list_ended(barred[0])),
            left=left,
        )
        return NotRun(NotRunReason.QUARANTINED, left)

    def list_ended(self, identity: Identity) -> tuple[str, ...]:
        """Return the upstreams that crashed with a request or a part."""
        part = self.state.records_by_part.get(identity)
        if part is not None:
            return tuple(each.upstream for each in list_since_run(part))
        crashes = list_crashes(self.state, identity)
        return tuple(each.crash.upstream for each in crashes)

    def has_survived(self, identity: Identity) -> bool:
        """Return whether a request or a part is known to have survived."""
        state = self.state
        known = state.records_by_identity.get(
            identity
        ) or state.records_by_part.get(identity)
        return known is not None and known.ran_at is not None

    def count_quarantined(self) -> int:
        """Return how many requests and parts are quarantined."""
        state = self.state
        return len(state.blamed_requests) + len(state.blamed_parts)

    def record_crash(self, ended: UpstreamEnded, events: int) -> None:
        """Record an upstream's crash unless the run had survived its start.

        :param events: number of events received from the run.
        """
        if events <= EVENTS_PAST_START:
            self.dispatch(ended)

    def record_survival(
        self, fingerprint: Fingerprint, began_at: Millis
    ) -> None:
        """Record that a request ran without crashing its upstream.

        :param began_at: when its run began. Parts of its prompt may have begun
            to crash upstreams since then.
        """
        now = self._clock.now()
        self._remember_survival(fingerprint.identity, now)
        if fingerprint.identity in self.state.records_by_identity:
            self.dispatch(RanOn(fingerprint.identity, now))
        for part in fingerprint.parts:
            self._remember_survival(part, began_at)
            if part in self.state.records_by_part:
                self.dispatch(PartRanOn(part, began_at))

    def describe(self, identity: Identity) -> tuple[CrashNews, ...]:
        """Return the crashes of one request or part, in the form for peers."""
        now = self._clock.now()
        if identity in self.state.records_by_part:
            return describe_part(self.state, identity, now)
        record = self.state.records_by_identity.get(identity, RequestRecord())
        return tuple(
            describe(self.state, record, each, now) for each in record.evidence
        )

    def list_news(self) -> tuple[CrashNews, ...]:
        """Return the crashes for the next message to peers."""
        self._message_count += 1
        return select_news(self.state, self._clock.now(), self._message_count)

    def guard(self, fingerprint: Fingerprint) -> Guard:
        """Return a guard that cancels work for a request."""
        return Guard(fingerprint, self._guards_by_identity)

    def forget(self) -> None:
        """Drop expired evidence, at most once per interval."""
        now = self._clock.now()
        if self.state.records_by_identity and now >= self._next_forget_at:
            self._next_forget_at = now + _FORGET_INTERVAL
            self.dispatch(TimePassed())

    def _perform(self, action: Action, cause: Message) -> None:
        """Perform an action unless a recorded survival has reversed it."""
        identity = action.identity
        if isinstance(action, Quarantined) is not self.is_quarantined(identity):
            return
        observed = isinstance(cause, UpstreamEnded | RanOn | PartRanOn)
        if observed and self.on_observed:
            self.on_observed(identity)
        match action:
            case Quarantined():
                self._stop(identity)
            case Released():
                logger.warning(
                    'quarantine ended',
                    identity=identity.hex(),
                    message=type(cause).__name__,
                )

    def _record_known_survivals(self, message: Message) -> None:
        """Record the survival here of requests and parts that crashed."""
        identities: set[Identity] = set()
        parts: set[Identity] = set()
        match message:
            case UpstreamEnded(crash=crash):
                identities.add(crash.identity)
                parts.update(message.parts)
            case CrashesTold(crashes=crashes):
                for report in crashes:
                    identities.add(report.identity)
                    parts.update(each.part for each in report.parts)
        for identity in identities:
            ran_at = self._ran_at_by_identity.get(identity)
            if ran_at is not None:
                self.dispatch(RanOn(identity, ran_at))
        for part in parts:
            began_at = self._ran_at_by_identity.get(part)
            if began_at is not None:
                self.dispatch(PartRanOn(part, began_at))

    def _remember_survival(self, identity: Identity, ran_at: Millis) -> None:
        known = self._ran_at_by_identity.get(identity, ran_at)
        self._ran_at_by_identity[identity] = max(known, ran_at)
        self._ran_at_by_identity.move_to_end(identity)
        if len(self._ran_at_by_identity) > MAX_SURVIVALS:
            self._ran_at_by_identity.popitem(last=False)

    def _list_barred(self, fingerprint: Fingerprint) -> list[Identity]:
        """Return what is quarantined: the request, parts of its prompt."""
        identities = (fingerprint.identity, *fingerprint.parts)
        return [each for each in identities if self.is_quarantined(each)]

    def _stop(self, identity: Identity) -> None:
        guards = tuple(self._guards_by_identity.get(identity, ()))
        logger.warning(
            'quarantined',
            identity=identity.hex(),
            ended=' '.join(self.list_ended(identity)),
            stopped=len(guards),
        )
        for guard in guards:
            guard.stop()
