"""Bytes that an instance holds, and the decisions about them."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Final

from cartdale.clock import Millis

#: Maximum size of an event, in bytes.
MAX_EVENT: Final = 4194304
_EVENT_SHARE: Final = 0.25


class Holding(StrEnum):
    """Why bytes are held."""

    #: A response that its caller has not read yet.
    RESPONSE = 'response'
    #: A request body that is being received or may be sent again.
    BODY = 'body'
    #: A response that is read whole before any of it is passed on.
    COLLECTED = 'collected'
    #: A part of an event whose rest has not been received.
    EVENT = 'event'


@dataclass(slots=True)
class HeldBytes:
    """Count the bytes held for one request and one reason.

    One changes with every event of a stream, in place: a copy for each event
    would cost more than passing it on.

    :param since: when the peer last took something, or when bytes began to
        wait for it; monotonic milliseconds.
    :param held_up: whether its upstream was ever left unread for want of room.
    """

    request_id: str
    holding: Holding
    count: int = 0
    since: Millis = 0
    held_up: bool = False


@dataclass(frozen=True, slots=True)
class Limits:
    """Bound the bytes that an instance holds.

    :param total: for all requests.
    :param responses: for all responses.
    :param request: for one response; its caller's pace holds up its engine
        from then on.
    :param bodies: total beyond which no body is accepted, but for small ones
        and for the bodies' own part.
    :param small_body: size of a body that is accepted up to the total.
    :param own_bodies: for bodies, however much is held of responses: who does
        not read must not keep others from being served.
    """

    total: int
    responses: int
    request: int
    bodies: int
    own_bodies: int
    small_body: int

    @property
    def events(self) -> int:
        """Return the limit for all incomplete events together, in bytes."""
        return max(int(self.total * _EVENT_SHARE), MAX_EVENT)


@dataclass(frozen=True, slots=True)
class HeldTotals:
    """Sum up the bytes held by reason.

    :param responses: for callers, not read yet.
    :param bodies: of requests.
    :param collected: of responses that are being read whole.
    :param events: of events of which only a part has been received.
    """

    responses: int = 0
    bodies: int = 0
    collected: int = 0
    events: int = 0

    @property
    def total(self) -> int:
        """Return the bytes held for all requests."""
        return self.responses + self.bodies + self.collected + self.events


@dataclass(frozen=True, slots=True)
class Bear:
    """Hold the bytes."""


@dataclass(frozen=True, slots=True)
class Wait:
    """Read nothing more for this caller until others have read."""


@dataclass(frozen=True, slots=True)
class GiveWay:
    """End responses that nobody reads, the first one first.

    :param held: at least one.
    """

    held: tuple[HeldBytes, ...]


@dataclass(frozen=True, slots=True)
class RefuseBody:
    """Refuse a body unread.

    :param retry_after: time after which to send it again.
    """

    retry_after: Millis


ResponseDecision = Bear | Wait | GiveWay
BodyDecision = Bear | RefuseBody


@dataclass(frozen=True, slots=True)
class Readiness:
    """Whether an instance takes new connections, by what it holds.

    :param since: when this last changed; monotonic milliseconds.
    :param rested_until: until when it stays ready whatever it holds.
    """

    ready: bool = True
    since: Millis = 0
    rested_until: Millis = 0
