"""Client that gets a briefing from running instances at startup.

It lets a new instance start while the store does not respond.
"""

import secrets
from collections.abc import Callable, Iterable

import httpcore
import trio
from loguru import logger

from cartdale.briefing.app import (
    ACCEPT_HEADER,
    KEY_BYTES,
    PATH,
    open_briefing,
)
from cartdale.briefing.types import Briefing
from cartdale.clock import Clock, Millis, as_seconds
from cartdale.peers.documents import ENCODINGS
from cartdale.supervision import run_guarded
from cartdale.transport import (
    HTTPCORE_NOT_SENT_ERRORS,
    HTTPCORE_UNKNOWN_OUTCOME_ERRORS,
)

#: Delay before the first requests to peers. A healthy store responds within a
#: few milliseconds; after this delay, peers are queried in parallel with it.
_STORE_HEAD_START: Millis = 40
#: Pause between rounds of requests.
_REQUEST_INTERVAL: Millis = 250
_RESPONSE_TIMEOUT: Millis = 500

_ACCEPTED = ', '.join(ENCODINGS).encode()
_REQUEST_ERRORS = (
    *HTTPCORE_NOT_SENT_ERRORS,
    *HTTPCORE_UNKNOWN_OUTCOME_ERRORS,
    trio.TooSlowError,
)

ApplyBriefing = Callable[[Briefing], None]


class BriefingClient:
    """Request briefings until this instance has the data that it needs.

    :param pool: connections to other instances.
    :param addresses: ``IP:PORT`` of other instances, which may be down.
    :param apply_briefing: applies a briefing; it must never replace newer
        data, since several instances respond and the store may be ahead of
        them.
    :param knows_enough: returns whether this instance has the data that it
        needs.
    """

    def __init__(
        self,
        pool: httpcore.AsyncConnectionPool,
        addresses: Iterable[str],
        clock: Clock,
        apply_briefing: ApplyBriefing,
        knows_enough: Callable[[], bool],
    ) -> None:
        self._pool = pool
        self._addresses = tuple(addresses)
        self._clock = clock
        self._apply_briefing = apply_briefing
        self._knows_enough = knows_enough

    async def run(self) -> None:
        """Send requests until peers or the store have provided the data."""
        await trio.sleep(as_seconds(_STORE_HEAD_START))
        while self._addresses and not self._knows_enough():
            async with trio.open_nursery() as nursery:
                for address in self._addresses:
                    nursery.start_soon(
                        run_guarded,
                        'requests of briefings',
                        self._request_briefing,
                        address,
                    )
            await trio.sleep(as_seconds(_REQUEST_INTERVAL))

    async def _request_briefing(self, address: str) -> None:
        key = secrets.token_bytes(KEY_BYTES)
        try:
            with trio.fail_after(as_seconds(_RESPONSE_TIMEOUT)):
                response = await self._pool.request(
                    'POST',
                    f'http://{address}{PATH}',
                    headers=[(ACCEPT_HEADER, _ACCEPTED)],
                    content=key,
                )
        except _REQUEST_ERRORS as error:
            logger.info(
                'no briefing', address=address, error=type(error).__name__
            )
            return
        briefing = open_briefing(response.content, key, self._clock.wall_time())
        if briefing is None:
            logger.warning(
                'briefing unreadable', address=address, status=response.status
            )
            return
        logger.info(
            'briefed',
            address=address,
            document_bytes=len(briefing.document),
            peers=len(briefing.peers),
            upstreams=len(briefing.entries),
        )
        self._apply_briefing(briefing)
