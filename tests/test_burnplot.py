"""Tests of the plot of a burn report."""

import dataclasses

from magnoliadyke import burnplot
from magnoliadyke.core import burn


def test_report_is_drawn_as_a_picture(tmp_path):
    windows = dict.fromkeys(burn.WINDOWS_S, burn.Counts(100, (1, 2, 3, 4)))
    customers = burn.evaluate({'lease': windows}, {'lease': 0.95, 'new': 0.9})
    report = {'customers': [dataclasses.asdict(each) for each in customers]}
    path = tmp_path / 'burn.png'
    burnplot.draw(report, str(path))
    assert path.read_bytes().startswith(b'\x89PNG')
