"""Systems in which instances are cut from all upstreams, in virtual time."""

import pytest
import trio
from trio.testing import MockClock

from tests.load.paths import PathInstance, PathSystem
from tests.network_cuts import CutWay

#: Share of the first tries at cut instances that may fail, and how often these
#: are served relative to the others.
MAX_FAILED_SHARE = 0.02
MIN_RELATIVE_SHARE = 0.95
#: Time in which requests count, and numbers of instances.
SECONDS = 4
SIZES = (8, 73, 195)


def choose_cut(system: PathSystem, case: str) -> list[PathInstance]:
    """Return the instances that a case cuts."""
    instances = system.instances
    match case:
        case 'one':
            return instances[:1]
        case 'half':
            return instances[: len(instances) // 2]
        case 'domain':
            domain = instances[0].peer.failure_domain
            return [
                each for each in instances if each.peer.failure_domain == domain
            ]
    return instances[:-1]


# Guards against callers of instances without a path to upstreams being served
# worse than the others, whatever the size of the system and of the cut.
@pytest.mark.parametrize('size', SIZES)
@pytest.mark.parametrize('case', ['one', 'half', 'domain', 'all but one'])
def test_cut_instances_serve_as_often_as_others(size: int, case: str) -> None:
    for way in (CutWay.SILENT, CutWay.REFUSE):
        clock = MockClock(autojump_threshold=0)
        system, cut = trio.run(_play, size, case, way, clock=clock)
        others = [each for each in system.instances if each not in cut]
        shares = [_find_share(cut), _find_share(others)]
        assert shares[0] >= 1 - MAX_FAILED_SHARE, (way, shares)
        assert shares[0] >= MIN_RELATIVE_SHARE * shares[1], (way, shares)
        assert max(system.paths.runs_by_request.values()) == 1


async def _play(
    size: int, case: str, way: CutWay
) -> tuple[PathSystem, list[PathInstance]]:
    system = PathSystem(size)
    cut = choose_cut(system, case)
    await system.run(cut, way, SECONDS)
    return system, cut


def _find_share(instances: list[PathInstance]) -> float:
    served = sum(each.served for each in instances)
    return served / (served + sum(each.failed for each in instances))
