"""Adapter to a key-value service that speaks the etcd v3 JSON gateway."""

from collections import Counter
from collections.abc import AsyncIterator, Callable, Iterable, Iterator
from functools import partial
from http import HTTPStatus
from typing import TypeVar, assert_never

import httpx
import trio
from loguru import logger
from returns.result import Failure, Result, Success

from cartdale.bodies import take_turns
from cartdale.client_transport import HTTPX_NOT_SENT_ERRORS, send_traced
from cartdale.clock import SECOND_MS, Millis, as_seconds
from cartdale.codec import decode_integer, decode_json, decode_text, encode_json
from cartdale.exceptions import UndecodableError
from cartdale.formatting import format_error
from cartdale.ranges import clamp
from cartdale.store import wire
from cartdale.store.types import (
    Committed,
    Compare,
    CompareFailed,
    Delete,
    Entry,
    LeaseLost,
    Listing,
    Put,
    StoreFailure,
    StoreUnavailable,
    TransactionOutcome,
    Write,
    WriteUnknown,
)
from cartdale.transport import MAX_ANSWER

Answer = TypeVar('Answer')
Converted = TypeVar('Converted')

_REFUSED = frozenset(
    (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE),
)


class EtcdStore:
    """Reach one etcd endpoint over a shared HTTP client.

    :param client: client whose base URL is the endpoint.
    :param timeout: longest wait for an answer, in milliseconds.
    """

    def __init__(self, client: httpx.AsyncClient, timeout: Millis) -> None:
        self._client = client
        self._timeout = as_seconds(timeout)
        self.calls_by_path: Counter[str] = Counter()

    async def fetch(
        self, prefix: str, start: str = '', limit: int = 0
    ) -> Result[Listing, StoreFailure]:
        """Read the keys with a prefix, from ``start`` on, in key order."""
        request = wire.RangeRequest(
            key=wire.pack(start or prefix),
            range_end=wire.pack(wire.end_of_prefix(prefix)),
            limit=str(limit),
        )
        answer = await self._read(wire.PATH_RANGE, request, wire.RangeResponse)
        return answer.bind(partial(_convert, _to_listing)).alt(_harmless)

    async def transact(
        self, compares: tuple[Compare, ...], writes: tuple[Write, ...]
    ) -> Result[TransactionOutcome, StoreFailure]:
        """Apply all writes if all comparisons hold."""
        request = wire.TxnRequest(
            compare=tuple(_to_clause(compare) for compare in compares),
            success=tuple(_to_operation(write) for write in writes),
        )
        answer = await self._write(wire.PATH_TXN, request, wire.TxnResponse)
        return answer.bind(partial(_convert, _to_outcome))

    async def grant(self, ttl: Millis) -> Result[int, StoreFailure]:
        """Create a lease and return its id."""
        request = wire.LeaseGrantRequest(ttl=str(ttl // SECOND_MS))
        answer = await self._write(
            wire.PATH_LEASE_GRANT, request, wire.LeaseResponse
        )
        return answer.bind(partial(_convert, _to_lease))

    async def keep_alive(self, lease: int) -> Result[Millis, StoreFailure]:
        """Renew a lease and return its time to live."""
        request = wire.LeaseIdRequest(lease=str(lease))
        answer = await self._write(
            wire.PATH_LEASE_KEEP_ALIVE, request, wire.KeepAliveResponse
        )
        ttl = answer.bind(partial(_convert, _to_ttl))
        if ttl == Success(0):
            return Failure(LeaseLost(lease))
        return ttl

    async def revoke(self, lease: int) -> Result[None, StoreFailure]:
        """End a lease and remove its keys."""
        request = wire.LeaseIdRequest(lease=str(lease))
        answer = await self._write(
            wire.PATH_LEASE_REVOKE, request, wire.LeaseResponse
        )
        return answer.map(_to_nothing)

    async def wait_change(
        self, key: str, after: int, timeout: Millis
    ) -> Result[bool, StoreFailure]:
        """Wait until a key is written after a store revision.

        :param timeout: give up and return ``False`` after so long.
        """
        self.calls_by_path[wire.PATH_WATCH] += 1
        create = wire.WatchCreate(wire.pack(key), str(after + 1))
        body = encode_json(wire.WatchRequest(create))
        with trio.move_on_after(as_seconds(timeout)):
            return await self._watch(body)
        return Success(False)

    async def _watch(self, body: bytes) -> Result[bool, StoreFailure]:
        try:
            return await self._read_watch(body)
        except (httpx.HTTPError, UndecodableError) as error:
            return Failure(StoreUnavailable(format_error(error)))

    async def _read_watch(self, body: bytes) -> Result[bool, StoreFailure]:
        stream = self._client.stream(
            'POST', wire.PATH_WATCH, content=body, timeout=None
        )
        async with stream as response:
            if not response.is_success:
                return Failure(StoreUnavailable(str(response.status_code)))
            async for line in _read_lines(response):
                if decode_json(line, wire.WatchResponse).result.events:
                    return Success(True)
        return Failure(StoreUnavailable('the watch ended'))

    async def _read(
        self, path: str, request: object, shape: type[Answer]
    ) -> Result[Answer, StoreFailure]:
        answer = await self._write(path, request, shape)
        return answer.alt(_harmless)

    async def _write(
        self, path: str, request: object, shape: type[Answer]
    ) -> Result[Answer, StoreFailure]:
        self.calls_by_path[path] += 1
        outgoing = self._client.build_request(
            'POST', path, content=encode_json(request), timeout=self._timeout
        )
        try:
            response = await send_traced(self._client, outgoing)
        except HTTPX_NOT_SENT_ERRORS as error:
            return Failure(StoreUnavailable(format_error(error)))
        except httpx.HTTPError as late_error:
            return Failure(WriteUnknown(format_error(late_error)))
        return _decode(response, shape)


async def _read_lines(response: httpx.Response) -> AsyncIterator[bytes]:
    """Iterate over the lines of a watch.

    :raises httpx.RemoteProtocolError: if one is larger than ``MAX_ANSWER``.
    """
    pending = bytearray()
    async for part in take_turns(response.aiter_raw()):
        *ended, rest = part.split(b'\n')
        for end in ended:
            yield bytes(pending + end)
            pending.clear()
        pending += rest
        if len(pending) > MAX_ANSWER:
            raise httpx.RemoteProtocolError(f'over {MAX_ANSWER} bytes')


def _decode(
    response: httpx.Response, shape: type[Answer]
) -> Result[Answer, StoreFailure]:
    if response.status_code in _REFUSED:
        return Failure(StoreUnavailable(str(response.status_code)))
    if not response.is_success:
        return Failure(WriteUnknown(str(response.status_code)))
    try:
        return Success(decode_json(response.content, shape))
    except UndecodableError as error:
        return Failure(WriteUnknown(format_error(error)))


def _convert(
    convert: Callable[[Answer], Converted], answer: Answer
) -> Result[Converted, StoreFailure]:
    """Convert an answer whose fields may be malformed."""
    try:
        return Success(convert(answer))
    except UndecodableError as error:
        return Failure(WriteUnknown(format_error(error)))


def _to_listing(response: wire.RangeResponse) -> Listing:
    entries = tuple(_read_entries(response.kvs))
    revision = decode_integer(response.header.revision)
    return Listing(entries, revision, response.more)


def _read_entries(rows: Iterable[wire.KeyValue]) -> Iterator[Entry]:
    """Decode rows; those that are malformed are left out."""
    for row in rows:
        try:
            yield Entry(
                key=decode_text(wire.unpack(row.key)),
                value=wire.unpack(row.value),
                mod_revision=decode_integer(row.mod_revision),
                create_revision=decode_integer(row.create_revision),
            )
        except UndecodableError as error:
            logger.error(
                'stored row unreadable',
                key=row.key,
                size=len(row.value),
                detail=error.detail,
            )


def _to_clause(compare: Compare) -> wire.CompareClause:
    return wire.CompareClause(
        key=wire.pack(compare.key), mod_revision=str(compare.mod_revision)
    )


def _to_operation(write: Write) -> wire.RequestOp:
    match write:
        case Put(key=key, value=value, lease=lease):
            put = wire.PutRequest(wire.pack(key), wire.pack(value), str(lease))
            return wire.RequestOp(request_put=put)
        case Delete(key=key):
            removal = wire.DeleteRangeRequest(wire.pack(key))
            return wire.RequestOp(request_delete_range=removal)
        case _:
            assert_never(write)


def _to_outcome(response: wire.TxnResponse) -> TransactionOutcome:
    revision = decode_integer(response.header.revision)
    if response.succeeded:
        return Committed(revision)
    return CompareFailed(revision)


def _to_lease(response: wire.LeaseResponse) -> int:
    return decode_integer(response.lease)


def _to_ttl(response: wire.KeepAliveResponse) -> Millis:
    return clamp(decode_integer(response.result.ttl) * SECOND_MS)


def _to_nothing(_: wire.LeaseResponse) -> None:
    """Drop an answer that carries nothing."""


def _harmless(failure: StoreFailure) -> StoreFailure:
    if isinstance(failure, WriteUnknown):
        return StoreUnavailable(failure.detail)
    return failure
