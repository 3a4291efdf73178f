"""Ask instances that already run, while the store does not answer a new one."""

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
from cartdale.transport import (
    HTTPCORE_NOT_SENT_ERRORS,
    HTTPCORE_UNKNOWN_OUTCOME_ERRORS,
)

#: The store answers a healthy start within a few milliseconds; one that takes
#: this long is asked beside the others.
_STORE_HEAD_START: Millis = 40
#: Between rounds of questions, and the longest wait for an answer.
_ASK_EVERY: Millis = 250
_PATIENCE: Millis = 500

_ACCEPTED = ', '.join(ENCODINGS).encode()
_NO_ANSWER = (
    *HTTPCORE_NOT_SENT_ERRORS,
    *HTTPCORE_UNKNOWN_OUTCOME_ERRORS,
    trio.TooSlowError,
)

Take = Callable[[Briefing], None]


class BriefingClient:
    """Ask others until this instance knows what it needs.

    :param pool: connections to other instances.
    :param addresses: ``IP:PORT`` of instances that may be down.
    :param take: takes a briefing over; it must only go forward, since
        several answer and the store may be ahead of them.
    :param knows_enough: tells whether it does.
    """

    def __init__(
        self,
        pool: httpcore.AsyncConnectionPool,
        addresses: Iterable[str],
        clock: Clock,
        take: Take,
        knows_enough: Callable[[], bool],
    ) -> None:
        self._pool = pool
        self._addresses = tuple(addresses)
        self._clock = clock
        self._take = take
        self._knows_enough = knows_enough

    async def run(self) -> None:
        """Ask until it knows what it needs, from others or the store."""
        await trio.sleep(as_seconds(_STORE_HEAD_START))
        while self._addresses and not self._knows_enough():
            async with trio.open_nursery() as nursery:
                for address in self._addresses:
                    nursery.start_soon(self._ask, address)
            await trio.sleep(as_seconds(_ASK_EVERY))

    async def _ask(self, address: str) -> None:
        key = secrets.token_bytes(KEY_BYTES)
        try:
            with trio.fail_after(as_seconds(_PATIENCE)):
                response = await self._pool.request(
                    'POST',
                    f'http://{address}{PATH}',
                    headers=[(ACCEPT_HEADER, _ACCEPTED)],
                    content=key,
                )
        except _NO_ANSWER as error:
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
        self._take(briefing)
