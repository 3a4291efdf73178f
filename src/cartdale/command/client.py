"""Talk to the operators' interface of an instance."""

from http import HTTPStatus
from typing import TypeVar

import httpx

from cartdale.codec import decode_json, encode_json
from cartdale.exceptions import CartdaleError, UndecodableError
from cartdale.formatting import format_error

Shape = TypeVar('Shape')

_TIMEOUT_SECONDS = 20.0


class InstanceUnreachableError(CartdaleError):
    """No answer came from the instance."""

    exit_code = 3

    def __init__(self, address: str, detail: str) -> None:
        super().__init__(address, detail)
        self.address = address
        self.detail = detail

    def format_message(self) -> str:
        """Name the instance and what happened."""
        return f'{self.address}: no answer ({self.detail})'


class InstanceRefusedError(CartdaleError):
    """The instance answered with an error."""

    exit_code = 4

    def __init__(self, address: str, status: int, detail: str) -> None:
        super().__init__(address, status, detail)
        self.address = address
        self.status = status
        self.detail = detail

    def format_message(self) -> str:
        """Name the instance, the status and its explanation."""
        return f'{self.address}: {self.status} {self.detail}'


class OperatorClient:
    """Call one instance's operators' interface.

    :param address: base URL.
    :param key: operator's key.
    """

    def __init__(self, address: str, key: str) -> None:
        self._address = address
        self._client = httpx.Client(
            base_url=address,
            headers={'Authorization': f'Bearer {key}'},
            timeout=_TIMEOUT_SECONDS,
        )

    def get(self, path: str, shape: type[Shape]) -> Shape:
        """Read something.

        :raises CartdaleError: when the instance refuses or is silent.
        """
        return self._decode(self._send('GET', path, b''), shape)

    def post(self, path: str, message: object, shape: type[Shape]) -> Shape:
        """Ask for something.

        :raises CartdaleError: when the instance refuses or is silent.
        """
        answer = self._send('POST', path, encode_json(message))
        return self._decode(answer, shape)

    def _send(self, method: str, path: str, body: bytes) -> httpx.Response:
        try:
            response = self._client.request(method, path, content=body)
        except httpx.HTTPError as error:
            raise InstanceUnreachableError(
                self._address, format_error(error)
            ) from error
        if response.status_code != HTTPStatus.OK:
            raise InstanceRefusedError(
                self._address, response.status_code, response.text
            )
        return response

    def _decode(self, response: httpx.Response, shape: type[Shape]) -> Shape:
        try:
            return decode_json(response.content, shape)
        except UndecodableError as error:
            raise InstanceRefusedError(
                self._address, response.status_code, str(error)
            ) from error
