"""Bound what an instance carries for others by its remaining capacity."""

import trio

from cartdale.clock import SECOND_MS, Clock, Millis, as_seconds

#: Between measurements of the loop's delay.
_TICK: Millis = 100
#: Weight of one measurement in the mean delay.
_WEIGHT = 0.3
#: Mean delay above which the callers of this instance come first.
_MAX_DELAY: Millis = 60
#: Time after which an instance without capacity may be asked again.
RETRY_AFTER: Millis = SECOND_MS // 4
#: Descriptors that a carried request takes: one to each side.
_DESCRIPTORS = 2
#: Share of the descriptors that carried requests may take.
_DESCRIPTOR_SHARE = 0.25


class CarryingCapacity:
    """Tell whether this instance has capacity for requests of others.

    An instance whose processor is busy runs its timers late.

    :param max_descriptors: of this process.
    """

    def __init__(self, clock: Clock, max_descriptors: int) -> None:
        self._clock = clock
        self._max_carried = int(
            max_descriptors * _DESCRIPTOR_SHARE / _DESCRIPTORS
        )
        self._delay: float = 0
        #: Requests that this instance carries now.
        self.carried = 0
        #: Requests that it carried, and refused to carry, since the start.
        self.accepted = 0
        self.refused = 0

    async def run(self) -> None:
        """Measure the delay of timers; never returns."""
        while True:
            due = self._clock.now() + _TICK
            await trio.sleep(as_seconds(_TICK))
            late = max(self._clock.now() - due, 0)
            self._delay += _WEIGHT * (late - self._delay)

    def accept(self) -> bool:
        """Tell whether one more request may be carried, and count it."""
        accepted = (
            self.carried < self._max_carried and self._delay <= _MAX_DELAY
        )
        self.accepted += accepted
        self.refused += not accepted
        self.carried += accepted
        return accepted

    def release(self) -> None:
        """Note that a request is no longer carried."""
        self.carried -= 1
