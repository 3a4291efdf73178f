"""Ask for copies of one generation's memory, and time them.

How long a renewed copy takes tells whether others use the link of the engine
that it comes from.
"""

from returns.result import Failure, Success

from cartdale.clock import Clock, Millis
from cartdale.fleet.types import UpstreamEntry
from cartdale.moves.types import (
    CopyEnded,
    CopyRejected,
    MovePhase,
    MoveState,
)
from cartdale.relay.types import (
    Copied,
    CopyFailed,
    MemoryCopy,
    UpstreamPort,
)

#: A renewed copy that took no longer shows that the link is free: what was
#: made since the copy before takes 10 to 20 ms, another's copy 190 and more.
_QUICK_COPY: Millis = 80


class Copier:
    """Copy one generation's memory, and remember how the newest copy went.

    :param request_id: the caller's id of the request.
    """

    def __init__(
        self, upstreams: UpstreamPort, clock: Clock, request_id: str
    ) -> None:
        self._upstreams = upstreams
        self._clock = clock
        self._request_id = request_id
        #: Whether the newest copy renewed another.
        self.renewed = False
        #: Whether it did so quickly, so that nobody else used the link.
        self.link_free = False

    async def copy(
        self,
        state: MoveState,
        target: UpstreamEntry,
        *,
        last: bool,
        timeout: Millis,
    ) -> CopyEnded | CopyRejected | None:
        """Copy to a target, and return what to tell of it.

        :param state: where the generation stands when the copy begins.
        :param last: whether the copy stops the generation.
        :param timeout: longest wait for the engine's answer.
        """
        copy = MemoryCopy(
            self._request_id,
            state.source.address,
            target.address,
            last,
            timeout,
        )
        asked_at = self._clock.now()
        self.renewed = state.phase is MovePhase.REFRESHING
        self.link_free = False
        match await self._upstreams.copy(copy):
            case Success(Copied(handle=handle)):
                took = self._clock.now() - asked_at
                self.link_free = self.renewed and took <= _QUICK_COPY
                return CopyEnded(handle)
            case Failure(CopyFailed(fault=fault, handle=kept)):
                return CopyRejected(fault, kept)
        return None
