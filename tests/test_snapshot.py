"""Tests of what operators are shown of the scheduler."""

import random

from magnoliadyke.core import jobs
from magnoliadyke.core import scheduler
from magnoliadyke.core import snapshot
from magnoliadyke.core import table


def make():
    info = jobs.EndpointInfo('e1', 'm', 'model', '127.0.0.1:1')
    made = scheduler.Scheduler([info], random.Random(1))
    rows = {'lease': table.CustomerRow()}
    made.set_table(table.View(1, rows, {}, {}, {}), 0.0)
    return made


def test_endpoint_and_customer_are_seen():
    made = make()
    assert snapshot.take(made, 0.0).endpoints['e1'].report_age_s is None
    made.handle_load_report('e1', jobs.LoadReport(1.0, running=3), 1.0)
    made.submit(jobs.Job('j', 'lease', 'm', model='m'), 1.0)
    seen = snapshot.take(made, 3.0)
    assert seen.endpoints['e1'] == snapshot.EndpointSnapshot(
        'up', 'decode', 3, 1, 2.0
    )
    assert seen.customers == {'lease': snapshot.CustomerSnapshot(1, 0)}


def test_state_tells_why_an_endpoint_gets_no_work():
    made = make()
    made.set_endpoint_state('e1', 'crashed', 1.0)
    assert snapshot.take(made, 1.0).endpoints['e1'].state == 'crashed'
    made.set_endpoint_state('e1', 'up', 2.0)
    made.endpoints['e1'].health.eject(2.0)
    assert snapshot.take(made, 2.0).endpoints['e1'].state == 'ejected'
