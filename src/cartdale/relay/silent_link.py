"""A link that is open, but silent, while its generation is to be stopped."""

from dataclasses import dataclass


@dataclass(slots=True)
class SilentLink:
    """Share what happens on a silent link with who stops its generation.

    :param ended: whether it ended.
    :param broken: whether it ended by a failure.
    :param recovered: whether events arrive again, so that the generation stays.
    """

    ended: bool = False
    broken: bool = False
    recovered: bool = False

    def end(self, *, broken: bool) -> None:
        """Note that the link ended."""
        self.ended = True
        self.broken = broken
