"""Checks start, process and stop of a node that runs from the binary.

Usage: ``python tools/binary_check.py BINARY``.  Starts a stand-in for the
key-value service and one node from the binary on loopback, inspects the
process of the node and stops it by SIGTERM.  Prints a line for each check;
the exit status is 0 only if all checks pass.
"""

import json
import os
import pathlib
import re
import signal
import subprocess
import sys
import tempfile
import time
from typing import Any
from typing import NamedTuple
import urllib.error
import urllib.request

__all__ = ['main']

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = 'entry-1'
ADDRESS = '127.77.1.1'
STORE = '127.77.4.1:7300'
TOKEN = 'demo-admin-token'

START_LIMIT_S = 10.0
STOP_LIMIT_S = 35.0
POLL_S = 0.05


class Check(NamedTuple):
    """Result of one check.

    :param name: name of the check.
    :param holds: whether the check passed.
    :param seen: the observed value.
    """

    name: str
    holds: bool
    seen: Any


def write_settings(directory: pathlib.Path) -> pathlib.Path:
    """Write the Dala settings, reduced to one host with its own address.

    :param directory: directory to write to.
    :returns: path of the settings file.
    """
    document = json.loads((ROOT / 'examples' / 'dala.json').read_text())
    host = document['hosts'][0]
    host['address'] = host['admin_address'] = ADDRESS
    document['hosts'] = [host]
    document['keyvalue']['address'] = STORE
    path = directory / 'settings.json'
    path.write_text(json.dumps(document))
    return path


def start(
    binary: pathlib.Path, directory: pathlib.Path, name: str, *args: str
) -> subprocess.Popen:
    """Start the binary.

    :param binary: path of the binary.
    :param directory: directory to unpack to and to write the log in.
    :param name: name of the log, without suffix.
    :param args: arguments of the binary.
    """
    unpacked = directory / 'unpacked'
    unpacked.mkdir(exist_ok=True)
    with open(directory / f'{name}.log', 'ab') as log:
        return subprocess.Popen(
            [binary, *args],
            stdout=log,
            stderr=log,
            env=os.environ | {'MAGNOLIADYKE_UNPACK_DIR': str(unpacked)},
        )


def wait_for_status(process: subprocess.Popen) -> float:
    """Wait until the admin listener of the node responds.

    :param process: the process of the node.
    :returns: time until the response, in seconds.
    :raises SystemExit: the node exited or did not respond in time.
    """
    began = time.monotonic()
    request = urllib.request.Request(
        f'http://{ADDRESS}:7081/admin/status',
        headers={'Authorization': f'Bearer {TOKEN}'},
    )
    while time.monotonic() - began < START_LIMIT_S:
        if process.poll() is not None:
            raise SystemExit(
                f'the node exited with status {process.returncode}'
            )
        try:
            with urllib.request.urlopen(request, timeout=1) as answer:
                answer.read()
            return time.monotonic() - began
        except (urllib.error.URLError, OSError):
            time.sleep(POLL_S)
    raise SystemExit(f'the node did not respond within {START_LIMIT_S} s')


def children(pid: int) -> list[str]:
    """Return the process ids of the children of a process.

    :param pid: process id.
    """
    tasks = pathlib.Path(f'/proc/{pid}/task').iterdir()
    return [
        child
        for task in tasks
        for child in (task / 'children').read_text().split()
    ]


def open_files(pid: int) -> list[str]:
    """Return the targets of all open file descriptors of a process.

    :param pid: process id.
    """
    found = []
    for link in pathlib.Path(f'/proc/{pid}/fd').iterdir():
        try:
            found.append(os.readlink(link))
        except FileNotFoundError:
            continue
    return found


def look_at(process: subprocess.Popen) -> list[Check]:
    """Check the process of a running node.

    :param process: the process of the node.
    """
    proc = pathlib.Path(f'/proc/{process.pid}')
    files = open_files(process.pid)
    # Memory that another process could write to: all writable shared
    # mappings, of any file or none.
    shared = [
        line.split()[-1]
        for line in (proc / 'maps').read_text().splitlines()
        if re.fullmatch(r'.w.s', line.split()[1])
    ]
    program = os.readlink(proc / 'exe')
    status = (proc / 'status').read_text().splitlines()
    resident = next(line for line in status if line.startswith('VmRSS'))
    started = children(process.pid)
    return [
        Check(
            'process runs the unpacked program', 'unpacked' in program, program
        ),
        Check('no child process', not started, started or 'none'),
        Check(
            'epoll, not io_uring',
            any('eventpoll' in name for name in files)
            and not any('io_uring' in name for name in files),
            sorted({name for name in files if name.startswith('anon_')}),
        ),
        Check('no shared memory', not shared, shared or 'none'),
        Check('resident memory', True, resident.split(':')[1].strip()),
    ]


def stop(process: subprocess.Popen) -> Check:
    """Stop the node by a signal to the process that was started.

    :param process: the process of the node.
    """
    began = time.monotonic()
    process.send_signal(signal.SIGTERM)
    code = process.wait(STOP_LIMIT_S)
    took = time.monotonic() - began
    return Check(
        'SIGTERM to the started pid stops the node gracefully',
        code == 0,
        f'exit status {code} after {took:.1f} s',
    )


def run(binary: pathlib.Path, directory: pathlib.Path) -> list[Check]:
    """Run all checks.

    :param binary: path of the binary.
    :param directory: directory for settings, logs and the unpacked program.
    """
    settings = write_settings(directory)
    store = start(binary, directory, 'store', 'lab', 'keyvalue', STORE)
    checks = []
    node = None
    try:
        for name in ('first start', 'second start'):
            words = ('node', str(settings), '--host', HOST)
            node = start(binary, directory, 'node', *words)
            took = wait_for_status(node)
            checks.append(Check(name, True, f'responds after {took:.2f} s'))
            if name == 'first start':
                checks += look_at(node)
            checks.append(stop(node))
    finally:
        for process in (node, store):
            if process is not None and process.poll() is None:
                process.kill()
                process.wait()
    return checks


def main(argv: list[str]) -> int:
    """Check a binary and print the results.

    :param argv: path of the binary.
    :returns: the exit status.
    """
    if len(argv) != 1:
        print('usage: binary_check.py BINARY', file=sys.stderr)
        return 2
    with tempfile.TemporaryDirectory() as directory:
        checks = run(pathlib.Path(argv[0]).resolve(), pathlib.Path(directory))
    for check in checks:
        verdict = 'ok' if check.holds else 'FAILED'
        print(f'{verdict:6}  {check.name}: {check.seen}')
    return 0 if all(check.holds for check in checks) else 1


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
