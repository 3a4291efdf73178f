"""Commands that look at a running system, and drain an instance."""

from cleo.ui.table import Rows

from cartdale.command.base import InstanceCommand
from cartdale.operators.types import (
    PATH_DRAIN,
    PATH_HISTORY,
    PATH_STATUS,
    History,
    SystemStatus,
)


class StatusCommand(InstanceCommand):
    """Show revisions, instances and upstreams."""

    name = 'status'
    description = 'Show revisions in force, instances and upstreams.'

    def invoke(self) -> int:
        """Print the status of the system as one instance sees it."""
        status = self.connect().get(PATH_STATUS, SystemStatus)
        if self.as_json:
            self.show_json(status)
            return 0
        self._show(status)
        return 0

    def _show(self, status: SystemStatus) -> None:
        self.line(f'revision {status.revision} (heard of {status.target})')
        self._draw(
            ('instance', 'failure domain', 'state', 'revision', 'took ms'),
            [
                [
                    instance.name,
                    instance.failure_domain,
                    instance.state,
                    str(instance.revision),
                    str(instance.took_ms),
                ]
                for instance in status.instances
            ],
        )
        self._draw(
            ('upstream', 'running', 'waiting', 'memory', 'state'),
            [
                [
                    engine.upstream,
                    str(engine.running),
                    str(engine.waiting),
                    f'{engine.used_tokens}/{engine.memory_tokens}',
                    _describe(engine.draining, engine.excluded),
                ]
                for engine in status.engines
            ],
        )

    def _draw(self, headers: tuple[str, ...], rows: Rows) -> None:
        table = self.table()
        table.set_headers(list(headers))
        table.set_rows(rows)
        table.render()


class HistoryCommand(InstanceCommand):
    """List confirmed revisions."""

    name = 'history'
    description = 'List confirmed revisions, the newest first.'

    def invoke(self) -> int:
        """Print the history."""
        history = self.connect().get(PATH_HISTORY, History)
        if self.as_json:
            self.show_json(history)
            return 0
        for entry in history.entries:
            changed = ', '.join(entry.changed)
            self.line(
                f'{entry.revision} {entry.plan_id} {entry.author}: {changed}'
            )
        return 0


class DrainCommand(InstanceCommand):
    """Tell one instance to leave."""

    name = 'drain'
    description = 'Tell the instance to leave once its streams ended.'

    def invoke(self) -> int:
        """Start draining."""
        status = self.connect().post(PATH_DRAIN, (), SystemStatus)
        if self.as_json:
            self.show_json(status)
            return 0
        self.line('leaving')
        return 0


def _describe(draining: bool, excluded: bool) -> str:
    if draining:
        return 'draining'
    return 'excluded' if excluded else 'open'
