"""Commands of a caller: stream an answer, call a plain service."""

import os
import time
from collections.abc import Iterator
from http import HTTPStatus
from pathlib import Path

import httpx
from cleo.helpers import argument, option
from sseclient import SSEClient

from cartdale.codec import decode_json, encode_json
from cartdale.command.base import CartdaleCommand, KeyFileError
from cartdale.exceptions import CartdaleError, UndecodableError
from cartdale.problems.types import ProblemDocument
from cartdale.streams.chunks import read_text

ENV_CALLERS = 'CARTDALE_CALLERS'
ENV_CALLER_KEY_FILE = 'CARTDALE_CALLER_KEY_FILE'
DEFAULT_CALLERS = 'http://127.0.0.1:7001'
EXIT_REFUSED = 8
EXIT_NOT_WHOLE = 9
_ATTEMPTS = 20
_PAUSE_SECONDS = 0.5
_TIMEOUT_SECONDS = 120.0
_END = '[DONE]'

CALLER_OPTIONS = (
    option(
        'instances',
        'i',
        f"Callers' addresses, by comma; else ${ENV_CALLERS}.",
        flag=False,
    ),
    option(
        'key-file',
        'k',
        f'File with the key; else ${ENV_CALLER_KEY_FILE}.',
        flag=False,
    ),
    option('idempotency-key', None, 'Key of the request.', flag=False),
)


class ProblemError(CartdaleError):
    """An instance answered with a problem document."""

    exit_code = EXIT_REFUSED

    def __init__(self, problem: ProblemDocument) -> None:
        super().__init__(problem)
        self.problem = problem

    def format_message(self) -> str:
        """Return the problem's title and detail."""
        return f'{self.problem.title}: {self.problem.detail}'


class NotWholeError(CartdaleError):
    """The answer could not be received to its end."""

    exit_code = EXIT_NOT_WHOLE

    def __init__(self, received: int) -> None:
        super().__init__(received)
        self.received = received

    def format_message(self) -> str:
        """Say how much was received."""
        return f'the answer is not whole; {self.received} tokens received'


class CallerCommand(CartdaleCommand):
    """Offer what callers' commands share."""

    options = list(CALLER_OPTIONS)

    def list_addresses(self) -> list[str]:
        """Return the addresses to try, in order."""
        text = self.option('instances') or os.environ.get(
            ENV_CALLERS, DEFAULT_CALLERS
        )
        return [part.strip() for part in text.split(',') if part.strip()]

    def make_headers(self) -> dict[str, str]:
        """Return the headers of every request.

        :raises KeyFileError: when the key cannot be read.
        """
        path = self.option('key-file') or os.environ.get(
            ENV_CALLER_KEY_FILE, ''
        )
        try:
            key = Path(path).read_text(encoding='utf-8').strip()
        except OSError as error:
            raise KeyFileError(path or '(no key file)', str(error)) from error
        headers = {'Authorization': f'Bearer {key}'}
        if self.option('idempotency-key'):
            headers['Idempotency-Key'] = self.option('idempotency-key')
        return headers


class GenerateCommand(CallerCommand):
    """Stream an answer; a cut stream continues at the next instance."""

    name = 'generate'
    description = 'Stream an answer; re-attach by itself when it is cut.'
    arguments = [
        argument('service', 'Service to ask.'),
        argument('prompt', 'What to ask.'),
    ]

    def invoke(self) -> int:
        """Print the answer as it arrives."""
        body = {
            'model': self.argument('service'),
            'prompt': self.argument('prompt'),
            'stream': True,
        }
        headers = self.make_headers()
        addresses = self.list_addresses()
        received = 0
        for attempt in range(_ATTEMPTS):
            address = addresses[attempt % len(addresses)]
            try:
                for event_id, text in _stream(address, body, headers):
                    self.io.write(text)
                    received += 1
                    headers['Last-Event-ID'] = event_id
            except httpx.HTTPError:
                time.sleep(_PAUSE_SECONDS)
                continue
            self.line('')
            return 0
        raise NotWholeError(received)


class CallCommand(CallerCommand):
    """Call a plain service."""

    name = 'call'
    description = 'Call a plain service; tell not run from unknown.'
    arguments = [
        argument('service', 'Service to call.'),
        argument('path', 'Path behind the service.'),
    ]
    options = [
        *CALLER_OPTIONS,
        option('data', 'd', 'Body; makes the call a POST.', flag=False),
    ]

    def invoke(self) -> int:
        """Print the answer."""
        service = self.argument('service')
        path = self.argument('path').lstrip('/')
        data = self.option('data')
        address = self.list_addresses()[0]
        try:
            response = httpx.request(
                'POST' if data else 'GET',
                f'{address}/services/{service}/{path}',
                content=data,
                headers=self.make_headers(),
                timeout=_TIMEOUT_SECONDS,
            )
        except httpx.HTTPError as error:
            raise NotWholeError(0) from error
        _raise_problem(response)
        self.line(response.text)
        return 0 if response.is_success else 1


def _stream(
    address: str, body: object, headers: dict[str, str]
) -> Iterator[tuple[str, str]]:
    with httpx.stream(
        'POST',
        f'{address}/v1/completions',
        content=encode_json(body),
        headers=headers,
        timeout=_TIMEOUT_SECONDS,
    ) as response:
        if not response.is_success:
            response.read()
            _raise_problem(response)
        for event in SSEClient(response.iter_bytes()).events():
            if event.data == _END:
                return
            if event.event == 'problem':
                raise ProblemError(decode_json(event.data, ProblemDocument))
            yield event.id or '', read_text(event.data)
    raise httpx.ReadError('the stream ended without its end mark')


def _raise_problem(response: httpx.Response) -> None:
    kind = response.headers.get('content-type', '')
    if response.status_code < HTTPStatus.BAD_REQUEST or 'problem' not in kind:
        return
    try:
        document = decode_json(response.content, ProblemDocument)
    except UndecodableError:
        return
    raise ProblemError(document)
