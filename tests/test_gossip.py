"""Gossip among many instances: live instances are not considered gone."""

import pytest

from cartdale.membership.types import RevisionAdopted
from tests.gossip import GossipRun


@pytest.mark.parametrize(('count', 'loss'), [(8, 0), (8, 0.2), (32, 0.1)])
def test_live_instances_are_considered_alive(count: int, loss: float) -> None:
    run = GossipRun(count, 1, loss)
    wrong = 0
    for _ in range(20):
        run.run(3000)
        wrong += run.count_wrong()
    # At most one view in a thousand is wrong; that affects only quality.
    assert wrong * 1000 <= 20 * count * count


def test_a_silent_instance_is_detected() -> None:
    run = GossipRun(8, 1)
    run.run(10_000)
    run.remove('n001')
    # The last heartbeat may be forwarded for some rounds.
    run.run(20_000)
    assert run.count_believers('n001') == 0


def test_a_revision_reaches_all_instances_in_time() -> None:
    run = GossipRun(128, 1, 0.1)
    run.run(4000)
    run.dispatch('n000', RevisionAdopted(5, 0))
    run.run(5000)
    assert run.lowest_revision() == 5
