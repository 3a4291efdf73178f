"""Request copies of one generation's memory, and time them.

The duration of a renewed copy tells whether other copies use the link of the
source engine.
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

#: A renewed copy that takes no longer shows that the link is free: the tokens
#: made since the last copy take 10 to 20 ms, a copy of another generation takes
#: 190 ms or more.
_MAX_QUICK_COPY: Millis = 80


class Copier:
    """Copy one generation's memory, and keep the result of the latest copy.

    :param request_id: the caller's id of the request.
    """

    def __init__(
        self, upstreams: UpstreamPort, clock: Clock, request_id: str
    ) -> None:
        self._upstreams = upstreams
        self._clock = clock
        self._request_id = request_id
        #: Whether the latest copy renewed an earlier one.
        self.renewed = False
        #: Whether it was fast enough to show that no other copy used the link.
        self.link_free = False

    async def copy(
        self,
        state: MoveState,
        target: UpstreamEntry,
        *,
        last: bool,
        timeout: Millis,
    ) -> CopyEnded | CopyRejected | None:
        """Copy to a target, and return the message for the move state machine.

        :param state: state of the move when the copy begins.
        :param last: whether the copy stops the generation.
        :param timeout: maximum wait for the engine's response.
        """
        copy = MemoryCopy(
            self._request_id,
            state.source.address,
            target.address,
            last,
            timeout,
        )
        requested_at = self._clock.now()
        self.renewed = state.phase is MovePhase.REFRESHING
        self.link_free = False
        match await self._upstreams.copy(copy):
            case Success(Copied(handle=handle)):
                took = self._clock.now() - requested_at
                self.link_free = self.renewed and took <= _MAX_QUICK_COPY
                return CopyEnded(handle, last)
            case Failure(CopyFailed(fault=fault, handle=kept_handle)):
                return CopyRejected(fault, kept_handle, last)
        return None
