"""Base of the commands that talk to an instance."""

import os
from pathlib import Path

from cleo.commands.command import Command
from cleo.helpers import option

from cartdale.codec import encode_json
from cartdale.command.client import OperatorClient
from cartdale.exceptions import CartdaleError

ENV_ADDRESS = 'CARTDALE_OPERATORS'
ENV_KEY_FILE = 'CARTDALE_OPERATOR_KEY_FILE'
DEFAULT_ADDRESS = 'http://127.0.0.1:7003'

OUTPUT_OPTION = option(
    'output',
    'o',
    'Form of the output: text or json.',
    flag=False,
    default='text',
)
INSTANCE_OPTION = option(
    'instance', 'i', f"Operators' address; else ${ENV_ADDRESS}.", flag=False
)
KEY_OPTION = option(
    'key-file', 'k', f'File with the key; else ${ENV_KEY_FILE}.', flag=False
)
INSTANCE_OPTIONS = (INSTANCE_OPTION, KEY_OPTION, OUTPUT_OPTION)


class MissingKeyError(CartdaleError):
    """No operator's key was given."""

    exit_code = 2

    def format_message(self) -> str:
        """Say how to give one."""
        return f'give --key-file or set {ENV_KEY_FILE}'


class KeyFileError(CartdaleError):
    """The key file cannot be read."""

    exit_code = 2

    def __init__(self, path: str, detail: str) -> None:
        super().__init__(path, detail)
        self.path = path
        self.detail = detail

    def format_message(self) -> str:
        """Name the file and the fault."""
        return f'{self.path}: {self.detail}'


class CartdaleCommand(Command):
    """Run ``invoke`` and turn typed errors into exit codes."""

    def handle(self) -> int:
        """Run the command."""
        try:
            return self.invoke()
        except CartdaleError as error:
            self.line_error(f'<error>{error.format_message()}</error>')
            return error.exit_code

    def invoke(self) -> int:
        """Do the work; overridden by each command.

        :returns: the exit code.
        """
        raise NotImplementedError

    @property
    def as_json(self) -> bool:
        """Tell whether a program reads the output."""
        return bool(self.option('output') == 'json')

    def show_json(self, message: object) -> None:
        """Print a data class as JSON."""
        self.line(encode_json(message).decode())


class InstanceCommand(CartdaleCommand):
    """Offer a client for the instance that the options name."""

    options = list(INSTANCE_OPTIONS)

    def connect(self) -> OperatorClient:
        """Return a client.

        :raises CartdaleError: when no key can be read.
        """
        address = self.option('instance') or os.environ.get(
            ENV_ADDRESS, DEFAULT_ADDRESS
        )
        return OperatorClient(address, self._read_key())

    def _read_key(self) -> str:
        path = self.option('key-file') or os.environ.get(ENV_KEY_FILE)
        if not path:
            raise MissingKeyError
        try:
            return Path(path).read_text(encoding='utf-8').strip()
        except OSError as error:
            raise KeyFileError(path, str(error)) from error
