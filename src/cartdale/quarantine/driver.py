"""Hold the evidence, and stop what waits once a request is quarantined."""

from collections import OrderedDict
from collections.abc import Callable
from types import TracebackType
from typing import Self

import trio
from loguru import logger

from cartdale.clock import SECOND_MS, Clock, Millis
from cartdale.problems.types import NotRun, NotRunReason
from cartdale.quarantine.decide import (
    CRASHES_TO_QUARANTINE,
    EVENTS_PAST_START,
    decide,
    find_end,
    is_quarantined,
    list_crashes,
)
from cartdale.quarantine.identity import Identity
from cartdale.quarantine.publishing import describe, select_news
from cartdale.quarantine.types import (
    Action,
    CrashesTold,
    CrashNews,
    Message,
    Quarantined,
    QuarantineState,
    RanOn,
    Released,
    RequestRecord,
    TimePassed,
    UpstreamEnded,
)

#: Between looks at what is too old, which cost 2 ms where the most is known.
_FORGET_EVERY: Millis = 5 * SECOND_MS
#: Requests that ran on here which are remembered, about 150 bytes each: those
#: of some minutes, and whatever is asked for again and again.
MOST_RAN = 4096


class Guard:
    """Cancel what is done inside once a request is quarantined.

    :param guards_by_identity: all that are entered.
    """

    def __init__(
        self,
        identity: Identity,
        guards_by_identity: 'GuardsByIdentity',
    ) -> None:
        self._identity = identity
        self._guards_by_identity = guards_by_identity
        self._scope = trio.CancelScope()

    def __enter__(self) -> Self:
        """Begin to cancel."""
        guards = self._guards_by_identity.setdefault(self._identity, [])
        guards.append(self)
        self._scope.__enter__()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> bool:
        """Cancel nothing any more."""
        self.release()
        return self._scope.__exit__(kind, error, trace)

    @property
    def stopped(self) -> bool:
        """Tell whether it cancelled what was done."""
        return self._scope.cancelled_caught

    def release(self) -> None:
        """Cancel nothing from here on."""
        guards = self._guards_by_identity.get(self._identity, [])
        if self in guards:
            guards.remove(self)
        if not guards:
            self._guards_by_identity.pop(self._identity, None)

    def stop(self) -> None:
        """Cancel what is done."""
        self._scope.cancel()


GuardsByIdentity = dict[Identity, list[Guard]]


class Quarantine:
    """Hold the evidence against requests that end upstreams.

    :param announce: called when there is something to tell peers.
    """

    def __init__(self, clock: Clock, announce: Callable[[], None]) -> None:
        self._clock = clock
        self._announce = announce
        self._turn = 0
        self._forgets_at: Millis = 0
        #: Called with a request that this instance found out about itself.
        self.on_found: Callable[[Identity], None] | None = None
        #: When requests ran on here, the latest last.
        self._ran_at_by_identity: OrderedDict[Identity, Millis] = OrderedDict()
        self._guards_by_identity: GuardsByIdentity = {}
        self.state = QuarantineState()
        #: Counts the changes of the evidence, for news.
        self.version = 0

    def dispatch(self, message: Message) -> None:
        """Take one message and act on what follows from it."""
        before = self.state
        after, actions = decide(before, message, self._clock.now())
        self.state = after
        if after is before:
            return
        self._clear_what_ran(message)
        self.version += 1
        self._announce()
        for action in actions:
            self._act(action, message)

    @property
    def guarded(self) -> tuple[Identity, ...]:
        """Return the requests of which something would be cancelled."""
        return tuple(self._guards_by_identity)

    def is_quarantined(self, identity: Identity) -> bool:
        """Tell whether a request is sent to no upstream any more."""
        return is_quarantined(self.state, identity)

    def is_suspect(self, identity: Identity) -> bool:
        """Tell whether one more crash quarantines a request, or has."""
        return (
            len(list_crashes(self.state, identity)) >= CRASHES_TO_QUARANTINE - 1
        )

    def time_left(self, identity: Identity) -> Millis:
        """Return how long a request stays quarantined without new evidence."""
        return max(find_end(self.state, identity) - self._clock.now(), 0)

    def find_refusal(
        self, identity: Identity, request_id: str
    ) -> NotRun | None:
        """Return why a request is sent to no upstream, if it is not."""
        if not self.is_quarantined(identity):
            return None
        return self.refuse(identity, request_id)

    def refuse(self, identity: Identity, request_id: str) -> NotRun:
        """Return what the caller of a quarantined request is told."""
        left = self.time_left(identity)
        logger.info(
            'request barred',
            request=request_id,
            identity=identity.hex(),
            ended=' '.join(self.list_ended(identity)),
            left=left,
        )
        return NotRun(NotRunReason.QUARANTINED, left)

    def list_ended(self, identity: Identity) -> tuple[str, ...]:
        """Return the upstreams that ended under a request."""
        crashes = list_crashes(self.state, identity)
        return tuple(each.crash.upstream for each in crashes)

    def count_quarantined(self) -> int:
        """Return how many requests are quarantined."""
        return sum(map(self.is_quarantined, self.state.records_by_identity))

    def record_crash(self, ended: UpstreamEnded, events: int) -> None:
        """Take an upstream's end as evidence, unless the run went on there.

        :param events: that had come of the run.
        """
        if events <= EVENTS_PAST_START:
            self.dispatch(ended)

    def record_survival(self, identity: Identity) -> None:
        """Note that a request ran without ending its upstream."""
        now = self._clock.now()
        self._ran_at_by_identity[identity] = now
        self._ran_at_by_identity.move_to_end(identity)
        if len(self._ran_at_by_identity) > MOST_RAN:
            self._ran_at_by_identity.popitem(last=False)
        if identity in self.state.records_by_identity:
            self.dispatch(RanOn(identity, now))

    def describe(self, identity: Identity) -> tuple[CrashNews, ...]:
        """Return all that is known of one request."""
        now = self._clock.now()
        record = self.state.records_by_identity.get(identity, RequestRecord())
        return tuple(describe(record, each, now) for each in record.evidence)

    def list_news(self) -> tuple[CrashNews, ...]:
        """Return what to tell peers next."""
        self._turn += 1
        return select_news(self.state, self._clock.now(), self._turn)

    def guard(self, identity: Identity) -> Guard:
        """Return what cancels a thing that is done for a request."""
        return Guard(identity, self._guards_by_identity)

    def forget(self) -> None:
        """Forget what is too old."""
        now = self._clock.now()
        if self.state.records_by_identity and now >= self._forgets_at:
            self._forgets_at = now + _FORGET_EVERY
            self.dispatch(TimePassed())

    def _act(self, action: Action, cause: Message) -> None:
        """Act on what follows from a message, unless that was cleared."""
        identity = action.identity
        if isinstance(action, Quarantined) is not self.is_quarantined(identity):
            return
        if isinstance(cause, UpstreamEnded | RanOn) and self.on_found:
            self.on_found(identity)
        match action:
            case Quarantined():
                self._stop(identity)
            case Released():
                logger.warning(
                    'quarantine ended',
                    identity=identity.hex(),
                    message=type(cause).__name__,
                )

    def _clear_what_ran(self, message: Message) -> None:
        """Clear requests in a message that ran on here lately."""
        match message:
            case UpstreamEnded(crash=crash):
                accused = {crash.identity}
            case CrashesTold(crashes=crashes):
                accused = {told.identity for told in crashes}
            case _:
                return
        for identity in accused:
            ran_at = self._ran_at_by_identity.get(identity)
            if ran_at is not None:
                self.dispatch(RanOn(identity, ran_at))

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
