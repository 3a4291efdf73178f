"""Assignment of instances to brittle upstreams."""

from typing import Any

import pytest

from cartdale.clock import Millis
from cartdale.fleet.limit_gate import LimitGate, LimitParticipants
from cartdale.fleet.senders import MAX_SENDERS, assign_senders
from tests.platform_stage import open_platform, until


def name_instances(count: int) -> list[str]:
    return [f'entry-{number}' for number in range(count)]


def name_upstreams(count: int) -> list[str]:
    return [f'plain-{number}' for number in range(count)]


@pytest.mark.parametrize(
    ('instances', 'upstreams', 'groups'),
    [(24, 9, 3), (25, 9, 3), (39, 20, 5), (62, 100, 6), (17, 1, 1)],
)
def test_each_instance_sends_and_none_of_them_much_more_than_others(
    instances: int, upstreams: int, groups: int
) -> None:
    senders = assign_senders(
        name_instances(instances), name_upstreams(upstreams), groups
    )
    assert set().union(*senders.values()) == set(name_instances(instances))
    counts = [len(chosen) for chosen in senders.values()]
    total = sum(counts)
    assert total % instances == 0
    assert max(counts) <= -(-total // upstreams)
    few_upstreams = instances * groups > MAX_SENDERS * upstreams
    assert few_upstreams or max(counts) * groups <= MAX_SENDERS + groups


def test_all_instances_of_a_small_system_send_to_all_upstreams() -> None:
    senders = assign_senders(name_instances(8), name_upstreams(3), 1)
    assert all(len(chosen) == 8 for chosen in senders.values())


def test_most_instances_keep_their_upstreams_when_one_goes() -> None:
    instances, upstreams = name_instances(24), name_upstreams(9)
    before = assign_senders(instances, upstreams, 3)
    after = assign_senders(instances, upstreams[1:], 3)
    kept = sum(len(before[name] & after[name]) for name in after)
    assert kept >= sum(len(before[name]) for name in after) / 2


def test_nobody_sends_without_instances_or_upstreams() -> None:
    assert assign_senders([], name_upstreams(1), 1) == {'plain-0': frozenset()}
    assert not assign_senders(name_instances(3), [], 1)


# Guards against limits of brittle upstreams that are divided among all
# instances, as the gate is not told which upstreams there are.
async def test_gate_learns_the_upstreams_of_plain_services(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    told: list[Any] = []

    def divide(
        _gate: LimitGate, participants: LimitParticipants, _now: Millis
    ) -> None:
        told.append(participants.plain_upstreams)

    monkeypatch.setattr(LimitGate, 'divide_among', divide)
    plains = {'portal': (('plain-0', 'plain-1'),)}
    async with open_platform(engines=1, plains=2):
        await until(lambda: plains in told)
