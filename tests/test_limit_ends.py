"""When the fault soak holds instances to the end of a rate limit."""

from collections.abc import Iterable
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import msgspec
import pytest

from cartdale_standins.platform_worker import PlatformWorker
from tests.fault_soak.checks import Asked
from tests.fault_soak.instances import Instance
from tests.fault_soak.limit_ends import Limited, find_heard_by, keeps_limit
from tests.fault_soak.proxy import FaultProxy
from tests.fault_soak.watch import Upstream

NAME = 'portal-1'
#: From trio's clock to the wall clock.
WALL_OFFSET = 1000
LIMITED_AT, ENDED_AT = 20.0, 32.0
#: One request in two and a half seconds: three permits, each for 7.5 s.
PER_SECOND = 0.4
#: The interval of requests, the second for news, and slack.
ASKED_BY = ENDED_AT + 2.5 + 1 + 1.5
TOLD_SECONDS = 2.5
#: Two spans of a permit, the second for news, and slack.
AWAY_SECONDS = 15 + 2.5


def make_instance(tmp_path: Path, *lines: tuple[float, str]) -> Instance:
    """Return an instance that logged changes of limits and starts."""
    instance = Instance('entry-0', tmp_path, FaultProxy(0))
    instance.starts.append(0)
    logged = [_write(at + WALL_OFFSET, change) for at, change in lines]
    instance.log_path.write_bytes(b'\n'.join(logged))
    return instance


def _write(at: float, change: str) -> bytes:
    line: dict[str, Any] = {'at': at, 'event': change}
    if change != 'started':
        per_second = PER_SECOND if change == 'limited' else None
        line = {
            'at': at,
            'event': 'upstream changed',
            'change': 'LimitChanged',
            'upstream': NAME,
            'per_second': per_second,
        }
    return msgspec.json.encode(line)


def make_limited() -> Limited:
    upstream = Upstream(PlatformWorker(NAME), FaultProxy(0), 'portal', 'west')
    return Limited(upstream, PER_SECOND, LIMITED_AT, ENDED_AT, changed=False)


def make_soak(
    limited: Limited, instance: Instance, asked: Iterable[Asked] = ()
) -> SimpleNamespace:
    """Return a soak with one upstream, which got some requests."""
    for each in asked:
        arrival = SimpleNamespace(at=each.at, request_id=each.name)
        limited.upstream.worker.arrivals.append(arrival)
    return SimpleNamespace(
        instances=[instance],
        upstreams=[limited.upstream],
        checks=SimpleNamespace(asked=list(asked)),
    )


def make_asked(at: float, status: int = 200) -> Asked:
    return Asked(
        f'cut-{at}', 'cut', 'entry-0', at, status=status, ended_at=at + 0.1
    )


def test_new_process_does_not_keep_a_limit_of_the_one_before(
    tmp_path: Path,
) -> None:
    """Guards against a finding at an instance that took seconds to start."""
    instance = make_instance(tmp_path, (21, 'limited'), (40, 'started'))
    assert keeps_limit(instance, NAME, 33, WALL_OFFSET)
    instance.starts.append(32.5)
    assert keeps_limit(instance, NAME, 32, WALL_OFFSET)
    assert not keeps_limit(instance, NAME, 33, WALL_OFFSET)


# Guards against a check that passes over limits that a process itself heard.
def test_new_process_may_keep_a_limit_that_it_heard_of(tmp_path: Path) -> None:
    instance = make_instance(
        tmp_path,
        (21, 'limited'),
        (31, 'started'),
        (31.1, 'limited'),
        (39, 'ended'),
    )
    instance.starts.append(30)
    assert keeps_limit(instance, NAME, 38, WALL_OFFSET)
    assert not keeps_limit(instance, NAME, 39.5, WALL_OFFSET)


def find(limited: Limited, soak: SimpleNamespace) -> float:
    return find_heard_by(soak, limited, WALL_OFFSET)


# Guards against a check that waits longer than the next permit takes.
def test_end_must_be_known_after_the_next_permit(tmp_path: Path) -> None:
    limited = make_limited()
    soak = make_soak(limited, make_instance(tmp_path, (1, 'started')))
    assert find(limited, soak) == ASKED_BY


# Guards against a check that waits on once an answer has told of the end.
def test_end_must_be_known_soon_after_an_answer_without_limit(
    tmp_path: Path,
) -> None:
    limited = make_limited()
    # The first may have crossed an answer with it, the second told nobody.
    asked = [
        make_asked(ENDED_AT + 1),
        make_asked(ENDED_AT + 1.6, status=502),
        make_asked(ENDED_AT + 2),
    ]
    instance = make_instance(tmp_path, (1, 'started'))
    heard_by = find(limited, make_soak(limited, instance, asked))
    assert heard_by == pytest.approx(ENDED_AT + 2.1 + TOLD_SECONDS)
    assert heard_by < ASKED_BY


@pytest.mark.parametrize('stands_still', [False, True])
def test_permits_of_an_absent_instance_lie_idle(
    tmp_path: Path, *, stands_still: bool
) -> None:
    """Guards against a finding where the holder of a permit had restarted."""
    limited = make_limited()
    back_at = ENDED_AT + 1
    instance = make_instance(tmp_path, (1, 'started'), (back_at, 'started'))
    if stands_still:
        instance.pauses.append((ENDED_AT - 2, back_at))
    else:
        instance.ends.append(ENDED_AT - 2)
        instance.starts.append(ENDED_AT - 1.7)
    soak = make_soak(limited, instance)
    assert find(limited, soak) == pytest.approx(back_at + AWAY_SECONDS)
    # What an instance that is back hears ends the limit all the same.
    told = make_asked(back_at + 1)
    soak = make_soak(limited, instance, [told])
    assert find(limited, soak) == pytest.approx(told.ended_at + TOLD_SECONDS)


# Guards against an end that counts as told by an instance that ended.
def test_instance_that_ends_tells_nobody(tmp_path: Path) -> None:
    limited = make_limited()
    instance = make_instance(tmp_path, (1, 'started'), (35, 'started'))
    instance.ends.append(ENDED_AT + 2.2)
    instance.starts.append(ENDED_AT + 2.5)
    soak = make_soak(limited, instance, [make_asked(ENDED_AT + 2)])
    assert find(limited, soak) == pytest.approx(35 + AWAY_SECONDS)


# Guards against a check that waits for instances that were back in time.
def test_earlier_absence_delays_nothing(tmp_path: Path) -> None:
    limited = make_limited()
    instance = make_instance(tmp_path, (1, 'started'), (12, 'started'))
    instance.ends.append(10)
    instance.starts.append(10.3)
    assert find(limited, make_soak(limited, instance)) == ASKED_BY
