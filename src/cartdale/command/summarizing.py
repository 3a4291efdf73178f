"""Count the failures in instances' logs by what they have in common."""

from collections import Counter, defaultdict
from dataclasses import dataclass, field
from html import escape
from pathlib import Path

import pygal
from cleo.commands.command import Command
from cleo.helpers import argument, option

from cartdale.command.causes import Verdict, name_cause
from cartdale.command.explaining import read_lines
from cartdale.command.journeys import follow_requests
from cartdale.command.loads import LoadTables, format_table, tabulate
from cartdale.command.timeline import LogLine

#: Rows of a table; the rest is told as a number.
_MOST_ROWS = 12


@dataclass
class Summary:
    """Hold the failures of some logs.

    :param requests: all that were seen, failed or not.
    :param tables: counts of failures by what they are counted by.
    """

    requests: int = 0
    failed: int = 0
    tables: dict[str, Counter[str]] = field(default_factory=dict)

    def count(self, table: str, row: str) -> None:
        """Count one failure in a table."""
        self.tables.setdefault(table, Counter())[row] += 1


class SummarizeCommand(Command):
    """Print tables of what failed, and why."""

    name = 'summarize'
    description = "Count failures in instances' logs by cause."
    arguments = [
        argument('files', 'Log files; - for standard input.', multiple=True),
    ]
    options = [
        option('html', None, 'Write a page with plots here.', flag=False),
        option('load', None, 'Print who waits, is refused, late and served.'),
        option(
            'rows', None, 'Rows of a table.', flag=False, default=_MOST_ROWS
        ),
    ]

    def handle(self) -> int:
        """Print the tables."""
        lines = read_lines(self.argument('files'))
        if self.option('load'):
            self._print_loads(tabulate(follow_requests(lines)))
            return 0
        summary = summarize(lines)
        self.line(f'{summary.requests} requests, {summary.failed} failed')
        for name, rows in summary.tables.items():
            self.line('')
            self.line(f'by {name}')
            for row, count in _list_rows(name, rows):
                self.line(f'{count:7d}  {row}')
        page = self.option('html')
        if page:
            Path(page).write_text(render_page(summary), encoding='utf-8')
        return 0

    def _print_loads(self, tables: LoadTables) -> None:
        for name, rows in tables.rows.items():
            for text in format_table(name, rows, int(self.option('rows'))):
                self.line(text)
            self.line('')
        for title, counts in tables.counts.items():
            self.line(title)
            for told, count in counts.most_common():
                self.line(f'{count:7d}  {told}')


def summarize(lines: list[LogLine]) -> Summary:
    """Count the failures of all requests.

    :param lines: in the order of their times.
    """
    by_request: defaultdict[str, list[LogLine]] = defaultdict(list)
    restarts_by_node: defaultdict[str, list[float]] = defaultdict(list)
    for line in lines:
        if line.request:
            by_request[line.request].append(line)
        elif line.event == 'started':
            restarts_by_node[line.node].append(line.at)
    summary = Summary(requests=len(by_request))
    origin = lines[0].at if lines else 0
    for own in by_request.values():
        verdict = name_cause(own, restarts_by_node[own[-1].node])
        if verdict.is_failure:
            _count_failure(summary, own, verdict, origin)
    return summary


def render_page(summary: Summary) -> str:
    """Return an HTML page with one plot for each table."""
    parts = [
        '<!doctype html><meta charset="utf-8"><title>Failures</title>',
        f'<h1>{summary.failed} of {summary.requests} requests failed</h1>',
    ]
    for name, rows in summary.tables.items():
        plot = pygal.HorizontalBar(
            title=f'Failures by {name}', show_legend=False, js=()
        )
        listed = _list_rows(name, rows)
        plot.x_labels = [row for row, _ in listed]
        plot.add(name, [count for _, count in listed])
        parts.append(plot.render(is_unicode=True, disable_xml_declaration=True))
        parts.extend(f'<p>{count} {escape(row)}</p>' for row, count in listed)
    return '\n'.join(parts)


def _count_failure(
    summary: Summary, own: list[LogLine], verdict: Verdict, origin: float
) -> None:
    summary.failed += 1
    summary.count('cause', verdict.cause.value)
    details: dict[str, str] = {}
    for line in own:
        details.update(line.details)
    summary.count('customer', str(details.get('customer') or '(none)'))
    summary.count('upstream', str(details.get('upstream') or '(none)'))
    summary.count('second', str(int(own[-1].at - origin)))


def _list_rows(name: str, rows: Counter[str]) -> list[tuple[str, int]]:
    """Return the rows of a table: seconds in their order, others by count."""
    if name == 'second':
        return sorted(rows.items(), key=lambda row: int(row[0]))
    listed = rows.most_common(_MOST_ROWS)
    rest = rows.total() - sum(count for _, count in listed)
    return [*listed, ('(others)', rest)] if rest else listed
