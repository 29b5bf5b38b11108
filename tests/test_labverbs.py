"""Tests of finding the programs of the lab."""

import pytest

from magnoliadyke import errors
from magnoliadyke import labverbs


@pytest.mark.parametrize('verb', labverbs.VERBS)
def test_every_program_is_there(verb):
    assert callable(labverbs.import_program(verb).main)


@pytest.mark.parametrize('verb', labverbs.STAND_IN_PROGRAMS)
def test_stand_in_has_help(verb, capsys):
    assert labverbs.run([verb, '--help']) == 0
    assert 'IP:PORT [JSON]' in capsys.readouterr().out


@pytest.mark.parametrize(
    'words',
    [
        ['nothing'],
        ['engine'],
        ['engine', 'here:1'],
        ['engine', '127.0.0.1:port'],
        ['engine', '127.0.0.1:1', 'role=decode'],
        ['engine', '127.0.0.1:1', '[]'],
        ['engine', '127.0.0.1:1', '{"rolle": 1}'],
        ['engine', '127.0.0.1:1', '{}', '{}'],
    ],
    ids=' '.join,
)
def test_wrong_words_name_the_remedy(words):
    with pytest.raises(errors.UsageError) as caught:
        labverbs.run(words)
    assert caught.value.remedy
