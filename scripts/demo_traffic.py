"""Drive the demo: confirm both examples, send traffic, kill, and judge."""

import json
import os
import signal
import subprocess
import sys
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

import httpx
import trio

from cartdale.model.text import make_token

ENTRIES = (7111, 7121, 7131)
ENGINES = (7301, 7302, 7303, 7304)
DRAFT_TOKENS = 600
CHECK_TOKENS = 25
DRAFTS = 6
CHECKS = 24
SEED = 7
GIVE_UP_SECONDS = 90
STALL_SECONDS = 0.5
KILL_ENTRY_AFTER = 2
KILL_ENGINE_AFTER = 4
KEYS_BY_SERVICE = {
    'kadi-writers': 'kadi-demo-key',
    'loom-assist': 'loom-demo-key',
}


@dataclass
class Answer:
    """Hold what one caller received."""

    service: str
    prompt: str
    length: int
    tokens: list[str] = field(default_factory=list)
    last_id: str = ''
    done: bool = False
    refused: int = 0
    ended_early: bool = False
    stall: float = 0
    resumed: int = 0

    def verdict(self) -> str:
        """Return whole, lost, doubled or ended early."""
        expected = [
            make_token(self.prompt, SEED, offset)
            for offset in range(self.length)
        ]
        if self.done and self.tokens == expected:
            return 'whole'
        if (
            len(self.tokens) > self.length
            or self.tokens != expected[: len(self.tokens)]
        ):
            return 'doubled'
        return 'ended early' if self.ended_early else 'lost'


def run_cli(work: Path, *arguments: str) -> str:
    """Run the command-line tool as an operator would."""
    environment = {
        **os.environ,
        'CARTDALE_OPERATORS': 'http://127.0.0.1:7113',
        'CARTDALE_OPERATOR_KEY_FILE': str(work / 'operator.key'),
    }
    finished = subprocess.run(
        [Path(sys.executable).parent / 'cartdale', *arguments],
        env=environment,
        capture_output=True,
        text=True,
        check=False,
    )
    if finished.returncode:
        raise SystemExit(
            f'cartdale {arguments}: {finished.stdout}{finished.stderr}'
        )
    return finished.stdout


def list_instances() -> None:
    """Tell the platform's list stand-in which instances there are."""
    listed = [
        {
            'name': f'entry-{number}',
            'address': f'http://127.0.0.1:71{number}2',
            'failure_domain': 'westlands',
            'region': 'nairobi',
            'state': 'live',
        }
        for number in (1, 2, 3)
    ]
    httpx.post(
        'http://127.0.0.1:7202/standin/instances', json={'instances': listed}
    )


def wait_members(work: Path) -> None:
    """Wait until the instances know each other."""
    give_up = time.monotonic() + GIVE_UP_SECONDS
    while time.monotonic() < give_up:
        status = json.loads(run_cli(work, 'status', '--output', 'json'))
        states = [one['state'] for one in status['instances']]
        if states.count('live') == len(ENTRIES):
            return
        time.sleep(0.2)


def wait_ready(path: str, ports: tuple[int, ...]) -> None:
    """Wait until all ports answer a path with success."""
    give_up = time.monotonic() + GIVE_UP_SECONDS
    for port in ports:
        while time.monotonic() < give_up:
            try:
                if httpx.get(f'http://127.0.0.1:{port}{path}').is_success:
                    break
            except httpx.HTTPError:
                pass
            time.sleep(0.05)


async def ask(client: httpx.AsyncClient, answer: Answer, first: int) -> None:
    """Stream an answer; on a cut, resume at the next instance."""
    number = first
    give_up = trio.current_time() + GIVE_UP_SECONDS
    while not answer.done and trio.current_time() < give_up:
        port = ENTRIES[number % len(ENTRIES)]
        number += 1
        try:
            await stream_once(client, answer, port)
        except httpx.HTTPError:
            answer.resumed += 1
        if answer.ended_early:
            return
        await trio.sleep(0.05)


async def stream_once(
    client: httpx.AsyncClient, answer: Answer, port: int
) -> None:
    """Read from one instance until it ends or is cut."""
    headers = {'Authorization': f'Bearer {KEYS_BY_SERVICE[answer.service]}'}
    if answer.last_id:
        headers['Last-Event-ID'] = answer.last_id
    body = {
        'model': answer.service,
        'prompt': answer.prompt,
        'stream': True,
        'seed': SEED,
    }
    async with client.stream(
        'POST',
        f'http://127.0.0.1:{port}/v1/completions',
        json=body,
        headers=headers,
    ) as response:
        if not response.is_success:
            answer.refused += 1
            await trio.sleep(float(response.headers.get('Retry-After', '1')))
            return
        await read_events(response, answer)


async def read_events(response: httpx.Response, answer: Answer) -> None:
    """Take events until the end mark or a problem."""
    last_at = trio.current_time()
    event = ''
    async for line in response.aiter_lines():
        if line.startswith('id: '):
            event = line[4:]
        if line == 'event: problem':
            answer.ended_early = True
        if line == 'data: [DONE]':
            answer.done = True
            return
        if line.startswith('data: ') and not answer.ended_early:
            gap = trio.current_time() - last_at
            answer.stall += gap if gap > STALL_SECONDS and answer.tokens else 0
            last_at = trio.current_time()
            answer.last_id = event
            answer.tokens.append(json.loads(line[6:])['choices'][0]['text'])


def kill(work: Path, name: str) -> None:
    """Kill one process at once."""
    os.kill(int((work / f'{name}.pid').read_text()), signal.SIGKILL)
    print(f'killed {name}')


async def kill_in_the_middle(work: Path) -> None:
    """Take an instance and an engine away while answers are streaming."""
    await trio.sleep(KILL_ENTRY_AFTER)
    kill(work, 'entry-2')
    await trio.sleep(KILL_ENGINE_AFTER - KILL_ENTRY_AFTER)
    kill(work, 'engine-7302')


async def send_traffic(work: Path) -> list[Answer]:
    """Send long drafts and short checks through all instances."""
    services = tuple(KEYS_BY_SERVICE)
    answers = [
        Answer(
            services[number % 2],
            f'draft {number} [length={DRAFT_TOKENS}]',
            DRAFT_TOKENS,
        )
        for number in range(DRAFTS)
    ]
    answers += [
        Answer(
            services[number % 2],
            f'check {number} [length={CHECK_TOKENS}]',
            CHECK_TOKENS,
        )
        for number in range(CHECKS)
    ]
    limits = httpx.Limits(max_connections=None)
    async with httpx.AsyncClient(timeout=60, limits=limits) as client:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(kill_in_the_middle, work)
            for number, answer in enumerate(answers):
                nursery.start_soon(ask, client, answer, number)
                await trio.sleep(0.2 if number >= DRAFTS else 0)
    return answers


def main() -> int:
    """Run the demo and print its summary."""
    work = Path(sys.argv[1])
    wait_ready('/standin/counts', (7201,))
    wait_ready('/instances', (7202,))
    wait_ready('/v1/load', ENGINES)
    wait_ready('/healthz', ENTRIES)
    list_instances()
    print(run_cli(work, 'plan', 'examples', '--out', str(work / 'plan.json')))
    print(run_cli(work, 'confirm', str(work / 'plan.json'), '--yes'))
    wait_ready('/readyz', ENTRIES)
    wait_members(work)
    answers = trio.run(send_traffic, work)
    print(run_cli(work, 'status'))
    print(run_cli(work, 'report'))
    verdicts = Counter(answer.verdict() for answer in answers)
    print('answers      ', len(answers))
    for verdict in ('whole', 'ended early', 'lost', 'doubled'):
        print(f'{verdict:13}', verdicts[verdict])
    print('refused, then asked again', sum(a.refused for a in answers))
    print('resumed elsewhere        ', sum(a.resumed for a in answers))
    longest = max(answer.stall for answer in answers)
    print(f'longest stall time        {longest:.2f} s')
    return int(verdicts['whole'] != len(answers))


if __name__ == '__main__':
    sys.exit(main())
