"""Tests of the policy experiments."""

import json

import pytest

from magnoliadyke import errors
from magnoliadyke.lab import policy
from magnoliadyke.lab import traces

FIGURES = {
    'goodput_tokens_s',
    'goodput_requests_s',
    'met_share',
    'role_changes',
    'objective',
    'not_run',
    'unknown',
    'customers',
    'fairness',
}
SHORT = policy.Options('dala', duration_s=30.0, load=0.5, processes=1)


def run(tmp_path, policies, *faults, **fields):
    path = tmp_path / 'faults'
    path.write_text('\n'.join(json.dumps(fault) for fault in faults))
    options = SHORT._replace(policies=policies, faults=str(path), **fields)
    return policy.run(options)['runs'][0]['policies']


def test_result_has_the_keys_and_repeats_itself():
    options = SHORT._replace(policies=('ours',), seeds=(1, 2))
    result = policy.run(options)
    assert result == policy.run(options)
    figures = result['runs'][0]['policies']['ours']
    assert set(figures) >= FIGURES
    assert set(figures['customers']) == {'lease', 'portal'}
    assert figures['met_share'] > 0.95
    assert len(result['summary']['ours']['objective']) == 3


def test_crash_and_failed_change_lose_no_answer(tmp_path):
    """An engine crashes, and so does one that changes its role.

    Callers see late answers or are told that nothing ran.  The engine's
    streams are lost; requests that may run again do so elsewhere, and only
    those that may not end as unknown.
    """
    crash = {'at_s': 5, 'kind': 'crash', 'target': 'lease-model-4', 'for_s': 5}
    fails = {'at_s': 8, 'kind': 'change_fails', 'for_s': 20}
    figures = run(tmp_path, ('greedy',), crash, fails, load=0.8)['greedy']
    answered = figures['goodput_requests_s'] * 30
    assert answered > 0
    assert 0 < figures['unknown'] < 60


def test_without_authority_no_role_changes(tmp_path):
    fault = {'at_s': 0, 'kind': 'no_authority'}
    figures = run(tmp_path, ('greedy',), fault, load=0.8)
    assert figures['greedy']['role_changes'] == 0


def test_withdrawn_engine_and_lagging_reports_are_survived(tmp_path):
    gone = {'at_s': 5, 'kind': 'withdrawn', 'target': 'lease-model-5'}
    lag = {'at_s': 5, 'kind': 'report_lag', 'for_s': 10}
    figures = run(tmp_path, ('fixed',), gone, lag)['fixed']
    assert figures['met_share'] > 0.9
    assert figures['unknown'] == 0


def test_bad_faults_are_refused_with_their_lines(tmp_path):
    bad = {'at_s': 5, 'kind': 'flood'}
    with pytest.raises(traces.TraceError) as caught:
        run(tmp_path, ('ours',), {'at_s': 1, 'kind': 'no_authority'}, bad)
    assert caught.value.problems[0].startswith('line 2: ')


def test_trace_file_is_squeezed_to_the_load(tmp_path):
    path = tmp_path / 'trace.csv'
    policy.run(SHORT._replace(policies=('ours',), write_trace=str(path)))
    options = SHORT._replace(policies=('ours',), trace=str(path), load=0.25)
    half = policy.run(options)['runs'][0]['policies']['ours']
    whole = policy.run(options._replace(load=None))
    whole = whole['runs'][0]['policies']['ours']
    rate = half['goodput_requests_s'] / whole['goodput_requests_s']
    assert 0.4 < rate < 0.6


@pytest.mark.parametrize(
    'option, value',
    [
        ('--deployment', 'other'),
        ('--policy', 'ours,best'),
        ('--seeds', '9-3'),
        ('--load', 'much'),
        ('--shape', 'round'),
    ],
)
def test_bad_options_name_the_remedy(option, value):
    with pytest.raises(errors.UsageError) as caught:
        policy.main(
            [f'{option}={value}']
            + ['--deployment=dala'] * (option != '--deployment')
        )
    assert caught.value.remedy


def test_plot_is_written(tmp_path):
    pytest.importorskip('matplotlib')
    path = tmp_path / 'plot.png'
    policy.main(
        [
            '--deployment=dala',
            '--duration=20',
            '--load=0.5',
            '--policy=greedy,ours',
            f'--plot={path}',
        ]
    )
    assert path.read_bytes().startswith(b'\x89PNG')
