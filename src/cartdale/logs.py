"""Logs: structured lines, as text for people or JSON for programs."""

import sys

from loguru import logger

from cartdale.settings.types import LogForm, Logging

_TEXT_FORM = (
    '{time:YYYY-MM-DDTHH:mm:ss.SSSZZ} {level: <8} {name} {message} {extra}'
)


def configure_logs(logging: Logging, instance: str) -> None:
    """Send all logs to standard error.

    :param instance: name of this instance, put on every line.
    """
    logger.remove()
    serialize = logging.form is LogForm.JSON
    logger.configure(extra={'instance': instance})
    logger.add(
        sys.stderr,
        level=logging.level,
        format=_TEXT_FORM,
        serialize=serialize,
        backtrace=False,
        diagnose=False,
    )
