"""An instance that gets most new connections serves what it reads.

Whatever it can't do must go to other instances while there is time.
"""

import signal
from collections import Counter
from pathlib import Path
from sys import stdout

import trio

from tests.new_connections import (
    Asked,
    End,
    count_ends,
    describe_seconds,
    measure_capacity,
    open_instances,
    share_served,
)

_INSTANCES = 4
#: Load of all, in what one instance can do at most.
_LOAD = 1.8
#: Most requests a second that a test asks for.
_MAX_RATE = 300
_USUAL_SECONDS = 4
_SECONDS = 12
#: From when on the load has to be served as before, in seconds.
_SETTLED = 3
#: Share of what was served before.
_SHARE = 0.75
#: A caller's leave takes so long to get through, in seconds.
_LEAVE_SECONDS = 0.5

_STOP_INSTANCES = 3
_STOP_LOAD = 1.6
#: The stop takes 3 s in which connections still come; all is over by the end.
_STOP_AFTER = 2
_STOP_SECONDS = 8


def list_since(asked: list[Asked], seconds: float) -> list[Asked]:
    begun = asked[0].at
    return [each for each in asked if each.at >= begun + seconds]


async def test_requests_are_served_while_one_instance_gets_most(
    tmp_path: Path,
) -> None:
    async with open_instances(_INSTANCES, tmp_path) as stage:
        capacity = await measure_capacity(stage)
        rate = min(_LOAD * capacity, _MAX_RATE)
        usual = await stage.play(rate, _USUAL_SECONDS)
        stage.balancer.concentrate()
        asked = await stage.play(rate, _SECONDS)
        seconds = describe_seconds(stage, asked)
    stdout.write(
        f'{capacity:.0f} a second at most, {rate:.0f} asked\n{seconds}'
    )
    served = share_served(list_since(asked, _SETTLED))
    assert served >= _SHARE * share_served(usual), seconds
    assert not count_ends(asked)[End.CUT], seconds
    assert not stage.count_late_runs(_LEAVE_SECONDS)
    assert Counter(stage.count_runs().values()).keys() == {1}


async def test_a_planned_stop_under_load_cuts_nothing(tmp_path: Path) -> None:
    """The instance that gets most is told to stop while it closes unread."""
    async with open_instances(_STOP_INSTANCES, tmp_path) as stage:
        capacity = await measure_capacity(stage)
        rate = min(_STOP_LOAD * capacity, _MAX_RATE)
        stage.balancer.concentrate()
        stopped = stage.instances[stage.balancer.favourite]

        async def stop() -> None:
            await trio.sleep(_STOP_AFTER)
            stopped.signal(signal.SIGTERM)

        stage.nursery.start_soon(stop)
        asked = await stage.play(rate, _STOP_SECONDS)
        seconds = describe_seconds(stage, asked)
    assert len(stopped.starts) == 2
    ends = count_ends(asked)
    assert ends[End.CLOSED_UNREAD], seconds
    assert not ends[End.CUT], seconds
    assert Counter(stage.count_runs().values()).keys() == {1}
