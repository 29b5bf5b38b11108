"""Tests of the application object."""

import pytest

from magnoliadyke import app
from magnoliadyke import clock


class Recorder(app.Component):
    def __init__(self, name, log, fails=False):
        self.name = name
        self.log = log
        self.fails = fails

    def start(self):
        if self.fails:
            raise OSError('address in use')
        self.log.append(f'start {self.name}')

    def stop(self, deadline_s):
        self.log.append(f'stop {self.name}')


def test_components_stop_in_reverse_order():
    log = []
    application = app.Application(clock.ManualClock())
    application.add(Recorder('a', log))
    application.add(Recorder('b', log))
    application.start()
    application.stop(1.0)
    assert log == ['start a', 'start b', 'stop b', 'stop a']


def test_a_component_that_fails_to_start_stops_the_earlier_ones():
    # What the operator sees: the process ends with the error. In between,
    # what had started is stopped, so that no listener is left behind.
    log = []
    application = app.Application(clock.ManualClock())
    application.add(Recorder('a', log))
    application.add(Recorder('b', log, fails=True))
    with pytest.raises(OSError):
        application.start()
    assert log == ['start a', 'stop a']
