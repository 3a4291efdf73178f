"""Keep the routing table and the fleet in sync with the store.

One long-polling watch covers all keys. After a failure, or when the store no
longer has the history since the last revision, all keys are read again.
"""

from collections.abc import Callable
from contextlib import AbstractContextManager
from dataclasses import dataclass, field, replace

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
from cartdale.fleet.listings import ListedChange, split_listing
from cartdale.fleet.store_changes import (
    EvacuationWritten,
    OwnKey,
    OwnKeysListed,
    StoredChange,
    TableWritten,
    Translate,
    Unreadable,
)
from cartdale.fleet.types import (
    EntriesListed,
    EntryRefused,
    EntryRemoved,
    EntryWritten,
    EvacuationsListed,
    EvacuationsReceived,
    UpstreamEntry,
)
from cartdale.formatting import format_log_fields
from cartdale.routes.match import list_changed_routes
from cartdale.store.types import (
    Changes,
    Entry,
    HistoryLost,
    Listing,
    Removed,
    StoreFailure,
    StoreUnavailable,
    WatchCut,
    WatchedStore,
)
from cartdale.supervision import contain

#: Default time for which the store holds a watch without a change. A lost
#: watch is detected soon after, which must happen before this instance's
#: bounds apply again, three seconds after the fault.
WATCH_FOR: Millis = 2 * SECOND_MS
#: Pause after changes: they often arrive in bursts, for example when several
#: engines are removed at once, and each watch response is a billed call.
_BATCH_WAIT: Millis = 50
#: An entry removed within this time after an outage may reappear.
_RECENT_OUTAGE: Millis = 3 * SECOND_MS
#: Time after a restore of the store from an older copy within which all live
#: writers have written again and the entries of the others have lapsed: three
#: intervals of about a second without a sign of life, and one for transit.
_REWRITE_WAIT: Millis = 5 * SECOND_MS
#: Changed routes listed in one log line; any others are omitted.
_MAX_LOGGED_ROUTES = 12
#: Faults of one configuration that are logged; any others are counted.
_MAX_LOGGED_FAULTS = 20
#: The prefix of all keys.
_ALL_KEYS = ''
#: Intervals at which an instance that does not watch reads all keys, and
#: checks whether it has to read or watch.
_READ_INTERVAL: Millis = MINUTE_MS
_CHECK_INTERVAL: Millis = 250
#: Read interval once no news arrives: a change missed meanwhile is published
#: for only 3 s.
_SILENT_READ_INTERVAL: Millis = SECOND_MS // 2
#: Read interval of an instance whose last call failed: until it has read the
#: store, the others don't count it among those that can watch.
_FAILED_READ_INTERVAL: Millis = SECOND_MS
#: Consecutive watches that are cut after which the store counts as failing.
_MAX_CUT_WATCHES = 3
#: Initial pause between calls while the store fails; the reads of a
#: watcher back off exponentially with jitter, up to ``max``.
_RETRY_PAUSE_SECONDS = 0.1
_WATCHER_RETRY_WAIT = wait_random_exponential(_RETRY_PAUSE_SECONDS, max=0.5)
#: Pause before another read when even the revision of the last one could not
#: be watched from: the store may answer so for as long as it runs.
_UNWATCHABLE_PAUSE_SECONDS = 0.5
#: Pause between calls of an instance that receives changes in news.
_NEWS_RETRY_PAUSE_SECONDS = 3


@dataclass(frozen=True, slots=True)
class _CollectedEntries:
    """Collect the entries of a listing that are applied together."""

    entries: list[UpstreamEntry] = field(default_factory=list)
    refused: list[EntryRefused] = field(default_factory=list)
    evacuations: list[Evacuation] = field(default_factory=list)
    own_keys: list[str] = field(default_factory=list)


class StoreFollower:
    """Read and watch the store, and apply its changes to the fleet.

    :param translate: decodes a stored entry.
    :param apply_own_key: applies a key that instances write for each other,
        and the list of all such keys.
    :param is_watcher: returns whether this instance watches the store; the
        others receive changes in news and read all keys periodically.
    :param is_news_silent: returns whether no news arrived recently.
    :param watch_for: how long the store holds a watch without a change.
    """

    def __init__(
        self,
        store: WatchedStore,
        fleet: Fleet,
        clock: Clock,
        translate: Translate,
        apply_own_key: Callable[[OwnKey | OwnKeysListed], None],
        is_watcher: Callable[[], bool],
        is_news_silent: Callable[[], bool],
        watch_for: Millis = WATCH_FOR,
    ) -> None:
        self._watch_for = watch_for
        self._is_watcher = is_watcher
        self._is_news_silent = is_news_silent
        self._apply_own_key = apply_own_key
        self._store = store
        self._fleet = fleet
        self._clock = clock
        self._translate = translate
        self._failed_at: Millis | None = None
        #: The configuration in force, in its stored form.
        self.raw_table = b''
        #: Whether the store did not answer the last read or watch. A watch that
        #: was cut does not count: the store may cut those that wait.
        self.failing = False
        #: Set once a configuration is in force.
        self.configured = trio.Event()
        #: Set after the first complete read.
        self.synced = trio.Event()
        #: Whether another complete read was requested.
        self._read_requested = False
        #: The era of the last listing; ``None`` before the first.
        self._era: int | None = None
        #: When to read all keys again after the store was restored from an
        #: older copy; 0 if no such read is due.
        self._reread_at: Millis = 0
        #: Until when listings may hold entries of before the era's beginning.
        self._unsettled_until: Millis = 0

    async def run(self) -> None:
        """Follow the store until cancelled."""
        while True:
            revision = await self._read_all()
            await self._watch(revision)
            if not self._is_watcher():
                await self._wait_for_read()

    def read_again(self) -> None:
        """Request a complete read because a change may have been missed.

        Does nothing before the first read: no change can have been missed yet.
        """
        self._read_requested = self.synced.is_set()

    async def read_table(self, key: str) -> bool:
        """Read only the configuration, and put it in force if it is newer.

        It doesn't wait for a watch or a read in progress, which may hang.

        :param key: key of the configuration in the store.
        :returns: whether the store responded.
        """
        result = await self._store.fetch(key)
        if not isinstance(result, Success):
            logger.info(
                'configuration not read',
                **format_log_fields('failure', result.failure()),
            )
            return False
        for entry in result.unwrap().entries:
            with _contain_failure(entry):
                self._apply_document(self._translate(entry))
        return True

    def adopt(self, written: TableWritten) -> None:
        """Put a configuration in force if it is newer than the current one.

        :param written: configuration from the store or from a peer.
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
            routes=' '.join(changed[:_MAX_LOGGED_ROUTES]),
        )
        for fault in written.table.faults[:_MAX_LOGGED_FAULTS]:
            logger.error(
                'configuration part refused',
                version=version,
                faults=len(written.table.faults),
                field=fault.field,
                detail=fault.detail,
            )

    async def _wait_for_read(self) -> None:
        """Wait until this instance has to watch or to read all keys again."""
        waited: Millis = 0
        until = _FAILED_READ_INTERVAL if self.failing else _READ_INTERVAL
        while waited < until and not self._must_read():
            await trio.sleep(as_seconds(_CHECK_INTERVAL))
            waited += _CHECK_INTERVAL
            if self._is_news_silent():
                until = min(until, waited + _SILENT_READ_INTERVAL)

    async def _read_all(self) -> int:
        """Read and apply all keys; return the revision to watch from."""
        self._read_requested = False
        if self._is_reread_due():
            self._reread_at = 0
        listing = await self._read_with_retries()
        self._apply_listing(listing)
        self.failing = False
        return listing.store_revision

    async def _read_with_retries(self) -> Listing:
        """Read all keys, retrying until the store responds."""
        retrying = AsyncRetrying(
            sleep=trio.sleep,
            retry=retry_if_result(_is_failure),
            wait=self._choose_pause,
        )
        result: Result[Listing, StoreFailure] = await retrying(self._read_pages)
        return result.unwrap()

    def _choose_pause(self, attempts: RetryCallState) -> float:
        """Return the seconds to wait before the next attempt.

        Instances that receive changes in news use a longer pause, to keep load
        off the store.
        """
        if not self._is_watcher():
            return _NEWS_RETRY_PAUSE_SECONDS
        return _WATCHER_RETRY_WAIT(attempts)

    async def _read_pages(self) -> Result[Listing, StoreFailure]:
        entries: list[Entry] = []
        start = ''
        revision = 0
        while True:
            result = await self._store.fetch(_ALL_KEYS, start)
            if not isinstance(result, Success):
                self._record_failure(result.failure())
                return result
            page = result.unwrap()
            entries.extend(page.entries)
            revision = revision or page.store_revision
            if not page.more or not page.entries:
                return Success(Listing(tuple(entries), revision, era=page.era))
            if page.entries[-1].key <= start:
                repeated = StoreUnavailable('pages do not go on')
                self._record_failure(repeated)
                return Failure(repeated)
            start = page.entries[-1].key

    def _apply_listing(self, listing: Listing) -> None:
        listed = _CollectedEntries()
        for entry in listing.entries:
            with _contain_failure(entry):
                self._take_listed(self._translate(entry), listed)
        restored = self._update_era(listing.era)
        after_outage = self._had_outage()
        own_keys = OwnKeysListed(frozenset(listed.own_keys))
        if not restored:
            with _contain_failure(own_keys):
                self._apply_own_key(own_keys)
        # Evacuations first: the entries may wake waiting requests.
        evacuations = EvacuationsListed(
            tuple(listed.evacuations), listing.store_revision, restored
        )
        with _contain_failure(evacuations):
            self._fleet.dispatch(evacuations)
        entries = EntriesListed(
            tuple(listed.entries),
            after_outage,
            restored,
            tuple(listed.refused),
            settled=self._clock.now() >= self._unsettled_until,
        )
        for change in split_listing(self._fleet.state, entries):
            with _contain_failure(change):
                self._fleet.dispatch(change)
        self.synced.set()

    def _take_listed(
        self, change: StoredChange | None, listed: '_CollectedEntries'
    ) -> None:
        """Collect a listed entry, or apply it at once."""
        match change:
            case EntryWritten(entry=written):
                listed.entries.append(written)
            case EvacuationWritten(evacuation=evacuation):
                listed.evacuations.append(evacuation)
            case None:
                return
            case OwnKey(key=key):
                listed.own_keys.append(key)
                self._apply(change)
            case Unreadable(refused=EntryRefused() as partial):
                _log_unreadable(change)
                listed.refused.append(partial)
            case _:
                self._apply(change)

    def _update_era(self, era: int) -> bool:
        """Return whether the store was recently restored from an older copy.

        A listing from that time must not undo known state: evacuations that it
        lacks remain in effect, and upstreams that had left stay that way. All
        keys are read once more when all live writers have written again; a
        read before then, for any other reason, is no more reliable. Listings
        are read in turn, so that an era that goes back was wrong before.
        """
        now = self._clock.now()
        if self._era is None or era > self._era:
            # The first listing doesn't show how long ago its era began.
            self._unsettled_until = now + _REWRITE_WAIT
        if self._era is not None and era > self._era:
            self._failed_at = now
            self._reread_at = now + _REWRITE_WAIT
        self._era = era
        return now < self._reread_at

    async def _watch(self, revision: int) -> None:
        """Watch the store and apply its changes.

        Returns when the store fails or lacks the history, when a read after a
        restore is due, or when this instance no longer has to watch.
        """
        pause: float = _UNWATCHABLE_PAUSE_SECONDS
        cuts = 0
        while self._is_watcher() and not self._is_reread_due():
            result = await self._store.watch(
                _ALL_KEYS, revision, self._watch_for
            )
            match result:
                case Success(changes):
                    pause, cuts = 0, 0
                    revision = await self._apply_changes(changes, revision)
                case Failure(HistoryLost()):
                    logger.info('store forgot history', revision=revision)
                    await trio.sleep(pause)
                    return
                case Failure(WatchCut(detail)) if cuts < _MAX_CUT_WATCHES:
                    logger.info('watch cut', detail=detail, revision=revision)
                    cuts += 1
                    await trio.sleep(_RETRY_PAUSE_SECONDS)
                case Failure(failure):
                    self._record_failure(failure)
                    await trio.sleep(_RETRY_PAUSE_SECONDS)
                    return

    def _must_read(self) -> bool:
        """Return whether to stop relying on news and read the store."""
        return (
            self._is_watcher() or self._read_requested or self._is_reread_due()
        )

    def _is_reread_due(self) -> bool:
        """Return whether the read that follows a restore is due."""
        return 0 < self._reread_at <= self._clock.now()

    async def _apply_changes(self, changes: Changes, revision: int) -> int:
        """Apply changes; return the revision to watch from.

        A response without changes does not advance the revision: if one of the
        revisions counted meanwhile was a change after all, it would be skipped.
        """
        if not changes.changes:
            return revision
        for stored in changes.changes:
            with _contain_failure(stored):
                self._apply(self._translate(stored))
        await trio.sleep(as_seconds(_BATCH_WAIT))
        return max(revision, changes.store_revision)

    def _apply_document(self, change: StoredChange | None) -> None:
        """Apply a change unless it does not concern the configuration."""
        if isinstance(change, TableWritten | Unreadable):
            self._apply(change)

    def _apply(self, change: StoredChange | None) -> None:
        match change:
            case None:
                return
            case TableWritten():
                self.adopt(change)
            case EntryWritten():
                self._fleet.dispatch(replace(change, settled=True))
            case EntryRemoved(upstream=upstream):
                after_outage = self._had_outage()
                self._fleet.dispatch(EntryRemoved(upstream, after_outage))
            case EvacuationWritten(evacuation=evacuation):
                self._fleet.dispatch(EvacuationsReceived((evacuation,)))
            case OwnKey():
                self._apply_own_key(change)
            case Unreadable(refused=refused):
                _log_unreadable(change)
                if refused is not None:
                    self._fleet.dispatch(replace(refused, settled=True))

    def _record_failure(self, failure: StoreFailure) -> None:
        if not self.failing:
            logger.warning(
                'store lost', **format_log_fields('failure', failure)
            )
        self._failed_at = self._clock.now()
        self.failing = True

    def _had_outage(self) -> bool:
        """Return whether the store is failing or failed within seconds."""
        if self.failing or self._failed_at is None:
            return self.failing
        return self._clock.now() - self._failed_at <= _RECENT_OUTAGE


def _contain_failure(
    change: Entry | Removed | ListedChange | OwnKeysListed | EvacuationsListed,
) -> AbstractContextManager[None]:
    """Let an unexpected error cost only this change."""
    told = format_log_fields('change', change)
    if isinstance(change, Entry):
        told['size'] = len(change.value)
    return contain('store changes', _identify(change), **told)


def _identify(
    change: Entry | Removed | ListedChange | OwnKeysListed | EvacuationsListed,
) -> str:
    match change:
        case Entry(key=name) | Removed(key=name):
            return name
        case EntryRefused(upstream=name) | EntryRemoved(upstream=name):
            return name
        case EntryWritten(entry=entry):
            return entry.upstream
        case _:
            return type(change).__name__


def _log_unreadable(unreadable: Unreadable) -> None:
    refused = unreadable.refused
    logger.error(
        'stored value unreadable',
        key=unreadable.key,
        size=unreadable.size,
        field=unreadable.field,
        detail=unreadable.detail,
        **({} if refused is None else format_log_fields('change', refused)),
    )


def _is_failure(result: Result[Listing, StoreFailure]) -> bool:
    return not isinstance(result, Success)
