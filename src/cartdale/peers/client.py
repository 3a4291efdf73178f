"""Client for requests to other instances, signed in both directions."""

from dataclasses import dataclass
from statistics import median
from typing import Generic, TypeVar

import httpcore
from returns.result import Failure, Result, Success

from cartdale.clock import Clock, Millis, as_seconds
from cartdale.codec import decode_binary
from cartdale.exceptions import UndecodableError
from cartdale.formatting import format_error
from cartdale.peers.authentication import Authenticator, Envelope, wrap
from cartdale.transport import (
    HTTPCORE_NOT_SENT_ERRORS,
    HTTPCORE_UNKNOWN_OUTCOME_ERRORS,
    find_longest,
    read_answer,
)

PATH = '/peer/v1/messages'

Reply = TypeVar('Reply')

_MIN_OFFSETS = 2
#: Time for which a peer's clock counts after it was measured, unless there are
#: too few others: the peer may have gone. Each round of gossip measures one.
_MEASUREMENT_LIFETIME: Millis = 20_000


@dataclass(frozen=True, slots=True)
class PeerNotReached:
    """The request was not sent."""

    detail: str


@dataclass(frozen=True, slots=True)
class PeerUncertain:
    """The outcome is unknown: the peer may have handled the message."""

    detail: str


PeerFailure = PeerNotReached | PeerUncertain


@dataclass(frozen=True, slots=True)
class PeerClock:
    """A peer's wall clock, measured against this instance's monotonic clock.

    :param ahead: what the peer's wall clock showed in excess of the other.
    :param measured_at: in monotonic milliseconds.
    """

    ahead: Millis
    measured_at: Millis


@dataclass(frozen=True, slots=True)
class VerifiedMessage(Generic[Reply]):
    """Hold a genuine message and the peer that sent it."""

    sender: str
    message: Reply


class PeerClient:
    """Send signed messages to other instances.

    :param name: this instance's name.
    :param timeout: default response timeout, in milliseconds.
    """

    def __init__(
        self,
        client: httpcore.AsyncConnectionPool,
        name: str,
        authenticator: Authenticator,
        clock: Clock,
        timeout: Millis,
    ) -> None:
        self._client = client
        self._name = name
        self._clock = clock
        self._timeout = timeout
        self.authenticator = authenticator
        self.sent_bytes = 0
        self.received_bytes = 0
        #: In the order in which they were measured.
        self._clocks_by_peer: dict[str, PeerClock] = {}

    async def request(
        self,
        peer: str,
        address: str,
        message: object,
        shape: type[Reply],
        timeout: Millis = 0,
        *,
        times_clock: bool = False,
    ) -> Result[Reply, PeerFailure]:
        """Send a message and wait for the response.

        :param timeout: response timeout; 0 uses the client's default.
        :param times_clock: whether the peer responds immediately, so that the
            response can be used to estimate its clock offset.
        """
        signed = self.sign_message(peer, message)
        wait = timeout or self._timeout
        sent_at = self._clock.now()
        self.sent_bytes += len(signed)
        try:
            opened = self._client.stream(
                'POST',
                f'{address}{PATH}',
                content=signed,
                extensions=_make_extensions(wait),
            )
            response = await read_answer(opened, find_longest(wait))
        except HTTPCORE_NOT_SENT_ERRORS as error:
            return Failure(PeerNotReached(format_error(error)))
        except HTTPCORE_UNKNOWN_OUTCOME_ERRORS as late_error:
            return Failure(PeerUncertain(format_error(late_error)))
        self.received_bytes += len(response.content)
        envelope = self._verify(response.content, shape)
        if envelope is None or envelope.sender != peer:
            return Failure(PeerUncertain('the answer is not genuine'))
        if times_clock:
            self._record_clock(peer, envelope.wall_ms, sent_at)
        try:
            return Success(decode_binary(bytes(envelope.body), shape))
        except UndecodableError as error:
            return Failure(PeerUncertain(format_error(error)))

    def sign_message(self, recipient: str, message: object) -> bytes:
        """Return a message to a peer, wrapped and signed."""
        wall = self._clock.wall_time()
        return self.authenticator.sign(
            wrap(self._name, recipient, message, wall)
        )

    def open_message(
        self, signed: bytes, shape: type[Reply]
    ) -> VerifiedMessage[Reply] | None:
        """Return a message to this instance; ``None`` if it is not genuine."""
        envelope = self._verify(signed, shape)
        if envelope is None:
            return None
        try:
            message = decode_binary(bytes(envelope.body), shape)
        except UndecodableError:
            return None
        return VerifiedMessage(envelope.sender, message)

    def clock_error(self) -> Millis:
        """Return the absolute median offset between this clock and the peers'.

        A step of this instance's wall clock shows at once, since the peers'
        clocks are measured against its monotonic clock. Returns 0 while fewer
        than two peers have been measured.
        """
        clocks = self._clocks_by_peer.values()
        if len(clocks) < _MIN_OFFSETS:
            return 0
        own = self._measure_own()
        return int(abs(median(clock.ahead for clock in clocks) - own))

    def _measure_own(self) -> Millis:
        """Return how far the wall clock is ahead of the monotonic one.

        Both are cut to milliseconds and read one after the other; they are read
        again if the monotonic one went on in between.
        """
        before = self._clock.now()
        for _ in range(_MAX_READINGS):
            wall, after = self._clock.wall_time(), self._clock.now()
            if after == before:
                break
            before = after
        return wall - before

    def _record_clock(
        self, peer: str, peer_wall: Millis, sent_at: Millis
    ) -> None:
        now = self._clock.now()
        clocks = self._clocks_by_peer
        clocks.pop(peer, None)
        clocks[peer] = PeerClock(peer_wall - (sent_at + now) // 2, now)
        for name in tuple(clocks)[:-_MIN_OFFSETS]:
            if now - clocks[name].measured_at > _MEASUREMENT_LIFETIME:
                clocks.pop(name)

    def _verify(self, signed: bytes, shape: type[Reply]) -> Envelope | None:
        """Return the envelope of a valid message of the expected type."""
        envelope = self.authenticator.verify(signed, self._clock.wall_time())
        if envelope is None or envelope.recipient != self._name:
            return None
        return envelope if envelope.kind == shape.__name__ else None


def _make_extensions(timeout: Millis) -> dict[str, object]:
    seconds = as_seconds(timeout)
    limits = {'connect': seconds, 'read': seconds, 'write': seconds}
    return {'timeout': limits}


#: Readings of both clocks after which they are taken as they are.
_MAX_READINGS = 3
