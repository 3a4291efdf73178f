"""Evidence against requests, and the messages about it."""

from dataclasses import dataclass, field

import msgspec

from cartdale.clock import Millis
from cartdale.quarantine.identity import Identity


@dataclass(frozen=True, slots=True)
class Crash:
    """An upstream ended as it began to run a request.

    :param upstream: its id.
    :param born: Unix milliseconds of the start that ended; an upstream may
        come back under its id. 0 where upstreams don't tell.
    """

    identity: Identity
    upstream: str
    born: Millis = 0


@dataclass(frozen=True, slots=True)
class Evidence:
    """Hold a crash that this instance saw or was told of.

    :param seen_at: when the upstream ended, in monotonic milliseconds.
    """

    crash: Crash
    seen_at: Millis


@dataclass(frozen=True, slots=True)
class RequestRecord:
    """Hold what is known of one request.

    :param evidence: upstreams that ended under it, the oldest first.
    :param ran_at: when it last ran on without ending its upstream, as far as
        that is known; ``None`` for never.
    :param changed_at: when this instance last learnt something of it.
    """

    evidence: tuple[Evidence, ...] = ()
    ran_at: Millis | None = None
    changed_at: Millis = 0


class CrashNews(msgspec.Struct, frozen=True, array_like=True):
    """Tell a peer of a crash, in at most 64 bytes.

    :param age: milliseconds since the upstream ended: peers' clocks differ.
    :param ran_age: milliseconds since the request last ran on elsewhere;
        ``None`` when it never did.
    """

    identity: Identity
    upstream: str
    born: Millis
    age: Millis
    ran_age: Millis | None = None


@dataclass(frozen=True, slots=True)
class QuarantineState:
    """Hold a record of each request under which an upstream ended."""

    records_by_identity: dict[Identity, RequestRecord] = field(
        default_factory=dict
    )


@dataclass(frozen=True, slots=True)
class UpstreamEnded:
    """This instance saw an upstream end.

    :param sent_at: when the request was sent there, in monotonic
        milliseconds.
    :param begun: whether the upstream showed that it had begun the request,
        and so that it lived after it was sent.
    """

    crash: Crash
    sent_at: Millis = 0
    begun: bool = False


@dataclass(frozen=True, slots=True)
class CrashesTold:
    """A peer told of crashes."""

    crashes: tuple[CrashNews, ...]


@dataclass(frozen=True, slots=True)
class RanOn:
    """A request was answered whole, or ran on past its beginning.

    :param ran_at: when it did.
    """

    identity: Identity
    ran_at: Millis


@dataclass(frozen=True, slots=True)
class TimePassed:
    """Forget what is too old."""


@dataclass(frozen=True, slots=True)
class Quarantined:
    """Tell that a request is sent to no upstream any more."""

    identity: Identity


@dataclass(frozen=True, slots=True)
class Released:
    """Tell that a request may be sent again."""

    identity: Identity


Message = UpstreamEnded | CrashesTold | RanOn | TimePassed
Action = Quarantined | Released
Decision = tuple[QuarantineState, tuple[Action, ...]]
"""The next state, and which requests are quarantined or released."""
