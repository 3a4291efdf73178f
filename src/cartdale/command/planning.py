"""Commands that validate, plan, confirm and roll back."""

import getpass
from pathlib import Path

from cleo.helpers import argument, option

from cartdale.codec import decode_json, encode_json
from cartdale.command.base import (
    INSTANCE_OPTIONS,
    OUTPUT_OPTION,
    CartdaleCommand,
    InstanceCommand,
)
from cartdale.configuration.bodies import encode_bodies
from cartdale.declarations.load import load_declarations, read_directory
from cartdale.declarations.types import KINDS
from cartdale.exceptions import (
    BadInputError,
    InputFault,
    SourceLocation,
    UndecodableError,
)
from cartdale.operators.types import (
    PATH_CONFIRM,
    PATH_PLAN,
    ConfirmAnswer,
    ConfirmRequest,
    Intent,
)
from cartdale.plans.types import Plan, PlannedChange, Verb

EXIT_CONFLICT = 5
EXIT_UNKNOWN = 6
EXIT_NOT_CONFIRMED = 7

DIRECTORY = argument('directory', 'Directory with the declarations.')


class ValidateCommand(CartdaleCommand):
    """Check declarations without contacting anything."""

    name = 'validate'
    description = 'Check declarations without contacting anything.'
    arguments = [DIRECTORY]
    options = [OUTPUT_OPTION]

    def invoke(self) -> int:
        """Report every fault at once."""
        declared = load_declarations(
            read_directory(Path(self.argument('directory')))
        )
        if self.as_json:
            self.show_json(declared)
            return 0
        for kind in KINDS:
            self.line(f'{kind}: {len(getattr(declared, kind))}')
        return 0


class PlanCommand(InstanceCommand):
    """Show what would change; change nothing."""

    name = 'plan'
    description = 'Show what would change; nothing takes effect.'
    arguments = [DIRECTORY]
    options = [
        *INSTANCE_OPTIONS,
        option('out', None, 'Write the plan here for confirm.', flag=False),
    ]

    def invoke(self) -> int:
        """Compare the directory with what is in force."""
        declared = load_declarations(
            read_directory(Path(self.argument('directory')))
        )
        intent = Intent(encode_bodies(declared))
        plan = self.connect().post(PATH_PLAN, intent, Plan)
        out = self.option('out')
        if out:
            Path(out).write_bytes(encode_json(plan))
        if self.as_json:
            self.show_json(plan)
            return 0
        show_plan(self, plan)
        return 0


class ConfirmCommand(InstanceCommand):
    """Put a plan in force."""

    name = 'confirm'
    description = 'Put a plan in force.'
    arguments = [
        argument('plan', 'File written by plan --out.'),
    ]
    options = [
        *INSTANCE_OPTIONS,
        option('yes', 'y', 'Do not ask.'),
        option('author', None, 'Name for the history.', flag=False),
    ]

    def invoke(self) -> int:
        """Ask, confirm, and report truthfully how it ended."""
        plan = read_plan(Path(self.argument('plan')))
        client = self.connect()
        if not self.option('yes'):
            show_plan(self, plan)
            if not self.confirm('Put this in force?', default=False):
                return EXIT_NOT_CONFIRMED
        author = self.option('author') or getpass.getuser()
        asked = ConfirmRequest(plan, author)
        answer = client.post(PATH_CONFIRM, asked, ConfirmAnswer)
        if self.as_json:
            self.show_json(answer)
        else:
            self.line(
                f'{answer.outcome}: revision {answer.revision}, {answer.detail}'
            )
            for key in answer.overlapping:
                self.line(f'  both change {key}')
        return choose_exit(answer)


def choose_exit(answer: ConfirmAnswer) -> int:
    """Return the exit code of a confirmation."""
    match answer.outcome:
        case 'confirmed' | 'already_confirmed':
            return 0
        case 'conflict':
            return EXIT_CONFLICT
        case 'unknown':
            return EXIT_UNKNOWN
    return EXIT_NOT_CONFIRMED


def read_plan(path: Path) -> Plan:
    """Read a plan file.

    :raises BadInputError: naming the file and the field.
    """
    try:
        return decode_json(path.read_bytes(), Plan)
    except (OSError, UndecodableError) as error:
        location = SourceLocation(str(path), 0, '(plan)')
        raise BadInputError((InputFault(location, str(error)),)) from error


def show_plan(command: CartdaleCommand, plan: Plan) -> None:
    """Print a plan for people, in colour where the terminal has it."""
    for change in plan.changes:
        command.line(_format_change(change))
    for effect in plan.effects:
        command.line(f'  {effect}')
    for warning in plan.warnings:
        command.line(f'<comment>warning: {warning}</comment>')
    command.line(
        f'plan {plan.plan_id}: {len(plan.changes)} changes on revision '
        f'{plan.base_revision}'
    )


def _format_change(change: PlannedChange) -> str:
    match change.verb:
        case Verb.ADD:
            return f'<info>+ {change.key}</info> {change.after}'
        case Verb.REMOVE:
            return f'<fg=red>- {change.key}</>'
        case Verb.CHANGE:
            return (
                f'<comment>~ {change.key}</comment>\n'
                f'    {change.before}\n    {change.after}'
            )
