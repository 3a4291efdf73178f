"""Render a report as text or as a self-contained HTML page."""

from html import escape

import pygal

from cartdale.reports.types import Quantiles, Report, ReportLine

_PAGE = """<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title>
<style>body{{font-family:sans-serif;margin:2em}}td,th{{padding:.2em .8em;
text-align:right}}th:first-child,td:first-child{{text-align:left}}
.alert{{color:#b00;font-weight:bold}}figure{{max-width:44em}}</style></head>
<body><h1>Service-level burn</h1><p>{summary}</p>{tables}{plots}</body></html>
"""


def summarise(report: Report) -> str:
    """Return one line on who answered and how far back the report sees."""
    minutes = report.at_minute - report.since_minute
    silent = ', '.join(report.silent) or 'none'
    return (
        f'{len(report.instances)} instances answered, silent: {silent}; '
        f'sees {minutes} minutes back'
    )


def render_text(report: Report) -> str:
    """Return the report for a terminal."""
    lines = [summarise(report)]
    for quantiles in report.quantiles:
        lines.append(
            f'{quantiles.service} {quantiles.measure} ms: '
            f'p50 {quantiles.p50:g} p95 {quantiles.p95:g} '
            f'p99 {quantiles.p99:g} longest {quantiles.longest:g} '
            f'({quantiles.count})'
        )
    for line in report.lines:
        lines.append(_describe(line))
        for burn in line.burn:
            if burn.alerting:
                lines.append(
                    f'  ALERT {burn.measure} burns {burn.short:.1f} '
                    f'and {burn.long:.1f} over {burn.window}'
                )
    return '\n'.join(lines)


def render_html(report: Report) -> str:
    """Return the report as one page with plots and no other files."""
    return _PAGE.format(
        summary=escape(summarise(report)),
        tables=''.join(_render_table(line) for line in report.lines),
        plots=_render_plots(report.quantiles),
    )


def _describe(line: ReportLine) -> str:
    counts = line.counts
    return (
        f'{line.service} {line.customer or "(all)"}: {counts.total} answers, '
        f'{counts.unfinished} unfinished, {counts.stalled} stalled, '
        f'{counts.preempted} preempted, {counts.slow} slow, '
        f'{counts.late} late'
    )


def _render_table(line: ReportLine) -> str:
    rows = ''.join(
        f'<tr class="{"alert" if burn.alerting else ""}">'
        f'<td>{escape(burn.measure)}</td><td>{escape(burn.window)}</td>'
        f'<td>{burn.short:.2f}</td><td>{burn.long:.2f}</td></tr>'
        for burn in line.burn
    )
    return (
        f'<h2>{escape(_describe(line))}</h2><table><tr><th>measure</th>'
        f'<th>windows</th><th>short</th><th>long</th></tr>{rows}</table>'
    )


def _render_plots(quantiles: tuple[Quantiles, ...]) -> str:
    figures: list[str] = []
    for measure in sorted({quantile.measure for quantile in quantiles}):
        chart = pygal.Bar(
            title=f'{measure}, ms', js=[], disable_xml_declaration=True
        )
        chart.x_labels = ['p50', 'p95', 'p99', 'longest']
        for quantile in quantiles:
            if quantile.measure == measure:
                chart.add(
                    quantile.service,
                    [
                        quantile.p50,
                        quantile.p95,
                        quantile.p99,
                        quantile.longest,
                    ],
                )
        figures.append(f'<figure>{chart.render(is_unicode=True)}</figure>')
    return ''.join(figures)
