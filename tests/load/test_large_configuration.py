"""A large configuration before a whole fleet on narrow links, in virtual time.

1,400 routes more were in force at some of 62 instances only 8 to 10 s after the
store took them. All hear of a version in the same moment, and three instances
have it. Each was asked by some twenty others within half a second, for 365 kB
over a link of 10 Mbit/s: all gave up after a second without a byte, while the
links went on to send what nobody waited for, and the same began anew with the
next few that had it. The logs of all instances showed 57 time-outs by 25 s, all
at these three, and then 56 more at the next three.
"""

import pytest
import trio

from cartdale.clock import Millis
from tests.load.fleet import LinkCapacity
from tests.load.test_news_age import measure
from tests.load.test_store_calls import run_fleet

#: 10 Mbit/s.
NARROW = LinkCapacity(1250)
ROUTES = 1400
#: In which a configuration must be in force everywhere.
IN_FORCE_WITHIN: Millis = 3000


@pytest.mark.parametrize('count', [8, 62, 195])
async def test_large_configuration_is_in_force_in_time(
    autojump_clock: trio.testing.MockClock, count: int
) -> None:
    async with run_fleet(count, links=NARROW) as fleet:
        fleet.configure(2, more_routes=ROUTES)
        took = await measure(
            fleet.instances, lambda each: each.fleet.table.version == 2
        )
    assert took <= IN_FORCE_WITHIN
