"""Consumers: they send requests and keep what came back."""

import asyncio
import itertools
import secrets
import time

import wire

KEY = 'xd9dnn2ctnfzs989anu6'
_ids = itertools.count(1)


def new_id():
    return f'{next(_ids):06x}{secrets.token_hex(5)}'


def config(version=1, routes=None, services=None, limits=None, tenants=None):
    """Return a configuration as the operator writes it."""
    return {
        'version': version,
        'routes': routes if routes is not None else [
            route('draft', '/draft/', 'streaming', 'writers', 39000, 1800),
            route('fetch', '/fetch/', 'unsafe', 'portal', 1500, 300),
            route('look', '/look/', 'safe', 'portal', 1500, 300, attempts=2),
        ],
        'services': services if services is not None else [
            {
                'name': 'writers', 'healthPath': '/health',
                'maxConnections': 442, 'protocol': 'h1', 'tls': False,
                'engine': {
                    'slots': 64, 'kvCapacity': 34545, 'kvBytes': 18432,
                    'linkMbps': 2700.0, 'moves': True, 'backups': True,
                    'stride': 4, 'most': 12, 'pinMs': 4000.0,
                    'holdMs': 2000.0, 'handleS': 5.0,
                    'models': [{'name': 'm'}],
                },
            },
            {
                'name': 'portal', 'healthPath': '/health',
                'maxConnections': 110, 'protocol': 'h1', 'tls': False,
            },
        ],
        'limits': limits or {
            'maxHeaderBytes': 16384, 'maxBodyBytes': 4194304,
            'headerTimeoutMs': 3000, 'idleTimeoutMs': 15000,
        },
        'tenants': tenants if tenants is not None else [
            {'name': 'huka270', 'apiKeys': [KEY], 'priority': 1}
        ],
    }


def route(name, prefix, kind, service, timeout, target, attempts=1, **more):
    made = {
        'name': name, 'hostname': 'ficu95.example', 'pathPrefix': prefix,
        'kind': kind, 'timeoutMs': timeout, 'targetLatencyMs': target,
        'priority': 1, 'service': service, 'maxAttempts': attempts,
        'allowAnonymous': False, 'sessionAffinity': kind == 'streaming',
        'resumable': False,
    }
    if kind == 'streaming':
        made['targetGapMs'] = 180
    return {**made, **more}


class Answer:
    """What a consumer saw of one request."""

    def __init__(self, request_id):
        self.id = request_id
        self.status = 0
        self.headers = {}
        self.body = b''
        self.whole = False
        self.error = ''
        self.sent_at = self.ended_at = 0.0
        self.times = []

    def __repr__(self):
        return (
            f'{self.id} {self.status} whole={self.whole} '
            f'{len(self.body)} B {self.error} '
            f'{self.ended_at - self.sent_at:.3f} s'
        )


def request_bytes(method, target, request_id, deadline_ms, body=b'', more=(),
                  key=KEY, host='ficu95.example', close=True):
    lines = [f'{method} {target} HTTP/1.1', f'Host: {host}',
             f'Request-Id: {request_id}', f'Deadline-Ms: {deadline_ms}']
    if key:
        lines.append(f'Authorization: Token {key}')
    lines += [f'{name}: {value}' for name, value in more]
    if close:
        lines.append('Connection: close')
    if method != 'GET':
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


STREAM = [('Model', 'm')]


def stream_headers(tokens, prompt=1460, hint=None):
    import random
    part = f'{random.getrandbits(32):08x}'
    more = [('Model', 'm'), ('Token-Count', f'{prompt},{tokens}'),
            ('Prompt-Prefix', f'5c1e07a2:800,{part}:{prompt - 800}')]
    if hint:
        more.append(('Length-Hint', str(hint)))
    return more


async def ask(port, method, target, deadline_ms=3000, body=b'', more=(),
              request_id=None, raw=None, leave_after=None, **options):
    """Send one request on a channel of its own."""
    answer = Answer(request_id or new_id())
    answer.sent_at = time.monotonic()
    try:
        async with asyncio.timeout(deadline_ms / 1000 + 1):
            reader, writer = await asyncio.open_connection('127.0.0.1', port)
            writer.write(
                raw or request_bytes(method, target, answer.id, deadline_ms,
                                     body, more, **options)
            )
            await writer.drain()
            await read_answer(reader, answer)
            writer.close()
    except (OSError, TimeoutError, wire.Closed, asyncio.IncompleteReadError,
            ValueError) as error:
        answer.error = type(error).__name__
    answer.ended_at = time.monotonic()
    return answer


async def read_answer(reader, answer):
    first, headers = await wire.read_head(reader)
    answer.status = int(first.split(' ')[1])
    answer.headers = dict(headers)
    if 'chunked' in answer.headers.get('transfer-encoding', ''):
        try:
            while True:
                line = await reader.readuntil(b'\r\n')
                size = int(line, 16)
                if not size:
                    await reader.readuntil(b'\r\n')
                    answer.whole = True
                    return
                answer.body += await reader.readexactly(size)
                answer.times.append(time.monotonic())
                await reader.readexactly(2)
        except asyncio.IncompleteReadError as error:
            answer.error = 'cut'
            answer.body += error.partial
            return
    answer.body, answer.whole = await wire.read_body(reader, headers, True)
