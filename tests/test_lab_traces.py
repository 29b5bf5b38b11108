"""Tests of trace files and generators."""

import io

import pytest

from magnoliadyke.lab import traces

DALA = traces.DEPLOYMENTS['dala']
HEADER = ','.join(traces.COLUMNS)
GOOD = '0.5,lease,lease-model,100,10,,0,2.0,0.07,true'


def read(*lines):
    return traces.read(io.StringIO('\n'.join(lines)), 'trace.csv', DALA)


def test_written_trace_is_read_back():
    shape = traces.Shape('swing', duration_s=20.0)
    requests = traces.generate(DALA, shape, 1)
    file = io.StringIO()
    traces.write(requests, file)
    file.seek(0)
    again = traces.read(file, 'trace.csv', DALA)
    assert [r._replace(at_s=0) for r in again] == [
        r._replace(at_s=0) for r in requests
    ]


@pytest.mark.parametrize(
    'row, words',
    [
        ('0.5,lease', 'fields'),
        (GOOD.replace('lease,', 'nobody,', 1), 'customer'),
        (GOOD.replace('lease-model', 'other'), 'model'),
        (GOOD.replace('100', '-1'), 'prompt_tokens'),
        (GOOD.replace('0.5', 'nan'), 'at_s'),
        (GOOD.replace('0.5', 'inf'), 'at_s'),
        (GOOD.replace('true', 'yes'), 'repeatable'),
        (GOOD.replace(',,0,', ',p,500,'), 'prefix_tokens'),
    ],
)
def test_bad_row_is_refused_with_its_line(row, words):
    with pytest.raises(traces.TraceError) as caught:
        read(HEADER, GOOD, row)
    (problem,) = caught.value.problems
    assert problem.startswith('line 3: ')
    assert words in problem
    assert ';' in problem


def test_header_and_empty_trace_are_refused():
    for lines in ((GOOD,), (HEADER,)):
        with pytest.raises(traces.TraceError):
            read(*lines)


@pytest.mark.parametrize('name', ['steady', 'swing', 'step', 'slow-day'])
def test_generated_load_is_as_asked(name):
    shape = traces.Shape(name, load=0.7)
    requests = traces.generate(DALA, shape, 3)
    load = traces.demand_s(requests) / (shape.duration_s * DALA.engines)
    assert abs(load - 0.7) < 0.07


def test_every_shape_draws_both_customers_in_order():
    for name in traces.SHAPES:
        requests = traces.generate(DALA, traces.Shape(name), 1)
        times = [request.at_s for request in requests]
        assert times == sorted(times)
        assert {r.customer for r in requests} == set(DALA.weights)


def test_scale_sets_the_mean_load():
    requests = traces.generate(DALA, traces.Shape('steady'), 1)
    scaled = traces.scale(requests, 0.5, DALA.engines)
    load = traces.demand_s(scaled) / (scaled[-1].at_s * DALA.engines)
    assert abs(load - 0.5) < 1e-6
