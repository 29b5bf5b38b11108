"""Draws a burn report: burn rates by window and bad requests by cause."""

from typing import Any
from typing import Mapping
from typing import Sequence

from matplotlib import figure

from magnoliadyke.core import burn

__all__ = ['draw']

SIZE_INCHES = (9, 4)
#: The window whose causes are drawn, in seconds.
CAUSES_WINDOW_S = 3600
WINDOW_LABELS = {
    300: '5 min',
    1800: '30 min',
    3600: '1 h',
    21600: '6 h',
    259200: '3 d',
}


def draw(report: Mapping[str, Any], path: str) -> None:
    """Draw a burn report.

    :param report: the response of ``GET /admin/burn``.
    :param path: path of the PNG file to write.
    """
    drawing = figure.Figure(figsize=SIZE_INCHES, layout='constrained')
    rates, causes = drawing.subplots(1, 2)
    _draw_rates(rates, report['customers'])
    _draw_causes(causes, report['customers'])
    drawing.savefig(path, format='png')


def _draw_rates(axes: Any, customers: Sequence[Mapping[str, Any]]) -> None:
    for customer in customers:
        windows = customer['windows']
        axes.plot(
            [_label(window) for window in windows],
            [window['burn_rate'] for window in windows],
            marker='o',
            label=customer['name'],
        )
    axes.axhline(1.0, linestyle='--', color='grey', label='whole budget spent')
    axes.set(xlabel='window', ylabel='burn rate', ylim=(0, None))
    axes.legend()


def _label(window: Mapping[str, Any]) -> str:
    seconds = window['window_s']
    return WINDOW_LABELS.get(seconds, f'{seconds} s')


def _draw_causes(axes: Any, customers: Sequence[Mapping[str, Any]]) -> None:
    names = [customer['name'] for customer in customers]
    drawn = [0] * len(customers)
    for cause in burn.CAUSES:
        counts = [_causes(customer).get(cause, 0) for customer in customers]
        axes.bar(names, counts, bottom=drawn, label=cause)
        drawn = [
            below + count for below, count in zip(drawn, counts, strict=True)
        ]
    axes.set(ylabel=f'bad requests in {WINDOW_LABELS[CAUSES_WINDOW_S]}')
    axes.legend()


def _causes(customer: Mapping[str, Any]) -> Mapping[str, int]:
    for window in customer['windows']:
        if window['window_s'] == CAUSES_WINDOW_S:
            return window.get('causes', {})
    return {}
