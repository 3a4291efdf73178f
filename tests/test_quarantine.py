"""A request that ends each upstream which begins to run it is sent no more.

Seen: within 16 s seven engines ended, each 0.1 s after it had begun the same
short query, and a minute later eight more; dozens of others' streams went with
them. How it came about: the caller sent the query again and again, each time
with a new id and mostly to another instance, and each instance sent it to the
next engine that lived. Cause: what was known of attempts hung on the id of one
submission and ended with it. Proof: in the logs all ends belong to one customer
on one route, each id reached one engine and was not repeated by us.
"""

from collections.abc import Awaitable, Callable

import httpx

from tests.platform_stage import (
    PlatformStage,
    draft,
    make_draft,
    make_headers,
    open_platform,
    until,
    whole,
)

DEADLY = b'a brief that ends engines'
#: Upstreams that a request may end before it is refused.
MOST_ENDED = 3


async def ask_deadly(
    stage: PlatformStage, number: int, path: str, method: str = 'POST'
) -> httpx.Response | None:
    """Submit a deadly request once more; ``None`` when its answer broke."""
    instance = number % len(stage.runtimes)
    headers = make_draft(f'deadly-{number}')
    if 'draft' not in path and 'tag' not in path:
        headers = make_headers(f'deadly-{number}')
    try:
        return await stage.client.request(
            method, stage.url(path, instance), headers=headers, content=DEADLY
        )
    except httpx.TransportError:
        return None


async def ask_again_and_again(
    stage: PlatformStage, path: str, method: str = 'POST'
) -> list[httpx.Response | None]:
    """Submit a deadly request at one instance after another."""
    upstreams = (*stage.engines, *stage.plains)
    for upstream in upstreams:
        upstream.crashes.deadly.add(DEADLY)
    answers: list[httpx.Response | None] = []

    def are_all_up() -> bool:
        return not any(each.dead for each in upstreams)

    for number in range(9):
        answers.append(await ask_deadly(stage, number, path, method))
        await until(are_all_up)
    return answers


def count_ends(stage: PlatformStage) -> int:
    return sum(
        len(each.crashes.ended_by) for each in (*stage.engines, *stage.plains)
    )


Play = Callable[[PlatformStage], Awaitable[list[httpx.Response | None]]]


async def test_stream_that_ends_its_engines_is_sent_no_more() -> None:
    async with open_platform(engines=5, instances=2, proxied=True) as stage:
        answers = await ask_again_and_again(stage, '/draft/a')
        assert count_ends(stage) == MOST_ENDED
        last = answers[-1]
        assert last is not None
        assert last.status_code == 503
        assert (await draft(stage, 'r1')).content == whole('r1')
