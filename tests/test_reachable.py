"""What is believed of an upstream once a path to it is open again."""

from cartdale.clock import VirtualClock
from cartdale.fleet.driver import Fleet
from cartdale.fleet.types import (
    AddressReachable,
    EntryWritten,
    RequestEnded,
    UpstreamEntry,
)


# Guards against upstreams that are avoided for seconds after they are back.
def test_upstream_is_not_avoided_once_its_path_is_open_again() -> None:
    fleet = Fleet(VirtualClock(1000), 'west', seed=1)
    for name in ('one', 'two'):
        entry = UpstreamEntry(name, 'portal', f'{name}:80', 'west', 6)
        fleet.dispatch(EntryWritten(entry))
        for _ in range(3):
            fleet.dispatch(RequestEnded(name, good=False, reached=False))
    fleet.dispatch(AddressReachable('one:80'))
    reopened, avoided = fleet.find('one'), fleet.find('two')
    assert not reopened.avoided_until
    assert not reopened.unreachable_until
    assert not reopened.strikes
    assert avoided.avoided_until > 1000
    assert reopened.failing == avoided.failing
