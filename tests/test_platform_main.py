"""The process of a node on the platform."""

import itertools
import json
import os
import random
import signal
import subprocess
import sys

import pytest

from magnoliadyke import clock
from magnoliadyke.lab import platformrecords
from magnoliadyke.platform import node
from magnoliadyke.platform import settings
from tests import gatewayworld

#: Its interpreter needs far longer to end than a host is given to stop.
SLOW_END = """
import atexit, runpy, sys, time
atexit.register(time.sleep, 600)
runpy.run_module(sys.argv.pop(1), run_name='__main__', alter_sys=True)
"""
STOP_S = 2.5
WAIT_S = 30.0
#: Of this file's own: nodes of other tests count from 1.
HOSTS = itertools.count(251)


class Process:
    """A node's process.

    :param words: module and command line that run it, after the interpreter
    """

    def __init__(self, directory, words):
        subnet = gatewayworld.SUBNET % 250 + 1
        ip = f'{gatewayworld.NET}.{subnet}.{next(HOSTS)}'
        values = platformrecords.node_settings(
            'host-1', ip, f'{ip}:8180', stop_s=STOP_S, directory_ttl_s=1
        )
        path = directory / 'host-1.json'
        path.write_text(json.dumps(values))
        self.log = directory / 'host-1.log'
        with open(self.log, 'wb') as log:
            self.popen = subprocess.Popen(
                [sys.executable, '-c', SLOW_END, *words],
                env=os.environ | {settings.VARIABLE: str(path)},
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def logged(self, name):
        """Whether it has logged an event."""
        return f'event={name}' in self.log.read_text()

    def end(self):
        """Kill it."""
        self.popen.kill()
        self.popen.wait()


@pytest.fixture(
    params=[['magnoliadyke.platform'], ['magnoliadyke', 'platform']],
    ids=['module', 'command'],
)
def process(request, tmp_path):
    made = Process(tmp_path, request.param)
    yield made
    made.end()


def test_stopped_host_is_gone_however_long_its_interpreter_would_take(process):
    gatewayworld.wait_for(lambda: process.logged('started'), 'start', WAIT_S)
    process.popen.send_signal(signal.SIGTERM)
    gatewayworld.wait_for(lambda: process.logged('stopped'), 'stop', WAIT_S)
    assert process.popen.wait(timeout=WAIT_S) == 0
    assert process.log.read_text().endswith('event=stopped\n')


def test_reload_reads_the_file_that_the_host_was_started_with(
    tmp_path, monkeypatch
):
    """Only a file named by the environment was read, and others refused."""
    monkeypatch.delenv(settings.VARIABLE, raising=False)
    values = platformrecords.node_settings('h', '127.0.0.1', '127.0.0.1:1')
    path = tmp_path / 'h.json'
    path.write_text(json.dumps(values))
    made = node.Node(
        settings.load(str(path)), clock.SystemClock(), random.Random(1)
    )
    path.write_text(json.dumps(values | {'retry_extra': 7}))
    made._reload()
    assert made.settings.retry_extra == 7
