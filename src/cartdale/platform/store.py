"""Client of the platform's key-value store, which uses JSON over HTTP."""

import base64
from collections import Counter
from functools import partial
from http import HTTPStatus
from string import digits
from typing import TypeVar
from urllib.parse import urlencode

import httpcore
from returns.result import Failure, Result, Success

from cartdale.clock import SECOND_MS, Millis
from cartdale.codec import decode_json, encode_json
from cartdale.exceptions import UndecodableError
from cartdale.formatting import format_error
from cartdale.platform.eras import (
    EraTracker,
    decode_era,
    decode_revision,
    encode_revision,
    read_era,
)
from cartdale.platform.pools import make_pool
from cartdale.platform.settings import Endpoint
from cartdale.platform.store_shapes import (
    Events,
    Expectation,
    LeaseAnswer,
    LeaseRequest,
    Page,
    StoredItem,
    StoredPut,
    TransactionRequest,
    Written,
    decode_rows,
)
from cartdale.store.types import (
    Changes,
    Committed,
    Compare,
    CompareFailed,
    Entry,
    HistoryLost,
    LeaseLost,
    Listing,
    Put,
    Removed,
    StoreFailure,
    StoreUnavailable,
    TransactionOutcome,
    WatchCut,
    Write,
    WriteUnknown,
)
from cartdale.transport import (
    HTTPCORE_NOT_SENT_ERRORS,
    HTTPCORE_UNKNOWN_OUTCOME_ERRORS,
    find_longest,
    make_timeouts,
    read_answer,
)

_PATH_RANGE = '/cartdale/kv-range'
_PATH_WATCH = '/cartdale/kv-watch'
_PATH_TRANSACT = '/cartdale/kv-txn'
_PATH_GRANT = '/cartdale/kv-lease'
_PATH_RENEW = '/cartdale/kv-keep/'
_PATH_REVOKE = '/cartdale/kv-lease-end/'

#: Maximum delay of a long-poll response before the watch counts as lost.
_MAX_WATCH_DELAY: Millis = SECOND_MS // 2

#: A page of many keys may come slowly over a link that others fill.
_MAX_PAGE_TIME: Millis = 10 * SECOND_MS

#: Statuses which mean that the call had no effect.
_NO_EFFECT_STATUSES = frozenset(
    (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE),
)

Answer = TypeVar('Answer')


class PlatformStore:
    """Client of the platform's store.

    :param pool: pool of kept-alive connections.
    :param address: endpoint of the store.
    :param timeout: maximum wait for a response, in milliseconds.
    """

    def __init__(
        self,
        pool: httpcore.AsyncConnectionPool,
        address: Endpoint,
        timeout: Millis,
    ) -> None:
        self._pool = pool
        self._address = address
        self._timeout = timeout
        self._eras = EraTracker()
        #: The era in which each lease of this instance was granted: lease ids
        #: may be assigned again after a restore.
        self._eras_by_lease: dict[int, int] = {}
        self.calls_by_path: Counter[str] = Counter()

    async def fetch(
        self, prefix: str, start: str = '', limit: int = 0
    ) -> Result[Listing, StoreFailure]:
        """Read a page of the keys with a prefix, after the key ``start``.

        :param limit: ignored; this store applies a limit of its own.
        """
        params = {'pathPrefix': prefix}
        if start:
            params['sinceRevision'] = start
        answer = await self._call('GET', _PATH_RANGE, params=params)
        return answer.bind(_read_page).alt(_as_unavailable)

    async def watch(
        self, prefix: str, after: int, timeout: Millis
    ) -> Result[Changes, StoreFailure]:
        """Wait for changes after a revision, at most ``timeout``."""
        era = decode_era(after)
        if era != self._eras.current:
            return Failure(HistoryLost())
        params = {
            'pathPrefix': prefix,
            'sinceRevision': str(decode_revision(after)),
            'waitMs': str(timeout),
        }
        answer = await self._call(
            'GET',
            _PATH_WATCH,
            params=params,
            timeout=timeout + _MAX_WATCH_DELAY,
        )
        read = partial(_read_events, watched_era=era)
        return answer.alt(_as_watch_failure).bind(read).alt(_as_unavailable)

    async def transact(
        self, compares: tuple[Compare, ...], writes: tuple[Write, ...]
    ) -> Result[TransactionOutcome, StoreFailure]:
        """Apply all writes if all comparisons hold."""
        if any(self._is_of_earlier_era(compare) for compare in compares):
            return Success(CompareFailed(0))
        puts = [write for write in writes if isinstance(write, Put)]
        request = TransactionRequest(
            expected_revision=tuple(
                Expectation(compare.key, decode_revision(compare.mod_revision))
                for compare in compares
            ),
            writes=tuple(
                StoredPut(
                    put.key, base64.b64encode(put.value).decode(), put.lease
                )
                for put in puts
            ),
            remove=tuple(
                write.key for write in writes if not isinstance(write, Put)
            ),
        )
        answer = await self._call('POST', _PATH_TRANSACT, request)
        leases = [put.lease for put in puts if put.lease]
        return answer.bind(lambda response: _read_written(response, leases))

    async def grant(self, ttl: Millis) -> Result[int, StoreFailure]:
        """Create a lease and return its id."""
        answer = await self._call('POST', _PATH_GRANT, LeaseRequest(ttl))
        granted = answer.bind(lambda response: _read_lease(response, 0)).map(
            lambda lease: lease.lease
        )
        if isinstance(granted, Success):
            self._eras_by_lease[granted.unwrap()] = self._eras.current
        return granted

    async def keep_alive(self, lease: int) -> Result[Millis, StoreFailure]:
        """Renew a lease and return its time to live."""
        answer = await self._call('POST', f'{_PATH_RENEW}{lease}')
        if isinstance(answer, Success) and self._has_lost(lease):
            return Failure(LeaseLost(lease))
        return answer.bind(lambda response: _read_lease(response, lease)).map(
            lambda renewed: int(renewed.ttl_ms)
        )

    async def revoke(self, lease: int) -> Result[None, StoreFailure]:
        """End a lease and remove its keys."""
        if self._has_lost(lease):
            return Failure(LeaseLost(lease))
        self._eras_by_lease.pop(lease, None)
        answer = await self._call('DELETE', f'{_PATH_REVOKE}{lease}')
        return answer.map(lambda _: None)

    def _has_lost(self, lease: int) -> bool:
        """Return whether a lease id may have been reassigned by a restore."""
        return (
            self._eras_by_lease.get(lease, self._eras.current)
            != self._eras.current
        )

    def _is_of_earlier_era(self, compare: Compare) -> bool:
        """Return whether a condition names a revision of an earlier era."""
        known = compare.mod_revision
        return bool(known) and decode_era(known) != self._eras.current

    async def _call(
        self,
        method: str,
        path: str,
        request: object = None,
        params: dict[str, str] | None = None,
        timeout: Millis = 0,
    ) -> Result[httpcore.Response, StoreFailure]:
        # The paths of calls on a lease end with its id.
        self.calls_by_path[path.rstrip(digits)] += 1
        changes = self._eras.changes
        body = b'' if request is None else encode_json(request)
        wait = timeout or self._timeout
        try:
            opened = self._pool.stream(
                method,
                self._make_url(path, params),
                content=body,
                headers={'content-type': 'application/json'},
                extensions=make_timeouts(wait),
            )
            longest = _MAX_PAGE_TIME if path == _PATH_RANGE else 0
            response = await read_answer(opened, longest or find_longest(wait))
        except HTTPCORE_NOT_SENT_ERRORS as error:
            return Failure(StoreUnavailable(format_error(error)))
        except HTTPCORE_UNKNOWN_OUTCOME_ERRORS as late_error:
            timed_out = isinstance(late_error, httpcore.TimeoutException)
            return Failure(WriteUnknown(format_error(late_error), timed_out))
        self._eras.update(response, changes)
        if response.status in _NO_EFFECT_STATUSES:
            return Failure(StoreUnavailable(str(response.status)))
        return Success(response)

    def _make_url(
        self, path: str, params: dict[str, str] | None
    ) -> httpcore.URL:
        target = f'{path}?{urlencode(params)}' if params else path
        return httpcore.URL(
            scheme='http',
            host=self._address.address,
            port=self._address.port,
            target=target,
        )


def make_store(address: Endpoint, timeout: Millis) -> PlatformStore:
    """Return a client of the platform's store with its own connection pool.

    :param timeout: maximum wait for a response.
    """
    return PlatformStore(make_pool(), address, timeout)


def _as_watch_failure(failure: StoreFailure) -> StoreFailure:
    """Tell a watch that was cut from one that the store left unanswered."""
    match failure:
        case WriteUnknown(detail=detail, timed_out=False):
            return WatchCut(detail)
        case _:
            return failure


def _as_unavailable(failure: StoreFailure) -> StoreFailure:
    """Turn an unknown outcome into a plain failure: a read changes nothing."""
    if isinstance(failure, WriteUnknown):
        return StoreUnavailable(failure.detail)
    return failure


def _decode(
    response: httpcore.Response, shape: type[Answer]
) -> Result[Answer, StoreFailure]:
    if response.status != HTTPStatus.OK:
        return Failure(WriteUnknown(f'status {response.status}'))
    try:
        return Success(decode_json(response.content, shape))
    except UndecodableError as error:
        return Failure(WriteUnknown(str(error)))


def _read_page(response: httpcore.Response) -> Result[Listing, StoreFailure]:
    era = read_era(response)
    return _decode(response, Page).bind(partial(_to_listing, era=era))


def _to_listing(page: Page, era: int) -> Result[Listing, StoreFailure]:
    """Decode the rows of a page, unless none names where the next one begins.

    Without the following pages all their keys would count as removed.
    """
    entries = tuple(_to_entry(stored, era) for stored in decode_rows(page.rows))
    if page.truncated and not entries:
        return Failure(StoreUnavailable('a page without a readable key'))
    revision = encode_revision(page.as_of, era)
    return Success(Listing(entries, revision, page.truncated, era))


def _read_events(
    response: httpcore.Response, watched_era: int
) -> Result[Changes, StoreFailure]:
    """Parse the changes, unless the store was restored in the meantime.

    :param watched_era: era of the revision that the watch started from.
    """
    era = read_era(response)
    if response.status == HTTPStatus.GONE or era != watched_era:
        return Failure(HistoryLost())
    return _decode(response, Events).map(
        lambda answer: Changes(
            tuple(
                _to_change(event, era) for event in decode_rows(answer.events)
            ),
            encode_revision(answer.as_of, era),
        )
    )


def _read_written(
    response: httpcore.Response, leases: list[int]
) -> Result[TransactionOutcome, StoreFailure]:
    if response.status == HTTPStatus.PRECONDITION_FAILED:
        return _decode_conflict(response)
    if response.status == HTTPStatus.NOT_FOUND:
        return Failure(LeaseLost(leases[0] if leases else 0))
    era = read_era(response)
    return _decode(response, Written).map(
        lambda written: Committed(encode_revision(written.revision, era))
    )


def _decode_conflict(
    response: httpcore.Response,
) -> Result[TransactionOutcome, StoreFailure]:
    """Parse a conflict, whose body has the shape of a page."""
    try:
        found = decode_json(response.content, Page)
    except UndecodableError as error:
        return Failure(WriteUnknown(str(error)))
    era = read_era(response)
    entries = tuple(
        _to_entry(stored, era)
        for stored in decode_rows(found.rows)
        if stored.value
    )
    return Success(CompareFailed(encode_revision(found.as_of, era), entries))


def _read_lease(
    response: httpcore.Response, lease: int
) -> Result[LeaseAnswer, StoreFailure]:
    if response.status == HTTPStatus.NOT_FOUND:
        return Failure(LeaseLost(lease))
    return _decode(response, LeaseAnswer)


def _to_entry(stored: StoredItem, era: int) -> Entry:
    return Entry(
        stored.key,
        stored.decode(),
        encode_revision(stored.revision, era),
        encode_revision(stored.created, era),
    )


def _to_change(event: StoredItem, era: int) -> Entry | Removed:
    if event.deleted:
        return Removed(event.key, encode_revision(event.revision, era))
    return _to_entry(event, era)
