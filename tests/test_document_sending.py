"""What documents take of an instance's link."""

from math import inf

from cartdale.clock import SECOND_MS
from cartdale.versions.sending import (
    LINK_SHARE,
    find_sending_wait,
    limit_sending,
    record_sent,
)

SIZE = 25_000
LINK_MBPS = 10


# All of a failure domain request a new version from its first holder at once.
def test_documents_take_their_share_of_the_link() -> None:
    state = limit_sending(LINK_MBPS)
    sent = 0
    for now in range(SECOND_MS):
        if not find_sending_wait(state, now):
            state = record_sent(state, SIZE, now)
            sent += SIZE
    share = LINK_MBPS * 1e6 / 8 * LINK_SHARE
    assert share <= sent <= share + 2 * SIZE


def test_requester_that_waits_as_told_is_served() -> None:
    state = limit_sending(LINK_MBPS)
    for _ in range(3):
        state = record_sent(state, SIZE, 0)
    wait = find_sending_wait(state, 0)
    assert wait > 0
    assert find_sending_wait(state, wait - 1)
    assert not find_sending_wait(state, wait)


def test_link_of_unknown_width_sends_at_once() -> None:
    state = limit_sending(inf)
    for _ in range(100):
        assert not find_sending_wait(state, 0)
        state = record_sent(state, SIZE, 0)
