"""Starts the processes of a deployment on loopback and stops them."""

import ctypes
import http.client
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import typing

import gevent

from magnoliadyke.lab import layout
from magnoliadyke.lab import links
from magnoliadyke.lab import standin
from magnoliadyke import program

__all__ = [
    'ADMIN_TOKEN',
    'Cluster',
    'NotReady',
    'Options',
    'call_json',
    'caller_key',
    'claim_run',
    'die_with_parent',
]

CALL_TIMEOUT_S = 5.0
READY_TIMEOUT_S = 30.0
NODE_STOP_TIMEOUT_S = 40.0
STAND_IN_STOP_TIMEOUT_S = 5.0
POLL_INTERVAL_S = 0.05
PROXY_NAME = 'proxy'
PR_SET_PDEATHSIG = 1
CLAIM_PORT = 7999
FREE_RUNS = range(100, 200)

#: For modules that import only this one.
ADMIN_TOKEN = layout.ADMIN_TOKEN
Options = layout.Options
caller_key = layout.caller_key


class NotReady(Exception):
    """A process did not get ready in time, or exited before."""


class Process(typing.NamedTuple):
    """A process, with the command and environment to restart it."""

    name: str
    command: list[str]
    environment: dict[str, str]
    popen: subprocess.Popen


class Cluster(layout.Layout):
    """The processes of one deployment: stand-ins and nodes.

    Processes have the names of their hosts and endpoints in the settings, or
    ``keyvalue``, ``weight_store``, ``host_list`` and ``proxy``.  As a context
    manager it kills all processes on exit, also after an exception.

    :param document: settings of the deployment, as read from JSON
    :param options: :class:`Options`
    """

    def __init__(self, document, options):
        self.lock, run = claim_run(options.run)
        self.options = options._replace(run=run)
        self.directory = pathlib.Path(
            options.directory or tempfile.mkdtemp(prefix='magnoliadyke-')
        )
        self.directory.mkdir(parents=True, exist_ok=True)
        super().__init__(
            layout.derive_settings(document, self.options),
            self.options,
            self.directory,
        )
        self.settings_file = self.directory / 'settings.json'
        self.settings_file.write_text(json.dumps(self.settings, indent=1))
        self.processes = {}

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.kill_all()

    # Starting.

    def start(self):
        """Start all processes and wait until each node lists all hosts."""
        self.start_stand_ins()
        self.start_nodes()
        self.wait_ready()

    def start_stand_ins(self):
        """Start all stand-ins, and the fault proxy if the nodes use it.

        Waits until all of them but the proxy answer.
        """
        if self.options.proxied:
            control = self.control_address()
            spec = {'control': control, 'names': self.names}
            self.start_program(PROXY_NAME, 'proxy', self.proxy_address(), spec)
        for name in layout.PLATFORM:
            self.start_stand_in(name)
        for name in self.endpoints:
            self.start_stand_in(name)
        for name in (*layout.PLATFORM, *self.endpoints):
            self.wait_healthy(name)

    def start_stand_in(self, name):
        """Start the stand-in of a name."""
        kind, spec = self.stand_in_spec(name)
        self.start_program(name, kind, self.address(name), spec)

    def start_program(self, name, verb, address, spec):
        """Start a program of the lab.

        :param verb: of ``magnoliadyke lab``
        :param address: where it listens
        :param spec: its settings, passed as JSON
        """
        command = program.command('lab', verb, address, json.dumps(spec))
        self.launch(name, command, {})

    def start_nodes(self):
        """Start a node on every host."""
        for name in self.hosts:
            self.start_node(name)

    def start_node(self, name):
        """Start the node of a host."""
        arguments = ['node', str(self.settings_file), '--host', name]
        if not self.options.proxied:
            self.launch(name, program.command(*arguments), {})
            return
        spec = {
            'name': name,
            'proxy': self.proxy_address(),
            'targets': [a for a, n in self.names.items() if n != name],
        }
        command = [sys.executable, '-m', links.__name__, *arguments]
        self.launch(
            name, command, {links.ENVIRONMENT_VARIABLE: json.dumps(spec)}
        )

    def launch(self, name, command, extra):
        """Start a process with its output appended to its log file.

        :param extra: environment variables besides those of this process
        """
        environment = {**os.environ, **extra}
        with open(self.directory / f'{name}.log', 'ab') as log:
            popen = subprocess.Popen(
                command,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=environment,
                preexec_fn=die_with_parent,
            )
        self.processes[name] = Process(name, command, extra, popen)

    def restart(self, name):
        """Start a process again that has exited, with the same command."""
        process = self.processes[name]
        process.popen.wait(timeout=STAND_IN_STOP_TIMEOUT_S)
        self.launch(name, process.command, process.environment)

    # Readiness.

    def wait_healthy(self, name):
        """Wait until a stand-in answers its health check."""
        self.wait_for(name, lambda: self.is_healthy(name))

    def is_healthy(self, name):
        """Whether a stand-in answers its health check."""
        return call_json(self.address(name), 'GET', '/health')[0] == 200

    def wait_ready(self):
        """Wait until each running node lists all running hosts to callers."""
        running = [name for name in self.hosts if self.is_alive(name)]
        for name in running:
            self.wait_for(
                name,
                lambda name=name: self.has_listed_hosts(name, len(running)),
            )

    def has_listed_hosts(self, name, count):
        """Whether a node lists at least ``count`` hosts to callers."""
        address = self.caller_address(name)
        status, body = call_json(address, 'GET', '/v1/hosts')
        return status == 200 and len(body['hosts']) >= count

    def wait_for(self, name, ready, timeout_s=READY_TIMEOUT_S):
        """Wait until ``ready`` returns true.

        :param name: process that must keep running meanwhile
        :raises NotReady: after ``timeout_s``, or if the process exited
        """
        end_s = time.monotonic() + timeout_s
        while True:
            if not self.is_alive(name):
                raise NotReady(f'{name} exited: {self.log_tail(name)}')
            try:
                if ready():
                    return
            except (OSError, http.client.HTTPException, ValueError):
                pass
            if time.monotonic() > end_s:
                raise NotReady(
                    f'{name} is not ready after {timeout_s:g} s: '
                    f'{self.log_tail(name)}'
                )
            gevent.sleep(POLL_INTERVAL_S)

    def log_tail(self, name, characters=600):
        """The last characters of a process's log."""
        path = self.directory / f'{name}.log'
        return path.read_text(errors='replace')[-characters:]

    # Single processes.

    def is_alive(self, name):
        """Whether a process is running."""
        process = self.processes.get(name)
        return process is not None and process.popen.poll() is None

    def signal(self, name, number):
        """Send a signal to a process if it is running."""
        if self.is_alive(name):
            self.processes[name].popen.send_signal(number)

    def kill(self, name):
        """Kill a process with SIGKILL and wait for its exit."""
        self.signal(name, signal.SIGKILL)
        self.processes[name].popen.wait()

    def pause(self, name):
        """Pause a process with SIGSTOP."""
        self.signal(name, signal.SIGSTOP)

    def resume(self, name):
        """Resume a paused process with SIGCONT."""
        self.signal(name, signal.SIGCONT)

    def terminate(self, name):
        """Send SIGTERM to a process, without waiting for its exit."""
        self.signal(name, signal.SIGTERM)

    def wait(self, name, timeout_s=NODE_STOP_TIMEOUT_S):
        """Wait until a process has exited.

        :returns: its exit status, ``None`` if it is still running
        """
        try:
            return self.processes[name].popen.wait(timeout_s)
        except subprocess.TimeoutExpired:
            return None

    def process_usage(self, name):
        """CPU seconds and resident bytes of a process."""
        pid = self.processes[name].popen.pid
        fields = pathlib.Path(f'/proc/{pid}/stat').read_text()
        user, system = fields.rpartition(')')[2].split()[11:13]
        ticks = os.sysconf('SC_CLK_TCK')
        pages = pathlib.Path(f'/proc/{pid}/statm').read_text().split()[1]
        return {
            'cpu_s': (int(user) + int(system)) / ticks,
            'resident_bytes': int(pages) * os.sysconf('SC_PAGE_SIZE'),
        }

    # Faults, ledgers and admin calls.

    def set_fault(self, name, **fault):
        """Turn a fault of a stand-in on or off.

        :param fault: ``kind`` and its arguments, as ``POST /faults`` has them
        """
        return call_json(self.address(name), 'POST', '/faults', fault)

    def add_rule(self, **fault):
        """Add a rule to the fault proxy.

        :param fault: fields of the rule; ``source`` is sent as ``from``
        :returns: id of the rule
        """
        fault = {('from' if k == 'source' else k): v for k, v in fault.items()}
        address = self.control_address()
        return call_json(address, 'POST', '/rules', fault)[1]['rule']

    def remove_rule(self, rule=None):
        """Remove a rule of the fault proxy, all rules if ``rule`` is None."""
        path = '/rules' if rule is None else f'/rules/{rule}'
        address = self.control_address()
        call_json(address, 'DELETE', path)

    def partition(self, name, others, for_s=None):
        """Drop all packets between a process and others in both directions."""
        return self.add_rule(
            source=name, to=others, kind='drop', both=True, for_s=for_s
        )

    def ledger(self, name):
        """Rows of a stand-in's ledger, including those before a restart.

        A row that is not yet written to its end is left out.
        """
        path = self.directory / f'{name}.ledger'
        if not path.exists():
            return []
        lines = path.read_text().splitlines()
        return [json.loads(line) for line in lines if line.endswith('}')]

    def admin(self, host, method, path, body=None, timeout_s=CALL_TIMEOUT_S):
        """Call a node's admin listener.

        :returns: status and decoded body
        """
        headers = {'Authorization': f'Bearer {ADMIN_TOKEN}'}
        address = self.admin_address(host)
        return call_json(address, method, path, body, headers, timeout_s)

    # Ending.

    def stop(self):
        """Stop all processes gracefully, the nodes before the stand-ins.

        :returns: exit status of each node that was still running, None if
            it had to be killed
        """
        running = [name for name in self.hosts if self.is_alive(name)]
        for name in running:
            self.terminate(name)
        statuses = {name: self.wait(name) for name in running}
        rest = [name for name in self.processes if self.is_alive(name)]
        for name in rest:
            self.terminate(name)
        for name in rest:
            self.wait(name, STAND_IN_STOP_TIMEOUT_S)
        self.kill_all()
        return statuses

    def kill_all(self):
        """Kill all processes that are still running and release the run."""
        for name in self.processes:
            self.signal(name, signal.SIGKILL)
        for process in self.processes.values():
            process.popen.wait()
        self.lock.close()


def claim_run(run):
    """Reserve the addresses of a run for this process.

    Without this, a cluster whose stand-ins fail to start would reach those of
    another cluster at the same addresses and use them as its own.

    :param run: number of the run, any free one when 0
    :returns: a socket that holds the reservation until it is closed, and the
        number of the run
    :raises NotReady: if another process holds the reservation
    """
    runs = [run] if run else random.sample(FREE_RUNS, len(FREE_RUNS))
    for number in runs:
        lock = socket.socket()
        try:
            lock.bind((f'127.{number}.255.1', CLAIM_PORT))
            return lock, number
        except OSError:
            lock.close()
    raise NotReady(f'the addresses of run {run or "100 to 199"} are in use')


def die_with_parent():
    """Have the kernel kill this process when its parent dies.

    A lab that is killed with SIGKILL can't clean up.  Without this, its
    processes would keep running and hold their addresses.
    """
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def call_json(
    address, method, path, body=None, headers=None, timeout_s=CALL_TIMEOUT_S
):
    """Send one HTTP request, with a JSON body if there is one.

    :returns: status and decoded body, None for an empty one
    :raises OSError: if the service can't be reached
    """
    host, port = standin.split_address(address)
    connection = http.client.HTTPConnection(host, port, timeout=timeout_s)
    data = None if body is None else json.dumps(body)
    headers = {'Content-Type': 'application/json', **(headers or {})}
    try:
        connection.request(method, path, data, headers)
        response = connection.getresponse()
        text = response.read()
        return response.status, json.loads(text) if text else None
    finally:
        connection.close()
