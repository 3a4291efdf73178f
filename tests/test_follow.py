"""Follow: what is missing after an outage may come back."""

from dataclasses import dataclass, field

import trio
from returns.result import Failure, Result, Success

from cartdale.clock import SystemClock
from cartdale.fleet.driver import Fleet
from cartdale.fleet.follow import Follower
from cartdale.fleet.types import Lifecycle
from cartdale.platform.translate import make_translator
from cartdale.store.types import (
    Changes,
    Entry,
    Listing,
    StoreFailure,
    StoreUnavailable,
)

ENTRY = Entry('servers/i', b'{"service":"s","address":"a:1"}', 1, 1)


@dataclass
class ScriptedStore:
    """Answer reads of entries by a script; the last answer stays."""

    answers: list[Result[Listing, StoreFailure]]
    asked: list[str] = field(default_factory=list)

    async def fetch(
        self, prefix: str, start: str = '', limit: int = 0
    ) -> Result[Listing, StoreFailure]:
        await trio.sleep(0.05)
        if prefix != 'servers/':
            return Success(Listing((), 1))
        self.asked.append(prefix)
        if len(self.answers) > 1:
            return self.answers.pop(0)
        return self.answers[0]

    async def watch(
        self, prefix: str, after: int, timeout: int
    ) -> Result[Changes, StoreFailure]:
        await trio.sleep_forever()
        raise AssertionError


async def test_entry_missing_after_an_outage_lapses(autojump_clock) -> None:
    listed = Success(Listing((ENTRY,), 1))
    missing = Success(Listing((), 2))
    away = Failure(StoreUnavailable('away'))
    store = ScriptedStore([listed, away, missing])
    clock = SystemClock()
    fleet = Fleet(clock, 'west', 1)
    follower = Follower(store, fleet, clock, make_translator(), print, bool)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(follower.run)
        while len(store.asked) < 3:
            await trio.sleep(0.1)
        await trio.sleep(0.1)
        assert fleet.find('i').lifecycle is Lifecycle.LAPSED
        nursery.cancel_scope.cancel()
