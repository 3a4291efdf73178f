"""Getting the newest configuration that any peer reported."""

from dataclasses import replace

import pytest
import trio

from cartdale.clock import HOUR_MS, Millis
from cartdale.news.types import (
    DomainNews,
    DomainNewsArrived,
    LoadNews,
    NewsArrived,
    PeerEntry,
    ReportSource,
)
from cartdale.versions.decide import (
    BUSY_PAUSE,
    HEDGE_AFTER,
    HOLDER_MS,
    MAX_BUSY,
    MAX_FETCHES,
    READ_AFTER,
    READ_INTERVAL,
    READ_SPREAD,
    RETRY_AFTER,
    decide,
    find_behind_for,
    find_next_step,
)
from cartdale.versions.types import (
    FellBehind,
    FetchDocument,
    FetchEnded,
    ReadStore,
    StoreReadEnded,
    TimePassed,
    VersionReported,
    VersionState,
)
from tests.load.fleet import SimulatedFleet

OWN = 'own'
PEERS = tuple(
    PeerEntry(f'peer-{number}', '10.0.0.1', 7200, 'west') for number in range(5)
)
FIRST = PEERS[0]
MANY = tuple(replace(FIRST, name=f'far-{number}') for number in range(64))
FAR = PeerEntry('far', '10.0.0.1', 7200, 'east')


class Clockwork:
    """Hold one instance's state, and record the actions."""

    def __init__(self) -> None:
        self.state = VersionState()
        self.now: Millis = 0
        self.version = 1
        self.asked: list[str] = []
        self.reads = 0

    def apply(self, message) -> tuple:
        self.state, actions = decide(
            self.state, message, self.now, self.version, OWN
        )
        for action in actions:
            if isinstance(action, FetchDocument):
                self.asked.append(action.peer.name)
            self.reads += isinstance(action, ReadStore)
        return actions

    def hear(self, peer=FIRST, version=2, wait=0, nearby=True) -> tuple:
        return self.apply(
            VersionReported(peer, version, ReportSource.NEWS, wait, nearby)
        )

    def pass_time(self, until: Millis) -> None:
        """Take each step when it is due."""
        while True:
            due = find_next_step(self.state, OWN)
            if due is None or due > until:
                break
            assert due > self.now, 'a step that was due was not taken'
            self.now = due
            self.apply(TimePassed())
        self.now = until
        self.apply(TimePassed())


# What a publisher once said of itself must not veto its newer domain news.
async def test_old_news_of_a_publisher_does_not_veto_its_domain_news(
    autojump_clock: trio.testing.MockClock,
) -> None:
    async with trio.open_nursery() as nursery:
        fleet = SimulatedFleet(2, nursery)
        fleet.start_all()
        await trio.sleep(2)
        here = fleet.instances[0].peers.news
        here.dispatch(NewsArrived(FAR.name, LoadNews(1, 1, 1, FAR, {})))
        fleet.network.messages.clear()
        newer = DomainNews(1, 2, 2, FAR, 8, {})
        here.dispatch(DomainNewsArrived(newer, direct=True))
        await trio.sleep(0.1)
        assert fleet.network.messages['documents']
        nursery.cancel_scope.cancel()


def test_newer_version_is_logged_once_and_fetched() -> None:
    instance = Clockwork()
    assert not instance.hear(version=1)
    actions = instance.hear(version=2)
    assert isinstance(actions[0], FellBehind)
    assert instance.asked == [FIRST.name]


# A holder that hangs must not keep this instance from asking the others.
def test_holder_that_does_not_respond_does_not_delay_the_others() -> None:
    instance = Clockwork()
    for peer in PEERS:
        instance.hear(peer)
    assert len(instance.asked) == 1
    instance.pass_time(HEDGE_AFTER)
    assert len(set(instance.asked)) == 2
    instance.pass_time(READ_AFTER - 1)
    assert len(instance.asked) <= MAX_FETCHES
    assert not instance.reads


# A failed fetch must be followed by another one without new reports.
def test_failed_fetch_is_repeated() -> None:
    instance = Clockwork()
    instance.hear()
    for ended in range(1, 4):
        instance.apply(FetchEnded(PEERS[0].name, newer=False))
        assert len(instance.asked) == ended
        instance.pass_time(ended * RETRY_AFTER)
        assert len(instance.asked) == ended + 1


# A document from a holder that restarted with an older version is no success.
def test_another_holder_is_asked_after_an_older_document() -> None:
    instance = Clockwork()
    instance.hear(PEERS[0])
    instance.hear(PEERS[1])
    first = instance.asked[0]
    instance.apply(FetchEnded(first, newer=False))
    assert len(instance.asked) == 2
    assert instance.asked[1] != first


# Peers that report a version and don't provide it must not be waited for.
def test_store_is_read_while_no_peer_provides_the_document() -> None:
    instance = Clockwork()
    instance.hear()
    instance.pass_time(READ_AFTER - 1)
    assert not instance.reads
    instance.pass_time(READ_AFTER + READ_SPREAD)
    assert instance.reads == 1
    instance.pass_time(3 * READ_INTERVAL)
    assert instance.reads == 1
    instance.apply(StoreReadEnded(succeeded=False))
    assert instance.reads == 2
    instance.apply(StoreReadEnded(succeeded=False))
    # The reports are too old by now for their sender to be asked.
    asked = len(instance.asked)
    instance.pass_time(instance.now + HOLDER_MS)
    assert len(instance.asked) == asked
    assert instance.reads == 3


# A version that is adopted while a newer one is known leaves a newer age.
def test_time_behind_counts_from_the_oldest_version_not_in_force() -> None:
    instance = Clockwork()
    instance.hear(version=2)
    instance.now = 400
    instance.hear(version=3)
    assert find_behind_for(instance.state, 500, instance.version) == 500
    instance.version = 2
    instance.apply(FetchEnded(PEERS[0].name, newer=True))
    assert find_behind_for(instance.state, 500, instance.version) == 100
    assert len(instance.asked) == 2
    instance.version = 3
    instance.apply(FetchEnded(PEERS[0].name, newer=True))
    assert not find_behind_for(instance.state, 500, instance.version)
    assert find_next_step(instance.state, OWN) is None


# A whole failure domain must not fetch a document from another one at once.
@pytest.mark.parametrize('heard_nearby', [True, False])
def test_fetch_is_left_to_others_for_a_while(heard_nearby: bool) -> None:
    instance = Clockwork()
    instance.hear(FAR, wait=300, nearby=False)
    if heard_nearby:
        instance.now = 100
        instance.hear(PEERS[1], wait=50)
    instance.pass_time(149)
    assert not instance.asked
    instance.pass_time(300)
    expected = PEERS[1] if heard_nearby else FAR
    assert instance.asked == [expected.name]


# Instances whose turn comes later must not all ask the first holder, whose link
# then sends to a whole failure domain.
def test_turn_comes_at_all_holders_known_by_then() -> None:
    asked: set[str] = set()
    for first in MANY:
        instance = Clockwork()
        instance.hear(first, wait=200)
        instance.now = 190
        for peer in MANY:
            instance.hear(peer, wait=200)
        assert not instance.asked
        instance.pass_time(200)
        asked.update(instance.asked)
    # The preferred one of all, whichever reported first.
    assert len(asked) == 1


# Reports of a version in between must not let all turns pass before anybody
# nearby has the newest one.
def test_turn_counts_from_the_newest_version_nearby() -> None:
    instance = Clockwork()
    instance.hear(FAR, version=3, wait=1000, nearby=False)
    instance.hear(PEERS[0], version=2, wait=200)
    instance.now = 150
    instance.hear(PEERS[1], version=3, wait=200)
    instance.pass_time(349)
    assert PEERS[1].name not in instance.asked
    instance.apply(FetchEnded(PEERS[0].name, newer=False))
    instance.pass_time(350)
    assert PEERS[1].name in instance.asked


# Whoever is asked at once by all around may tell them to wait; a whole failure
# domain waits for the one request that crosses to another.
@pytest.mark.parametrize('nearby', [True, False])
def test_only_a_holder_nearby_may_tell_to_wait(nearby: bool) -> None:
    actions = Clockwork().hear(FIRST, nearby=nearby)
    assert FetchDocument(FIRST, nearby) in actions


# A busy holder sends to others, which may be asked instead.
def test_busy_holder_is_asked_again_after_the_others() -> None:
    instance = Clockwork()
    instance.hear(PEERS[0])
    instance.apply(FetchEnded(PEERS[0].name, newer=False, retry_after=500))
    instance.hear(PEERS[0])
    assert len(instance.asked) == 1
    instance.hear(PEERS[1])
    instance.pass_time(2 * BUSY_PAUSE)
    assert instance.asked == [PEERS[0].name, PEERS[1].name]
    instance.apply(FetchEnded(PEERS[1].name, newer=False, retry_after=1000))
    instance.pass_time(499)
    assert len(instance.asked) == 2
    instance.pass_time(500)
    assert instance.asked[2:] == [PEERS[0].name]


# One holder's word must not keep an instance from the newest version.
def test_busy_holder_is_left_alone_for_a_bounded_time() -> None:
    instance = Clockwork()
    instance.hear()
    instance.apply(FetchEnded(FIRST.name, newer=False, retry_after=HOUR_MS))
    instance.pass_time(MAX_BUSY)
    assert instance.asked == [FIRST.name] * 2


# A whole failure domain must not turn to another one while its own holders are
# busy, but must once they fail.
def test_busy_holder_nearby_is_preferred_to_one_far_away() -> None:
    instance = Clockwork()
    instance.hear(PEERS[0])
    instance.hear(FAR, nearby=False)
    instance.apply(FetchEnded(PEERS[0].name, newer=False, retry_after=400))
    instance.pass_time(400)
    assert instance.asked == [PEERS[0].name] * 2
    instance.apply(FetchEnded(PEERS[0].name, newer=False))
    assert instance.asked[2:] == [FAR.name]


# A document that can't be read here must not be requested of all peers again
# and again.
def test_unreadable_document_is_requested_at_a_bounded_rate() -> None:
    instance = Clockwork()
    for now in range(0, 10_000, 10):
        instance.now = now
        for name in tuple(instance.state.fetches_by_peer):
            instance.apply(FetchEnded(name, newer=False))
        if not now % 400:
            for peer in MANY:
                instance.hear(peer)
        instance.apply(TimePassed())
    assert len(instance.asked) <= MAX_FETCHES * 10_000 // RETRY_AFTER


# A version that no peer reports any more and that the store lacks was lost with
# the store; it must not be looked for, and reported as newer, for ever.
def test_version_that_is_gone_is_forgotten() -> None:
    instance = Clockwork()
    instance.hear()
    instance.apply(FetchEnded(FIRST.name, newer=False))
    for now in range(0, 60_000, 10):
        instance.now = now
        if instance.state.reading:
            instance.apply(StoreReadEnded(succeeded=now > 30_000))
        for name in tuple(instance.state.fetches_by_peer):
            instance.apply(FetchEnded(name, newer=False))
        instance.apply(TimePassed())
        if now == 30_000:
            # While the store does not respond, the version may be there.
            assert instance.state.newest == 2
    assert instance.reads == 11
    assert not instance.state.newest
