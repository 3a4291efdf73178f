"""Exceptions: one tree, each member carries its context."""

from dataclasses import dataclass


class CartdaleError(Exception):
    """Base of every error that cartdale raises on purpose."""

    exit_code = 1

    def format_message(self) -> str:
        """Return the text shown to a person."""
        return self.__class__.__name__


@dataclass(frozen=True, slots=True)
class SourceLocation:
    """Point at a field in a file.

    :param path: file as the user named it.
    :param line: line number from 1; 0 when the file has no such field.
    :param field: dotted path of the field inside the document.
    """

    path: str
    line: int
    field: str

    def __str__(self) -> str:
        """Format as ``path:line: field``."""
        return f'{self.path}:{self.line}: {self.field}'


@dataclass(frozen=True, slots=True)
class InputFault:
    """Describe one fault in a file that a user wrote."""

    location: SourceLocation
    expected: str

    def __str__(self) -> str:
        """Format the fault on one line."""
        return f'{self.location}: {self.expected}'


class BadInputError(CartdaleError):
    """Report every fault of the input at once.

    :param faults: all faults found, in file order.
    """

    exit_code = 2

    def __init__(self, faults: tuple[InputFault, ...]) -> None:
        super().__init__(faults)
        self.faults = faults

    def format_message(self) -> str:
        """Return one line per fault."""
        return '\n'.join(str(fault) for fault in self.faults)


class UndecodableError(CartdaleError):
    """Raised for bytes that can't be decoded, whatever the reason.

    :param detail: description of the fault, with the path of the field where
        it is known.
    """

    exit_code = 2

    def __init__(self, detail: str) -> None:
        super().__init__(detail)
        self.detail = detail

    def format_message(self) -> str:
        """Return the description of the fault."""
        return self.detail

    def __str__(self) -> str:
        """Format the error for logs."""
        return self.detail


class InvariantError(CartdaleError):
    """Signal that a promise to callers would have been broken.

    :param name: the invariant, as counted in the metrics.
    :param detail: the values that contradict each other.
    """

    exit_code = 70

    def __init__(self, name: str, detail: str) -> None:
        super().__init__(name, detail)
        self.name = name
        self.detail = detail

    def format_message(self) -> str:
        """Return the invariant's name and the contradiction."""
        return f'invariant {self.name} violated: {self.detail}'
