"""The largest list: an instance stays on it though answers are lost.

Renewals are the more seldom the more instances are listed. At 195 they came
each 13 s of a lease of 20 s, so that one lost answer took an instance off the
list; from 304 on each would have left it between two renewals.
"""

from collections import Counter

import pytest
import trio
from returns.result import Failure, Result

from cartdale.clock import Millis, SystemClock
from cartdale.news.registration import PEER_PREFIX, PeerRegistration
from cartdale.news.types import PeerEntry
from cartdale.store.types import StoreFailure, StoreUnavailable
from cartdale_standins.state import KeyValueState
from tests.load.fleet import CountingStore

OWN = PeerEntry('front-1', '10.0.0.1', 7200, 'west')


class LossyStore(CountingStore):
    """Lose every second renewal."""

    async def keep_alive(self, lease: int) -> Result[Millis, StoreFailure]:
        if self.calls['renew'] % 2:
            self.calls['renew'] += 1
            return Failure(StoreUnavailable('lost'))
        return await super().keep_alive(lease)


@pytest.mark.parametrize('listed', [8, 195, 370])
async def test_instance_stays_listed_though_renewals_are_lost(
    autojump_clock, listed: int
) -> None:
    state = KeyValueState(SystemClock())
    store = LossyStore(state, Counter())
    registration = PeerRegistration(
        store, OWN, lambda: listed, lambda: None, bool
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(registration.run)
        for _ in range(120):
            await trio.sleep(1)
            assert state.find(f'{PEER_PREFIX}{OWN.name}')
        nursery.cancel_scope.cancel()
    assert store.calls['grant'] == 1
