"""Command that reports on service-level burn."""

from pathlib import Path

from cleo.helpers import option

from cartdale.command.base import INSTANCE_OPTIONS, InstanceCommand
from cartdale.operators.types import PATH_REPORT
from cartdale.reports.render import render_html, render_text
from cartdale.reports.types import Report


class ReportCommand(InstanceCommand):
    """Report on service-level burn over all instances."""

    name = 'report'
    description = 'Report on service-level burn over all instances.'
    options = [
        *INSTANCE_OPTIONS,
        option('html', None, 'Write a page with plots here.', flag=False),
    ]

    def invoke(self) -> int:
        """Print the report, and write the page if one is asked for."""
        report = self.connect().get(PATH_REPORT, Report)
        page = self.option('html')
        if page:
            Path(page).write_text(render_html(report), encoding='utf-8')
        if self.as_json:
            self.show_json(report)
            return 0
        self.line(render_text(report))
        return 0
