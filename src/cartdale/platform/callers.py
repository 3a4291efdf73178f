"""Parse callers' requests, and build the headers of refusals."""

import re
from collections.abc import Iterable
from http import HTTPStatus
from math import isfinite

from cartdale.clock import SECOND_MS, Millis
from cartdale.platform.names import (
    HEADER_AUTHORIZATION,
    HEADER_BACKUP,
    HEADER_DEADLINE,
    HEADER_EXPECT,
    HEADER_HINT,
    HEADER_LAST_EVENT,
    HEADER_PARTS,
    HEADER_REQUEST_ID,
    HEADER_RESUME_FROM,
    HEADER_RETRY_AFTER,
    HEADER_TENANT,
    HEADER_TOKENS,
    HEADER_URGENCY,
)
from cartdale.ranges import clamp
from cartdale.relay.types import CallerRequest, Headers

_KEY_SCHEME = 'token'
#: A part of a prompt: its ID in hexadecimal and its number of tokens.
_PART = re.compile('([0-9a-f]+):[0-9]+')
#: Hop-by-hop headers; they are not forwarded.
CONNECTION_HEADERS = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'content-length',
        b'expect',
    ),
)
#: Headers that only cartdale may send to an upstream.
_OWN_HEADERS = frozenset(
    name.encode()
    for name in (
        HEADER_AUTHORIZATION,
        HEADER_BACKUP,
        HEADER_DEADLINE,
        HEADER_EXPECT,
        HEADER_LAST_EVENT,
        HEADER_RESUME_FROM,
        HEADER_TENANT,
        HEADER_URGENCY,
        'expect-version',
        'hold',
        'kv-fetch',
        'pin-ms',
    )
)

_DROPPED_HEADERS = CONNECTION_HEADERS | _OWN_HEADERS


def read_request(
    method: str, target: bytes, headers: Iterable[tuple[bytes, bytes]]
) -> CallerRequest:
    """Parse the head of a request; the body is added later.

    :param headers: header fields with names in lower case.
    """
    values_by_name: dict[str, str] = {}
    forwarded: list[tuple[bytes, bytes]] = []
    listed = list(headers)
    dropped = _DROPPED_HEADERS | _name_connection_options(listed)
    for name, value in listed:
        values_by_name.setdefault(
            name.decode('latin-1'), value.decode('latin-1')
        )
        if name not in dropped:
            forwarded.append((name, value))
    prompt, max_tokens = _read_tokens(values_by_name.get(HEADER_TOKENS, ''))
    return CallerRequest(
        request_id=values_by_name.get(HEADER_REQUEST_ID, ''),
        method=method,
        host=values_by_name.get('host', ''),
        target=target,
        key=_read_key(listed),
        deadline=_read_number(values_by_name.get(HEADER_DEADLINE, '')),
        headers=tuple(forwarded),
        prompt_tokens=prompt,
        max_tokens=max_tokens,
        expected_tokens=_read_number(values_by_name.get(HEADER_HINT, '')),
        last_event=values_by_name.get(HEADER_LAST_EVENT, '').encode('latin-1'),
        shared_parts=_read_shared_parts(values_by_name.get(HEADER_PARTS, '')),
    )


def write_refusal(status: int, retry_after: Millis) -> Headers:
    """Return the headers of a refusal by this instance.

    :param retry_after: delay before a retry; 0 omits the header.
    """
    headers = [(b'content-type', b'application/problem+json')]
    promised = status in {
        HTTPStatus.SERVICE_UNAVAILABLE,
        HTTPStatus.TOO_MANY_REQUESTS,
    }
    if promised and retry_after:
        wait = f'{retry_after / SECOND_MS:.2f}'
        headers.append((HEADER_RETRY_AFTER.encode(), wait.encode()))
    return tuple(headers)


def _name_connection_options(
    headers: list[tuple[bytes, bytes]],
) -> frozenset[bytes]:
    """Return the headers that ``Connection`` declares hop-by-hop."""
    options: set[bytes] = set()
    for name, value in headers:
        if name == b'connection':
            options.update(
                option.strip().lower() for option in value.split(b',')
            )
    return frozenset(options) - {b'host', HEADER_REQUEST_ID.encode()}


def _read_key(headers: list[tuple[bytes, bytes]]) -> str | None:
    """Return the caller's key; empty for none.

    :returns: ``None`` for another scheme, an empty key, or several credentials
        that differ.
    """
    credentials = {
        value.strip()
        for name, value in headers
        if name == HEADER_AUTHORIZATION.encode() and value.strip()
    }
    if not credentials:
        return ''
    credential = credentials.pop().decode('latin-1')
    scheme, _, key = credential.partition(' ')
    if credentials or scheme.lower() != _KEY_SCHEME:
        return None
    return key.strip() or None


def _read_number(raw: str) -> int:
    try:
        number = float(raw)
    except ValueError:
        return 0
    return clamp(number) if isfinite(number) else 0


def _read_tokens(raw: str) -> tuple[int, int]:
    prompt, _, max_tokens = raw.partition(',')
    return _read_number(prompt), _read_number(max_tokens)


def _read_shared_parts(raw: str) -> tuple[str, ...]:
    """Return the IDs of a prompt's parts in normal form, but for the last.

    Malformed entries are skipped. The last ID is left out wherever it occurs.
    """
    names: list[str] = []
    for entry in raw.lower().split(','):
        matched = _PART.fullmatch(entry.strip())
        if matched is not None:
            names.append(matched.group(1).lstrip('0') or '0')
    if not names:
        return ()
    own = names.pop()
    return tuple(name for name in names if name != own)
