"""Tests of the check that the adapter alone knows the platform's names."""

import pathlib
import subprocess
import sys

import pytest

ROOT = pathlib.Path(__file__).parents[1]
TOOL = ROOT / 'tools' / 'wirenames.py'

BAD = [
    'from magnoliadyke.platform import codec',
    'from magnoliadyke import platform',
    'import magnoliadyke.platform.store',
    "NAME = b'X-Kv-Source'",
    "PATH = '/api/kv-txn'",
    "ID = b'x-expect-instance'",
]


def check(tmp_path, source, folder='gateway'):
    (tmp_path / folder).mkdir()
    (tmp_path / folder / 'module.py').write_text(source + '\n')
    return subprocess.run(
        [sys.executable, TOOL, tmp_path], capture_output=True, text=True
    )


@pytest.mark.parametrize('source', BAD)
def test_breach_is_found(tmp_path, source):
    assert check(tmp_path, source).returncode == 1


@pytest.mark.parametrize('source', BAD)
def test_adapter_may_speak(tmp_path, source):
    assert check(tmp_path, source, 'platform').returncode == 0


def test_package_keeps_to_it():
    result = subprocess.run(
        [sys.executable, TOOL, ROOT / 'magnoliadyke'],
        capture_output=True,
        text=True,
    )
    assert result.returncode == 0, result.stdout
