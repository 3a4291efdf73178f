"""Free copies of generations that are not resumed from."""

import trio
from loguru import logger

from cartdale.relay.types import UpstreamPort
from cartdale.supervision import contain

#: Copies that wait to be freed; engines also free copies after a timeout.
_MAX_PENDING = 256


class CopyReleaser:
    """Free unused copies sequentially, in the background.

    A generation may end while its copy is made or waits for the stop. The
    target engine would then keep the memory for seconds.
    """

    def __init__(self, upstreams: UpstreamPort) -> None:
        self._upstreams = upstreams
        channel = trio.open_memory_channel[tuple[str, str]](_MAX_PENDING)
        self._sender = channel[0]
        self._receiver = channel[1]

    def add(self, address: str, handle: str) -> None:
        """Queue a copy to be freed.

        :param address: engine that holds it.
        :param handle: handle of the copy.
        """
        try:
            self._sender.send_nowait((address, handle))
        except trio.WouldBlock:
            logger.warning('copy not freed', address=address, handle=handle)

    async def run(self) -> None:
        """Free queued copies until cancelled."""
        async for address, handle in self._receiver:
            logger.info('copy freed', address=address, handle=handle)
            with contain('releases of copies', address=address):
                await self._upstreams.release_copy(address, handle)
