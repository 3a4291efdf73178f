"""Keep the routing table and the fleet in step with the store.

One waiting watch covers all keys. After a failure, or when the store has
forgotten what happened since, everything is read anew.
"""

from collections.abc import Callable

import trio
from loguru import logger
from returns.result import Failure, Result, Success
from tenacity import (
    AsyncRetrying,
    RetryCallState,
    retry_if_result,
    wait_random_exponential,
)

from cartdale.clock import MINUTE_MS, SECOND_MS, Clock, Millis, as_seconds
from cartdale.fleet.driver import Fleet
from cartdale.fleet.evacuation import Evacuation
from cartdale.fleet.store_changes import (
    EvacuationWritten,
    OwnKey,
    StoredChange,
    TableWritten,
    Translate,
    Unreadable,
)
from cartdale.fleet.types import (
    EntriesListed,
    EntryRemoved,
    EntryWritten,
    EvacuationsListed,
    EvacuationsReceived,
    Lifecycle,
    UpstreamEntry,
)
from cartdale.formatting import format_log_fields
from cartdale.routes.match import list_changed_routes
from cartdale.store.types import (
    Changes,
    Entry,
    HistoryLost,
    Listing,
    StoreFailure,
    WatchedStore,
)

#: How long the store holds a watch without a change, where nothing else is
#: said. One that was lost is noticed soon after, and must be before this
#: instance is held to its bounds again, three seconds after the trouble.
WATCH_FOR: Millis = 2 * SECOND_MS
#: Pause after changes: many come together, such as the entries of engines
#: that are taken away at once, and each answer to a watch is a priced call.
_GATHER: Millis = 50
#: An entry that goes within this time after an outage may come back.
_OUTAGE_RECENT: Millis = 3 * SECOND_MS
#: After the store came back from an older copy, who lives has written again
#: within this time, and the entry of one who does not has lapsed: three times
#: a second or so without a sign of life, and one for the way.
_WRITTEN_AGAIN: Millis = 5 * SECOND_MS
#: Routes that one log line names; a large change names none of the rest.
_MOST_NAMED = 12
#: The prefix of all keys.
_EVERYTHING = ''
#: Between reads of an instance that does not watch, and between its looks
#: at whether it has to.
_READ_EVERY: Millis = MINUTE_MS
_LOOK_EVERY: Millis = 250
#: The same once it hears nobody: what was told meanwhile is told for 3 s.
_SILENT_READ_EVERY: Millis = SECOND_MS // 2
#: First and longest pause between calls while the store fails.
_PAUSE_SECONDS = 0.1
_WATCHER_PAUSE = wait_random_exponential(_PAUSE_SECONDS, max=0.5)
#: The same for an instance that hears of changes in news.
_TOLD_PAUSE_SECONDS = 3


class StoreFollower:
    """Follow the store.

    :param translate: reads what is stored.
    :param take_own: takes what instances wrote for each other.
    :param watches: tells whether this instance is one of those that watch;
        the others hear of changes in news, and read all once in a while.
    :param hears_nobody: tells whether no news came of late.
    :param watch_for: how long the store holds a watch without a change.
    """

    def __init__(
        self,
        store: WatchedStore,
        fleet: Fleet,
        clock: Clock,
        translate: Translate,
        take_own: Callable[[OwnKey], None],
        watches: Callable[[], bool],
        hears_nobody: Callable[[], bool],
        watch_for: Millis = WATCH_FOR,
    ) -> None:
        self._watch_for = watch_for
        self._watches = watches
        self._hears_nobody = hears_nobody
        self._take_own = take_own
        self._store = store
        self._fleet = fleet
        self._clock = clock
        self._translate = translate
        self._failed_at: Millis | None = None
        #: The configuration in force, as it is stored.
        self.raw_table = b''
        #: Whether the last call to the store failed.
        self.failing = False
        #: Set once a configuration is in force.
        self.configured = trio.Event()
        #: Set once everything was read for the first time.
        self.synced = trio.Event()
        #: Whether everything is to be read again soon.
        self._outdated = False
        #: The era of the last listing; ``None`` before the first.
        self._era: int | None = None
        #: When to read all again after the store came back from an older copy;
        #: 0 for not to.
        self._confirm_at: Millis = 0

    async def run(self) -> None:
        """Follow the store, for ever."""
        while True:
            revision = await self._read_all()
            await self._watch(revision)
            if not self._watches():
                await self._rest()

    def read_again(self) -> None:
        """Read everything soon, as something may have been missed.

        Before the first read there is nothing that could have been.
        """
        self._outdated = self.synced.is_set()

    def adopt(self, written: TableWritten) -> None:
        """Put a configuration in force unless it is older than the present.

        :param written: from the store or from a peer.
        """
        version = written.table.version
        before = self._fleet.table
        if version <= before.version:
            return
        changed = list_changed_routes(before, written.table)
        self._fleet.table = written.table
        self.raw_table = written.raw
        self.configured.set()
        self._fleet.notify()
        logger.info(
            'configuration in force',
            version=version,
            changed=len(changed),
            routes=' '.join(changed[:_MOST_NAMED]),
        )

    async def _rest(self) -> None:
        """Wait until this instance has to watch or may have missed news."""
        rested: Millis = 0
        until = _READ_EVERY
        while rested < until and not self._must_read():
            await trio.sleep(as_seconds(_LOOK_EVERY))
            rested += _LOOK_EVERY
            if self._hears_nobody():
                until = min(until, rested + _SILENT_READ_EVERY)

    async def _read_all(self) -> int:
        """Read everything; return the revision to watch from."""
        self._outdated = False
        if self._must_confirm():
            self._confirm_at = 0
        listing = await self._read_until_answered()
        self._take_all(listing)
        self.failing = False
        return listing.store_revision

    async def _read_until_answered(self) -> Listing:
        """Read everything until the store answers."""
        retrying = AsyncRetrying(
            sleep=trio.sleep,
            retry=retry_if_result(_is_failure),
            wait=self._choose_pause,
        )
        answer: Result[Listing, StoreFailure] = await retrying(self._read_pages)
        return answer.unwrap()

    def _choose_pause(self, attempts: RetryCallState) -> float:
        """Return how many seconds to wait before the next try.

        Those whom others tell of changes leave the store in peace.
        """
        if not self._watches():
            return _TOLD_PAUSE_SECONDS
        return _WATCHER_PAUSE(attempts)

    async def _read_pages(self) -> Result[Listing, StoreFailure]:
        entries: list[Entry] = []
        start = ''
        revision = 0
        while True:
            answer = await self._store.fetch(_EVERYTHING, start)
            if not isinstance(answer, Success):
                self._note_failure(answer.failure())
                return answer
            page = answer.unwrap()
            entries.extend(page.entries)
            revision = revision or page.store_revision
            if not page.more or not page.entries:
                return Success(Listing(tuple(entries), revision, era=page.era))
            start = page.entries[-1].key

    def _take_all(self, listing: Listing) -> None:
        listed: list[UpstreamEntry] = []
        evacuations: list[Evacuation] = []
        for entry in listing.entries:
            match self._translate(entry):
                case EntryWritten(entry=written):
                    listed.append(written)
                case EvacuationWritten(evacuation=evacuation):
                    evacuations.append(evacuation)
                case None:
                    continue
                case Unreadable() as unreadable:
                    self._take(unreadable)
                    listed.extend(self._keep(unreadable.upstream))
                case change:
                    self._take(change)
        restored = self._note_era(listing.era)
        after_outage = self._had_outage()
        # Evacuations first: what else is told may wake those who wait.
        self._fleet.dispatch(
            EvacuationsListed(
                tuple(evacuations), listing.store_revision, restored
            )
        )
        self._fleet.dispatch(
            EntriesListed(tuple(listed), after_outage, restored)
        )
        self.synced.set()

    def _note_era(self, era: int) -> bool:
        """Tell whether the store came back from an older copy of late.

        What it lists then is believed only as far as nothing is lost by it:
        evacuations that it lacks hold on, and upstreams that had left stay so.
        It is read once more when all that live have written again; whatever
        else has it read before proves no more.
        """
        now = self._clock.now()
        if self._era is not None and era > self._era:
            self._failed_at = now
            self._confirm_at = now + _WRITTEN_AGAIN
        self._era = max(era, self._era or 0)
        return now < self._confirm_at

    def _keep(self, name: str) -> tuple[UpstreamEntry, ...]:
        """Return the entry that was in force before an unreadable one."""
        known = self._fleet.find(name)
        if known is None or known.lifecycle is Lifecycle.LEAVING:
            return ()
        return (known.entry,)

    async def _watch(self, revision: int) -> None:
        """Follow changes until the store fails or has forgotten some."""
        while self._watches() and not self._must_confirm():
            answer = await self._store.watch(
                _EVERYTHING, revision, self._watch_for
            )
            match answer:
                case Success(changes):
                    revision = await self._take_changes(changes, revision)
                case Failure(HistoryLost()):
                    logger.info('store forgot history', revision=revision)
                    return
                case Failure(failure):
                    self._note_failure(failure)
                    await trio.sleep(_PAUSE_SECONDS)
                    return

    def _must_read(self) -> bool:
        """Tell whether the store is to be read though news tell of changes."""
        return self._watches() or self._outdated or self._must_confirm()

    def _must_confirm(self) -> bool:
        """Tell whether it is time to read again what was written again."""
        return 0 < self._confirm_at <= self._clock.now()

    async def _take_changes(self, changes: Changes, revision: int) -> int:
        """Take what changed; return the revision to watch from.

        An answer without changes does not move it on: whatever the store
        counted meanwhile would be passed over if it was a change after all.
        """
        if not changes.changes:
            return revision
        for stored in changes.changes:
            change = self._translate(stored)
            if change is not None:
                self._take(change)
        await trio.sleep(as_seconds(_GATHER))
        return max(revision, changes.store_revision)

    def _take(self, change: StoredChange) -> None:
        match change:
            case TableWritten():
                self.adopt(change)
            case EntryWritten():
                self._fleet.dispatch(change)
            case EntryRemoved(upstream=upstream):
                after_outage = self._had_outage()
                self._fleet.dispatch(EntryRemoved(upstream, after_outage))
            case EvacuationWritten(evacuation=evacuation):
                self._fleet.dispatch(EvacuationsReceived((evacuation,)))
            case OwnKey():
                self._take_own(change)
            case Unreadable(detail=detail):
                logger.error('stored value unreadable', detail=detail)

    def _note_failure(self, failure: StoreFailure) -> None:
        if not self.failing:
            logger.warning(
                'store lost', **format_log_fields('failure', failure)
            )
        self._failed_at = self._clock.now()
        self.failing = True

    def _had_outage(self) -> bool:
        """Tell whether the store was away until now or within seconds."""
        if self.failing or self._failed_at is None:
            return self.failing
        return self._clock.now() - self._failed_at <= _OUTAGE_RECENT


def _is_failure(answer: Result[Listing, StoreFailure]) -> bool:
    return not isinstance(answer, Success)
