"""Evidence against requests, and the messages about it."""

from dataclasses import dataclass, field

import msgspec

from cartdale.clock import Millis
from cartdale.quarantine.identity import Identity


@dataclass(frozen=True, slots=True)
class Crash:
    """An upstream crashed as it began to run a request.

    :param upstream: its id.
    :param born: start time of the incarnation that crashed, in Unix
        milliseconds, since an upstream may restart under its id; 0 where
        upstreams don't report one.
    """

    identity: Identity
    upstream: str
    born: Millis = 0


@dataclass(frozen=True, slots=True)
class Evidence:
    """Hold a crash that this instance observed or a peer reported.

    :param seen_at: when the upstream crashed, in monotonic milliseconds.
    """

    crash: Crash
    seen_at: Millis


@dataclass(frozen=True, slots=True)
class RequestRecord:
    """Hold the crashes and the latest survival of one request.

    :param evidence: crashes of upstreams that ran it, the oldest first.
    :param ran_at: when it last ran without crashing its upstream, as far as
        known; ``None`` for never.
    :param changed_at: when the record last changed on this instance.
    """

    evidence: tuple[Evidence, ...] = ()
    ran_at: Millis | None = None
    changed_at: Millis = 0


class CrashNews(msgspec.Struct, frozen=True, array_like=True):
    """Report a crash to a peer, in at most 64 bytes.

    :param age: milliseconds since the crash; an age, since peers' clocks
        differ.
    :param ran_age: milliseconds since the request last survived elsewhere;
        ``None`` if it never did.
    """

    identity: Identity
    upstream: str
    born: Millis
    age: Millis
    ran_age: Millis | None = None


@dataclass(frozen=True, slots=True)
class QuarantineState:
    """Hold a record of each request that an upstream crashed on."""

    records_by_identity: dict[Identity, RequestRecord] = field(
        default_factory=dict
    )


@dataclass(frozen=True, slots=True)
class UpstreamEnded:
    """This instance observed the crash of an upstream.

    :param sent_at: when the request was sent there, in monotonic
        milliseconds.
    :param begun: whether the upstream showed that it had begun the request,
        which proves that it was alive after the request was sent.
    """

    crash: Crash
    sent_at: Millis = 0
    begun: bool = False


@dataclass(frozen=True, slots=True)
class CrashesTold:
    """A peer reported crashes."""

    crashes: tuple[CrashNews, ...]


@dataclass(frozen=True, slots=True)
class RanOn:
    """A request got a complete response, or ran on past its start.

    :param ran_at: time at which it did.
    """

    identity: Identity
    ran_at: Millis


@dataclass(frozen=True, slots=True)
class TimePassed:
    """Time has passed; drop expired evidence."""


@dataclass(frozen=True, slots=True)
class Quarantined:
    """A request is quarantined and no longer sent to any upstream."""

    identity: Identity


@dataclass(frozen=True, slots=True)
class Released:
    """A request may be sent again."""

    identity: Identity


Message = UpstreamEnded | CrashesTold | RanOn | TimePassed
Action = Quarantined | Released
Decision = tuple[QuarantineState, tuple[Action, ...]]
"""The next state, and the requests to quarantine or release."""
