"""Tests of the command line against the admin routes of a fake node."""

import json
import pathlib

import pytest

import magnoliadyke
from magnoliadyke import cli
from magnoliadyke.core import schema
from magnoliadyke.core import table
from magnoliadyke import tablemessages
from tests import adminserver
from tests import fakenode

DALA = str(pathlib.Path(__file__).parents[1] / 'examples' / 'dala.json')
WEIGHT = 'customers/portal/weight'


@pytest.fixture
def node():
    made = fakenode.make()
    made.configuration.answers[tablemessages.ShowTable] = (
        tablemessages.TableShown(
            12,
            13,
            {WEIGHT: tablemessages.CellState(2, True, 3)},
            {'entry-1': 13, 'entry-2': 11},
        )
    )
    edit = table.Edit('e1', 'marat', 0, {WEIGHT: 3}, 1.7e9)
    staged = table.stage(table.empty(), edit).document
    made.configuration.documents.last.document = staged
    return made


@pytest.fixture
def run(node, monkeypatch, capsys):
    """Run a command; return its exit status, output and errors."""
    monkeypatch.setenv('MAGNOLIADYKE_TOKEN', fakenode.TOKEN)
    monkeypatch.delenv('MAGNOLIADYKE_SETTINGS', raising=False)
    with adminserver.serve(node) as address:

        def command(*words):
            status = cli.main([*words, f'--admin={address}'])
            return status, *capsys.readouterr()

        yield command


EDIT_RESULTS = [
    (tablemessages.Accepted(13, 0.5), cli.EXIT_OK, 'in force on all'),
    (
        tablemessages.Accepted(13, 9.0, ('entry-2',)),
        cli.EXIT_NOT_IN_FORCE,
        'not yet in force on entry-2',
    ),
    (
        tablemessages.Pending(13, ('entry-3',), 'override it'),
        cli.EXIT_NOT_IN_FORCE,
        'no acknowledgement from entry-3; override it',
    ),
    (
        tablemessages.Conflict({WEIGHT: (5, 3)}, 14, ('bolat',)),
        cli.EXIT_CONFLICT,
        'bolat',
    ),
    (
        tablemessages.Invalid(
            (table.Problem(WEIGHT, 3, 'too heavy', 'use 1'),)
        ),
        cli.EXIT_REFUSED,
        f'{WEIGHT}=3: too heavy; use 1',
    ),
    (
        tablemessages.StoreUnavailable(True),
        cli.EXIT_UNAVAILABLE,
        'same edit id',
    ),
]


@pytest.mark.parametrize(
    ('result', 'status', 'text'),
    EDIT_RESULTS,
    ids=[type(case[0]).__name__ for case in EDIT_RESULTS],
)
def test_status_and_message_of_an_edit(node, run, result, status, text):
    node.configuration.answers[tablemessages.EditCells] = result
    got, out, err = run('table', 'set', WEIGHT, '3')
    assert got == status
    assert text in out + err
    in_error = status not in (cli.EXIT_OK, cli.EXIT_NOT_IN_FORCE)
    assert bool(err) == in_error


@pytest.mark.parametrize('column', ['keys', 'kyes'])
def test_key_in_the_clear_is_not_printed(node, run, column):
    # An operator writes a key in place of its digest. The message goes to a
    # terminal or a log, so it must not hold the key.
    keys = f'customers/portal/{column}'
    (problem,) = schema.cell_problems({keys: ['a-key-in-the-clear']})
    invalid = tablemessages.Invalid((problem,))
    node.configuration.answers[tablemessages.EditCells] = invalid
    status, out, err = run('table', 'set', keys, 'a-key-in-the-clear')
    assert status == cli.EXIT_REFUSED
    assert keys in err
    assert 'a-key-in-the-clear' not in out + err


def test_edit_for_programs(node, run):
    node.configuration.answers[tablemessages.EditCells] = (
        tablemessages.Accepted(13, 0.5)
    )
    _, out, _ = run('table', 'set', WEIGHT, '3', '--json')
    assert json.loads(out)['state'] == 'in_force'


def test_table_shows_defaults_and_what_is_staged(run):
    status, out, _ = run('table', 'show', 'customers')
    assert status == cli.EXIT_OK
    assert 'portal' in out
    assert '(5)' in out
    assert f'by marat (edit e1): {WEIGHT} = 3' in out
    assert out.endswith('not yet in force on: entry-2 at 11\n')


@pytest.mark.parametrize(
    'words',
    [
        ('status',),
        ('roles',),
        ('table', 'show'),
        ('table', 'get', WEIGHT),
    ],
    ids=' '.join,
)
def test_reading_verbs_have_text_and_json(run, words):
    status, text, _ = run(*words)
    assert status == cli.EXIT_OK
    assert text.strip()
    status, out, _ = run(*words, '--json')
    assert status == cli.EXIT_OK
    json.loads(out)


@pytest.mark.parametrize(
    'words',
    [
        (),
        ('table',),
        ('table', 'set', WEIGHT),
        ('status', '--no-such'),
        ('status',),
        ('status', '--admin=nonsense'),
        ('table', 'set', 'weight', '3', '--admin=127.0.0.1:1'),
        ('table', 'set', WEIGHT, '1', WEIGHT, '2', '--admin=127.0.0.1:1'),
        ('table', 'unset', WEIGHT, '--wait=x', '--admin=127.0.0.1:1'),
        ('table', 'import', 'no-file', '--admin=127.0.0.1:1'),
        ('node', DALA, '--host=nobody'),
        ('lab', 'nothing'),
    ],
    ids=' '.join,
)
def test_wrong_usage_names_the_remedy(words, capsys, monkeypatch):
    monkeypatch.delenv('MAGNOLIADYKE_SETTINGS', raising=False)
    assert cli.main(words) == cli.EXIT_USAGE
    out, err = capsys.readouterr()
    assert not out
    assert err.startswith('magnoliadyke: ')
    assert 'Traceback' not in err


def test_no_host_answers(capsys):
    status = cli.main(['status', '--admin=127.0.0.1:1'])
    assert status == cli.EXIT_UNAVAILABLE
    assert 'check that the hosts run' in capsys.readouterr().err


def test_check_of_settings(tmp_path, capsys):
    assert cli.main(['check', DALA]) == cli.EXIT_OK
    bad = tmp_path / 'bad.json'
    bad.write_text('{}')
    capsys.readouterr()
    assert cli.main(['check', str(bad), '--json']) == cli.EXIT_REFUSED
    problems = json.loads(capsys.readouterr().out)['problems']
    assert {'hosts', 'pools'} <= {problem['path'] for problem in problems}
    assert cli.main(['node', str(bad), '--host=x']) == cli.EXIT_REFUSED


@pytest.mark.parametrize(
    ('word', 'text'),
    [('--help', 'Exit status'), ('--version', magnoliadyke.__version__)],
)
def test_help_and_version(capsys, word, text):
    with pytest.raises(SystemExit) as caught:
        cli.main([word])
    assert not caught.value.code
    assert text in capsys.readouterr().out


def test_lab_lists_its_programs(capsys):
    assert cli.main(['lab']) == cli.EXIT_OK
    assert 'demo' in capsys.readouterr().out
