"""Free copies of generations that nobody goes on from."""

import trio
from loguru import logger

from cartdale.relay.types import UpstreamPort

#: Copies that wait to be freed; an engine frees them after its own time too.
_MOST_WAITING = 256


class CopyReleaser:
    """Free unused copies, one after another, beside the requests.

    A generation may end while its copy is made or waits for the stop; the
    engine that got it would keep the memory for seconds.
    """

    def __init__(self, upstreams: UpstreamPort) -> None:
        self._upstreams = upstreams
        ends = trio.open_memory_channel[tuple[str, str]](_MOST_WAITING)
        self._put = ends[0]
        self._take = ends[1]

    def add(self, address: str, handle: str) -> None:
        """Have a copy freed soon.

        :param address: engine that holds it.
        :param handle: the copy's name.
        """
        try:
            self._put.send_nowait((address, handle))
        except trio.WouldBlock:
            logger.warning('copy not freed', address=address, handle=handle)

    async def run(self) -> None:
        """Free what was added, for ever."""
        async for address, handle in self._take:
            logger.info('copy freed', address=address, handle=handle)
            await self._upstreams.release_copy(address, handle)
