"""A caller of the tests: streams, resumes and checks every token."""

import json
from dataclasses import dataclass, field

import httpx
import trio

from cartdale.model.text import make_token
from tests.stage import CALLER_KEY, Stage


@dataclass
class Received:
    """Hold what a caller got."""

    status: int = 0
    tokens: list[str] = field(default_factory=list)
    generations: set[str] = field(default_factory=set)
    last_id: str = ''
    done: bool = False
    problem: dict = field(default_factory=dict)


def make_body(prompt: str, **fields: object) -> dict:
    return {
        'model': 'writers',
        'prompt': prompt,
        'stream': True,
        'seed': 7,
        **fields,
    }


def expected_tokens(prompt: str, length: int, seed: int = 7) -> list[str]:
    return [make_token(prompt, seed, offset) for offset in range(length)]


async def stream(
    stage: Stage,
    index: int,
    body: dict,
    *,
    received: Received | None = None,
    stop_after: int = 0,
    key: str = CALLER_KEY,
    idempotency: str = '',
) -> Received:
    """Stream an answer, from where ``received`` stands if it is given."""
    got = received or Received()
    headers = {'Authorization': f'Bearer {key}'}
    if got.last_id:
        headers['Last-Event-ID'] = got.last_id
    if idempotency:
        headers['Idempotency-Key'] = idempotency
    try:
        async with stage.client.stream(
            'POST',
            stage.url(index, '/v1/completions'),
            json=body,
            headers=headers,
        ) as response:
            got.status = response.status_code
            if response.status_code != 200:
                got.problem = json.loads(await response.aread())
                return got
            await _read(response, got, stop_after)
    except httpx.HTTPError:
        return got
    return got


async def _read(
    response: httpx.Response, got: Received, stop_after: int
) -> None:
    event = ''
    async for line in response.aiter_lines():
        if line.startswith('id: '):
            event = line[4:]
        elif line == 'event: problem':
            event = 'problem'
        elif line == 'data: [DONE]':
            got.done = True
            return
        elif line.startswith('data: '):
            chunk = json.loads(line[6:])
            if event == 'problem':
                got.problem = chunk
                return
            got.last_id = event
            got.generations.add(chunk['id'])
            got.tokens.append(chunk['choices'][0]['text'])
            if stop_after and len(got.tokens) >= stop_after:
                return


async def wait_tokens(got: Received, count: int) -> None:
    """Wait until a caller that streams in the background has some tokens."""
    while len(got.tokens) < count:
        await trio.sleep(0.005)
