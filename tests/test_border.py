"""Tests of the check that the core does no input or output."""

import pathlib
import subprocess
import sys

import pytest

ROOT = pathlib.Path(__file__).parents[1]
TOOL = ROOT / 'tools' / 'border.py'

BAD = [
    'import gevent',
    'from gevent import event',
    'import time',
    'import random',
    'import os.path',
    'from sys import stdout',
    'import threading',
    'import subprocess',
    'import asyncio',
    'def f():\n    import socket',
    'from magnoliadyke import keyvalue',
    'from magnoliadyke.lab import engine',
    'import magnoliadyke.clock',
    'from . import jobs',
    'handle = open("x")',
    'print("x")',
    'import datetime\nnow = datetime.datetime.now()',
    'from datetime import datetime\nnow = datetime.utcnow()',
]

GOOD = [
    'import collections\nfrom typing import NamedTuple',
    'from magnoliadyke.core import jobs',
    'import datetime\nday = datetime.timedelta(days=1)',
    'now = clock.now()',
    'def f(rng):\n    return rng.random()',
]


def check(tmp_path, source):
    (tmp_path / 'module.py').write_text(source + '\n')
    return subprocess.run(
        [sys.executable, TOOL, tmp_path], capture_output=True, text=True
    )


@pytest.mark.parametrize('source', BAD)
def test_breach_is_found(tmp_path, source):
    result = check(tmp_path, source)
    assert result.returncode == 1
    assert 'module.py:' in result.stdout


@pytest.mark.parametrize('source', GOOD)
def test_pure_module_passes(tmp_path, source):
    assert check(tmp_path, source).returncode == 0


def test_directory_without_modules_is_no_pass(tmp_path):
    result = subprocess.run([sys.executable, TOOL, tmp_path])
    assert result.returncode == 2


def test_core_keeps_to_its_side():
    result = subprocess.run(
        [sys.executable, TOOL, ROOT / 'magnoliadyke' / 'core'],
        capture_output=True,
        text=True,
    )
    assert result.returncode == 0, result.stdout
