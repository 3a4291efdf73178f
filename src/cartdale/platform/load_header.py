"""Decode the header in which upstreams report their load."""

from cartdale.speeds.types import LoadSample

#: Figures of the header without and with the slowness.
_FIGURES = (3, 4)
#: Numbers with more digits are absurd.
_MAX_DIGITS = 6
_PERCENT = 100
#: Bounds of a plausible slowness, in percent.
_LEAST_PERCENT = 5
_MOST_PERCENT = 5000


def parse_load(raw: bytes) -> LoadSample | None:
    """Parse the header; ``None`` if it is malformed or absurd."""
    texts = [text.strip() for text in raw.split(b',')]
    if len(texts) not in _FIGURES or not all(map(_is_count, texts)):
        return None
    running, waiting, slots, *percents = map(int, texts)
    if not slots:
        return None
    if not percents:
        return LoadSample(running, waiting, slots)
    percent = percents[0]
    if not _LEAST_PERCENT <= percent <= _MOST_PERCENT:
        return None
    return LoadSample(running, waiting, slots, percent / _PERCENT)


def _is_count(text: bytes) -> bool:
    return text.isdigit() and len(text) <= _MAX_DIGITS
