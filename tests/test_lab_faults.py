"""A short fault run with real processes, and what is made of its results."""

from magnoliadyke.lab import checker
from magnoliadyke.lab import faults
from magnoliadyke.lab import schedules


def test_every_second_engine_ignores_numbers():
    for name in ('dala', 'zarqa'):
        document = faults.document_for(name)
        engines = document['pools'][0]['endpoints']
        checks = [engine['checks_fencing'] for engine in engines]
        assert checks == [n % 2 == 0 for n in range(len(engines))]


def test_drawn_plans_have_one_fault_or_two():
    args = {
        '--deployment': 'zarqa',
        '--runs': '6',
        '--seed': '3',
        '--schedule': None,
        '--faults': None,
        '--keep': None,
        '--duration': '20',
        '--load': '0.4',
    }
    plans = faults.plans_of(args)
    assert [len(plan.schedule) for plan in plans] == [1, 2] * 3
    assert plans == faults.plans_of(args)


def test_host_killed_and_endpoint_leaving(tmp_path):
    """No caller notices that a host dies while an endpoint leaves.

    The host that plans the pool is killed under load; right after it a
    service says that it leaves.  Callers resume at other hosts, nothing
    runs twice, and the service gets nothing new after three seconds.
    """
    schedule = [
        schedules.Fault(1.5, 'kill_host', 'entry-2', 2.0, {'holder': True}),
        schedules.Fault(2.0, 'endpoint_leaves', 'portal-2', 5.0),
    ]
    plan = faults.Plan('dala', 1, schedule, 7.0, 0.3, str(tmp_path))
    result = faults.run(plan)
    assert result['violations'] == []
    assert result['calls']['answered'] > 100
    summary = faults.summary_of([result])
    assert summary['violations'] == dict.fromkeys(checker.PROMISES, 0)
    assert 'kill_host' in faults.render(result)
