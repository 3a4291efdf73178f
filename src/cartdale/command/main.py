"""Entry point of the ``cartdale`` command-line tool."""

import sys

from cleo.application import Application

from cartdale.command.calling import CallCommand, GenerateCommand
from cartdale.command.explaining import ExplainCommand
from cartdale.command.planning import (
    ConfirmCommand,
    PlanCommand,
    ValidateCommand,
)
from cartdale.command.reporting import ReportCommand
from cartdale.command.summarizing import SummarizeCommand
from cartdale.command.watching import (
    DrainCommand,
    HistoryCommand,
    StatusCommand,
)


def make_application() -> Application:
    """Build the command-line application."""
    application = Application('cartdale', '0.1.0')
    for command in (
        ValidateCommand(),
        PlanCommand(),
        ConfirmCommand(),
        StatusCommand(),
        HistoryCommand(),
        DrainCommand(),
        ReportCommand(),
        GenerateCommand(),
        CallCommand(),
        ExplainCommand(),
        SummarizeCommand(),
    ):
        application.add(command)
    return application


def main() -> None:
    """Run the ``cartdale`` program."""
    sys.exit(make_application().run())
