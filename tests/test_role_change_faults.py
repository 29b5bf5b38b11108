"""Role changes that fail half-way, with real processes.

The engines' ledgers are the witnesses: which commands they took, from whom
and with which number, and which of them had an effect.
"""

import json
import pathlib
import sys

import pytest

from magnoliadyke.lab import cluster

DALA = pathlib.Path(__file__).parent.parent / 'examples' / 'dala.json'
POOL = 'lease-model'
#: The first by name of the engines that decode; idle ones go by name.
ENGINE = 'lease-model-1'
CHANGE_WAIT_S = 60
#: Stops its process right before the last byte of the first command that
#: gives this engine the prefill role, after the authority was asked.
STOPPING = """
import os, signal, sys
from magnoliadyke import __main__
from magnoliadyke import enginecontrol
exchange = enginecontrol.HttpEngineControl.exchange
def exchange_or_stop(self, connection, command, left_s, may_send):
    def ask():
        allowed = may_send()
        first = command.id.startswith('lease-model-1-')
        if allowed and first and command.change.target == 'prefill':
            try:
                os.close(os.open(MARK, os.O_CREAT | os.O_EXCL))
                os.kill(os.getpid(), signal.SIGSTOP)
            except FileExistsError:
                pass
        return allowed
    return exchange(self, connection, command, left_s, ask)
enginecontrol.HttpEngineControl.exchange = exchange_or_stop
sys.exit(__main__.main())
"""


class Stoppable(cluster.Cluster):
    """A cluster whose first commander stops at the worst moment."""

    stops = False

    @property
    def mark(self):
        """File that exists once a process has stopped."""
        return self.directory / 'stopped'

    def launch(self, name, command, extra):
        if self.stops and name in self.hosts:
            program = STOPPING.replace('MARK', repr(str(self.mark)))
            words = command[command.index('node') :]
            command = [sys.executable, '-c', program, *words]
        super().launch(name, command, extra)


def document(checks_fencing):
    """Settings of one pool: one engine prefills, four decode."""
    made = json.loads(DALA.read_text())
    made['pools'] = made['pools'][:1]
    made['timing'].update(lease_ttl_s=3, stale_after_s=2)
    for endpoint in made['pools'][0]['endpoints']:
        endpoint['checks_fencing'] = checks_fencing
        endpoint['role'] = 'decode'
    made['pools'][0]['endpoints'][1]['role'] = 'prefill'
    made['initial_table']['pools'][POOL]['planning'] = 'fixed'
    return made


@pytest.fixture
def start(tmp_path):
    """Start clusters; they end with the test."""
    made = []

    def start_one(checks_fencing, stops=False):
        options = cluster.Options(
            directory=str(tmp_path),
            hosts=3,
            engine={'speeds': {'role_change_s': 1.0}},
        )
        running = Stoppable(document(checks_fencing), options)
        running.stops = stops
        made.append(running)
        running.start()
        return running

    yield start_one
    for running in made:
        running.kill_all()


def edit(running, **cells):
    """Put cells of the pool's row in force, on a host that works."""
    host = next(each for each in running.hosts if works(running, each))
    status, shown = running.admin(host, 'GET', '/admin/table')
    assert status == 200
    body = {
        'edit': json.dumps(cells),
        'operator': 'ann',
        'base_revision': shown['revision'],
        'cells': {f'pools/{POOL}/{name}': v for name, v in cells.items()},
        'wait_s': 15,
    }
    status, answer = running.admin(host, 'POST', '/admin/table', body, 20)
    assert (status, answer['state']) == (200, 'in_force')


def works(running, host):
    """Whether a host answers at all."""
    try:
        return running.admin(host, 'GET', '/admin/table', timeout_s=2)[0]
    except OSError:
        return False


def rows_of(running, what):
    return [row for row in running.ledger(ENGINE) if row['what'] == what]


def changes(running):
    """Roles that the engine has taken up."""
    return [row['role'] for row in rows_of(running, 'change_done')]


def taken(running, role):
    """Commands for a role that the engine took."""
    return [
        row
        for row in rows_of(running, 'command')
        if row['role'] == role and row['status'] == 202
    ]


def wait_for(running, condition):
    running.wait_for(ENGINE, condition, CHANGE_WAIT_S)


@pytest.mark.parametrize('checks_fencing', [True, False])
def test_an_engine_that_crashes_half_way_is_brought_to_its_end(
    start, checks_fencing
):
    # Prompts would wait for an engine that nobody goes on changing: it dies
    # in mid-change, and comes back in its old role with no memory of the
    # command. The holder reads it back and commands again, and no second
    # engine is taken in its stead.
    running = start(checks_fencing)
    running.set_fault(ENGINE, kind='crash_in_change')
    edit(running, min_prefill=2)
    wait_for_crash(running)
    running.restart(ENGINE)
    wait_for(running, lambda: changes(running) == ['prefill'])
    numbers = [row['fencing'] for row in taken(running, 'prefill')]
    assert len(numbers) == 2
    assert numbers == sorted(numbers)
    for name in running.endpoints.keys() - {ENGINE}:
        begun = [row['what'] for row in running.ledger(name)]
        assert 'change_begun' not in begun


def wait_for_crash(running):
    """Wait until the engine's process has ended."""
    running.processes[ENGINE].popen.wait(CHANGE_WAIT_S)


@pytest.mark.parametrize('checks_fencing', [True, False])
def test_a_command_whose_reply_is_lost_is_not_given_twice(
    start, checks_fencing
):
    # An engine would change its role twice, and stand still twice: the reply
    # to a command is lost, and whoever sent it sends another. The holder
    # reads the engine back instead.
    running = start(checks_fencing)
    running.set_fault(ENGINE, kind='lose_reply', count=1)
    edit(running, min_prefill=2)
    wait_for(running, lambda: changes(running) == ['prefill'])
    assert len(taken(running, 'prefill')) == 1


@pytest.mark.parametrize('checks_fencing', [True, False])
def test_a_holder_stopped_before_its_last_byte(start, checks_fencing):
    # An engine would be in a role that nobody planned. The holder is stopped
    # after it has asked for the last time whether it may send, and before
    # the system call that sends the last byte. Others take over, and by
    # their plan the engine decodes. Then the stopped process goes on, and
    # its command, long out of date, arrives. An engine that checks numbers
    # refuses it. One that ignores them takes it: that is the window that
    # can't be closed. The new holder finds the engine astray and commands it
    # back, and the process that was stopped sends nothing more.
    running = start(checks_fencing, stops=True)
    edit(running, min_prefill=2)
    wait_for(running, running.mark.exists)
    wait_for(running, lambda: changes(running) == ['prefill'])
    edit(running, min_prefill=1, min_decode=4)
    wait_for(running, lambda: changes(running) == ['prefill', 'decode'])
    before = len(rows_of(running, 'command'))
    stopped = stopped_host(running)
    running.resume(stopped)
    wait_for(running, lambda: len(rows_of(running, 'command')) > before)
    stale = rows_of(running, 'command')[before]
    assert (stale['sender'], stale['role']) == (stopped, 'prefill')
    assert stale['status'] == (409 if checks_fencing else 202)
    if not checks_fencing:
        undone = ['prefill', 'decode'] * 2
        wait_for(running, lambda: changes(running) == undone)
    later = rows_of(running, 'command')[before + 1 :]
    assert {row['sender'] for row in later}.isdisjoint({stopped})
    assert all(row['fencing'] > stale['fencing'] for row in later)
    assert changes(running)[-1] == 'decode'


def stopped_host(running):
    """Name of the host whose process is stopped."""
    for name in running.hosts:
        pid = running.processes[name].popen.pid
        status = pathlib.Path(f'/proc/{pid}/stat').read_text()
        if status.rpartition(')')[2].split()[0] == 'T':
            return name
    raise AssertionError('no process is stopped')
