"""Shows that the one binary is one process that starts fast and stops well.

Usage: ``python tools/binary_check.py BINARY``.  Starts a stand-in for the
key-value service and one node from the binary on loopback, looks at the
node's process and stops it by SIGTERM.  Prints a line for each check; exit
status 0 only if all hold.
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
    """One thing that was looked at.

    :param name: what.
    :param holds: whether it is as it must be.
    :param seen: what was found.
    """

    name: str
    holds: bool
    seen: Any


def write_settings(directory: pathlib.Path) -> pathlib.Path:
    """Write the Dala settings with one host on an address of its own.

    :param directory: where to.
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

    :param binary: the binary.
    :param directory: where it unpacks itself and its log goes.
    :param name: name of the log.
    :param args: its arguments.
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
    """Wait until the node answers its operators.

    :returns: the seconds it took.
    """
    began = time.monotonic()
    request = urllib.request.Request(
        f'http://{ADDRESS}:7081/admin/status',
        headers={'Authorization': f'Bearer {TOKEN}'},
    )
    while time.monotonic() - began < START_LIMIT_S:
        if process.poll() is not None:
            raise SystemExit(f'the node ended with {process.returncode}')
        try:
            with urllib.request.urlopen(request, timeout=1) as answer:
                answer.read()
            return time.monotonic() - began
        except (urllib.error.URLError, OSError):
            time.sleep(POLL_S)
    raise SystemExit(f'the node did not answer within {START_LIMIT_S} s')


def children(pid: int) -> list[str]:
    """Give the processes that a process started.

    :param pid: the process.
    """
    tasks = pathlib.Path(f'/proc/{pid}/task').iterdir()
    return [
        child
        for task in tasks
        for child in (task / 'children').read_text().split()
    ]


def open_files(pid: int) -> list[str]:
    """Give what a process has open.

    :param pid: the process.
    """
    found = []
    for link in pathlib.Path(f'/proc/{pid}/fd').iterdir():
        try:
            found.append(os.readlink(link))
        except FileNotFoundError:
            continue
    return found


def look_at(process: subprocess.Popen) -> list[Check]:
    """Look at the process of the node.

    :param process: the process that was started.
    """
    proc = pathlib.Path(f'/proc/{process.pid}')
    files = open_files(process.pid)
    # Memory that another process could write to: any writable mapping that
    # is shared, whatever file or name stands behind it.
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
            'it became the unpacked program', 'unpacked' in program, program
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
    """Stop the node by its pid.

    :param process: the process that was started.
    """
    began = time.monotonic()
    process.send_signal(signal.SIGTERM)
    code = process.wait(STOP_LIMIT_S)
    took = time.monotonic() - began
    return Check(
        'SIGTERM to that pid ends it in order',
        code == 0,
        f'exit status {code} after {took:.1f} s',
    )


def run(binary: pathlib.Path, directory: pathlib.Path) -> list[Check]:
    """Make all checks.

    :param binary: the binary.
    :param directory: where files go.
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
            checks.append(Check(name, True, f'answers after {took:.2f} s'))
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
    """Check a binary.

    :param argv: the binary.
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
