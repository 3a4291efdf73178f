"""When the fault soak holds instances to the end of a rate limit."""

from pathlib import Path
from typing import Any

import msgspec

from tests.fault_soak.instances import Instance
from tests.fault_soak.limit_ends import keeps_limit
from tests.fault_soak.proxy import FaultProxy

NAME = 'portal-1'
#: From trio's clock to the wall clock.
WALL_OFFSET = 1000
PER_SECOND = 0.4


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


def test_new_process_does_not_keep_a_limit_of_the_one_before(
    tmp_path: Path,
) -> None:
    """Guards against a finding at an instance that took seconds to start."""
    instance = make_instance(tmp_path, (21, 'limited'), (40, 'started'))
    assert keeps_limit(instance, NAME, 33, WALL_OFFSET)
    instance.starts.append(32.5)
    assert keeps_limit(instance, NAME, 32, WALL_OFFSET)
    assert not keeps_limit(instance, NAME, 33, WALL_OFFSET)


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
