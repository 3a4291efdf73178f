"""Start the program with one fault that the soak has to find.

``python mutants.py NAME``: run by the soak, as the program itself is.
"""

import signal
import sys
from dataclasses import replace
from itertools import count
from pathlib import Path
from types import MappingProxyType

import trio

# As the program does, before a request to read its settings can end it.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
sys.path.insert(0, str(Path(__file__).resolve().parents[2] / 'src'))

from cartdale.daemon import gateway  # noqa: E402
from cartdale.fleet import (  # noqa: E402
    advisories,
    driver,
    limit_gate,
    statements,
)
from cartdale.fleet.division import Share  # noqa: E402
from cartdale.fleet.store_follower import StoreFollower  # noqa: E402
from cartdale.platform import callers, translate  # noqa: E402
from cartdale.platform.main import main  # noqa: E402
from cartdale.quarantine.driver import Quarantine  # noqa: E402
from cartdale.relay import attempts, frames, passing, stream  # noqa: E402
from cartdale.relay.decide import Broken, TryAgain  # noqa: E402
from cartdale.scheduling import candidates  # noqa: E402

_TWICE_EVERY = 40
#: Between looks at the number of requests.
_STOP_POLL_SECONDS = 0.05


def repeat_unsafe() -> None:
    """Send a request again that may have run."""
    honest = attempts.decide

    def decide(state, ended, *, affordable):
        if isinstance(ended, Broken):
            return replace(state, sends=state.sends + 1), TryAgain()
        return honest(state, ended, affordable=affordable)

    attempts.decide = decide


def go_back() -> None:
    """Put every second configuration out of force again."""
    honest = StoreFollower.adopt

    def adopt(self, written):
        before = self._fleet.table
        honest(self, written)
        if written.table.version % 2 == 0 and before.version:
            self._fleet.table = replace(before, version=written.table.version)

    StoreFollower.adopt = adopt


def ignore_drain() -> None:
    """Send new work to upstreams that leave."""

    def list_candidates(state, needs):
        return [
            upstream
            for name, upstream in state.upstreams_by_id.items()
            if upstream.entry.service == needs.service
            and name not in needs.excluded
        ]

    driver.list_candidates = list_candidates


def ignore_evacuation() -> None:
    """Send new work to failure domains that are evacuated."""
    candidates.is_evacuated = lambda *_: False


def ignore_quarantine() -> None:
    """Send requests that end upstreams to the next."""
    Quarantine.is_quarantined = lambda *_: False


def ignore_word() -> None:
    """Don't take it when an upstream says in an answer that it leaves."""
    honest = advisories.AdvisoryRecorder.record

    def record(self, upstream, advisory, request_id, asked_at):
        honest(
            self,
            upstream,
            replace(advisory, leaving=False),
            request_id,
            asked_at,
        )

    advisories.AdvisoryRecorder.record = record


def ignore_rest() -> None:
    """Don't take it when an upstream wants rest."""
    honest = advisories.AdvisoryRecorder.record

    def record(self, upstream, advisory, request_id, asked_at):
        honest(
            self, upstream, replace(advisory, backoff=0), request_id, asked_at
        )

    advisories.AdvisoryRecorder.record = record


def ignore_limit() -> None:
    """Don't take it when an upstream names a rate limit."""
    advisories.AdvisoryRecorder._take_limit = look_away


def keep_limit() -> None:
    """Keep a limit that an upstream names no more."""
    honest = statements.merge_limits

    def merge_limits(known, named):
        return min(
            (known, honest(known, named)), key=lambda each: each.per_second
        )

    statements.merge_limits = merge_limits


def limit_alone() -> None:
    """Let each instance keep to a limit by itself."""

    honest = limit_gate.LimitGate._divide

    def divide(self, upstream, service, allotment):
        divided = honest(self, upstream, service, allotment)
        return replace(divided, share=Share(allotment.permits))

    limit_gate.LimitGate._divide = divide


def adopt_older() -> None:
    """Put whatever configuration the store lists in force."""
    honest = StoreFollower.adopt

    def adopt(self, written):
        before = self._fleet.table
        if written.table.version < before.version:
            self._fleet.table = replace(before, version=0)
        honest(self, written)

    StoreFollower.adopt = adopt


def look_away(*_: object, **named: object) -> None:
    """Stand for an invariant that is not checked."""


def pass_twice() -> None:
    """Pass some events on twice."""
    honest = frames.EventFrames.feed
    feeds = count()

    def feed(self, received):
        events = honest(self, received)
        return events if next(feeds) % _TWICE_EVERY else events * 2

    passing.EventFrames.feed = feed
    passing.check_invariant = look_away


def end_as_whole() -> None:
    """End a stream as whole though its engine broke it off."""
    honest = stream.StreamForwarder._lose_link

    async def lose_link(self, detail):
        ended = await honest(self, detail)
        if isinstance(ended, Broken) and self._started:
            await self._sink.finish()
            return stream.StreamEnd.WHOLE
        return ended

    stream.StreamForwarder._lose_link = lose_link


def start_over() -> None:
    """Give a caller who resumes a stream all of it again."""
    honest = callers.read_request

    def read_request(*head):
        return replace(honest(*head), last_event=b'')

    translate.read_request = read_request


def end_at_zero() -> None:
    """End the process once no request is counted, unread ones or not."""

    async def leave(self):
        began = self._clock.now()
        self.peers.hand_over()
        await trio.sleep(gateway.as_seconds(gateway.LEAVE_PAUSE))
        self._stopping.set()
        last = began + gateway.find_cut(self._settings.bounds.grace)
        carrying = self.detours.capacity
        while self._app.count + carrying.carried and self._clock.now() < last:
            await trio.sleep(_STOP_POLL_SECONDS)
        await self.peers.withdraw()
        self._left.set()

    gateway.GatewayRuntime._leave = leave


MUTANTS = MappingProxyType(
    {
        'repeat-unsafe': repeat_unsafe,
        'go-back': go_back,
        'ignore-drain': ignore_drain,
        'ignore-evacuation': ignore_evacuation,
        'ignore-quarantine': ignore_quarantine,
        'ignore-word': ignore_word,
        'ignore-rest': ignore_rest,
        'ignore-limit': ignore_limit,
        'keep-limit': keep_limit,
        'limit-alone': limit_alone,
        'adopt-older': adopt_older,
        'pass-twice': pass_twice,
        'end-as-whole': end_as_whole,
        'start-over': start_over,
        'end-at-zero': end_at_zero,
    }
)

if __name__ == '__main__':
    MUTANTS[sys.argv[1]]()
    main()
