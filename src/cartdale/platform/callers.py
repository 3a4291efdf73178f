"""Translate callers' requests from the platform's headers."""

from collections.abc import Iterable
from http import HTTPStatus

from cartdale.clock import SECOND_MS, Millis
from cartdale.platform.names import (
    HEADER_AUTHORIZATION,
    HEADER_BACKUP,
    HEADER_DEADLINE,
    HEADER_EXPECT,
    HEADER_HINT,
    HEADER_LAST_EVENT,
    HEADER_REQUEST_ID,
    HEADER_RESUME_FROM,
    HEADER_RETRY_AFTER,
    HEADER_TENANT,
    HEADER_TOKENS,
    HEADER_URGENCY,
)
from cartdale.relay.types import CallerRequest, Headers

_KEY_SCHEME = 'token '
#: Headers of one connection only; they are not forwarded.
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
#: Headers that only cartdale may set towards an upstream.
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
    """Read the head of a request; the body is added later.

    :param headers: names in lower case.
    """
    named: dict[str, str] = {}
    forwarded: list[tuple[bytes, bytes]] = []
    listed = list(headers)
    dropped = _DROPPED_HEADERS | _name_connection_options(listed)
    for name, value in listed:
        named.setdefault(name.decode('latin-1'), value.decode('latin-1'))
        if name not in dropped:
            forwarded.append((name, value))
    prompt, most = _read_tokens(named.get(HEADER_TOKENS, ''))
    return CallerRequest(
        request_id=named.get(HEADER_REQUEST_ID, ''),
        method=method,
        host=named.get('host', ''),
        target=target,
        key=_read_key(named.get(HEADER_AUTHORIZATION, '')),
        deadline=_read_number(named.get(HEADER_DEADLINE, '')),
        headers=tuple(forwarded),
        prompt_tokens=prompt,
        max_tokens=most,
        expected_tokens=_read_number(named.get(HEADER_HINT, '')),
        last_event=named.get(HEADER_LAST_EVENT, '').encode('latin-1'),
    )


def write_refusal(status: int, retry_after: Millis) -> Headers:
    """Return the headers of an answer of our own.

    :param retry_after: when to come back; 0 to say nothing.
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
    """Return the headers that ``Connection`` says are for this hop only."""
    options: set[bytes] = set()
    for name, value in headers:
        if name == b'connection':
            options.update(
                option.strip().lower() for option in value.split(b',')
            )
    return frozenset(options) - {b'host', HEADER_REQUEST_ID.encode()}


def _read_key(raw: str) -> str:
    if not raw.lower().startswith(_KEY_SCHEME):
        return raw
    return raw[len(_KEY_SCHEME) :].strip()


def _read_number(raw: str) -> int:
    try:
        return max(0, int(float(raw)))
    except (ValueError, OverflowError):
        return 0


def _read_tokens(raw: str) -> tuple[int, int]:
    prompt, _, most = raw.partition(',')
    return _read_number(prompt), _read_number(most)
