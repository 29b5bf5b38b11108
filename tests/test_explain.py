"""From a request's id to the lines that explain it."""

from magnoliadyke import cli
from magnoliadyke import explain

LOG = [
    'at=2026-01-01T00:00:09.000+00:00 host=a logger=x event=endpoint '
    'endpoint=e1 leaving=True revision=4',
    'at=2026-01-01T00:00:09.500+00:00 host=b logger=x event=endpoint '
    'endpoint=e9 leaving=True revision=5',
    'at=2026-01-01T00:00:10.200+00:00 host=a logger=x event=request_ended '
    'id=r1 outcome=failed endpoint=e1 status=502',
    'at=2026-01-01T00:00:10.100+00:00 host=a logger=x event=try_ended '
    'id=r1 endpoint=e1 meaning=unknown',
    'at=2026-01-01T00:00:10.150+00:00 host=a logger=x event=request_ended '
    'id=r12 outcome=answered endpoint=e1',
    'a line of another program id=r1 ',
]


def test_lines_of_a_request_in_order():
    found = explain.find_request_lines('r1', LOG)
    assert ['try_ended' in line.text for line in found] == [True, False]


def test_beliefs_nearby():
    found = explain.find_state_changes(
        LOG, explain.find_request_lines('r1', LOG), 5.0
    )
    assert [line.host for line in found] == ['a']
    assert explain.find_state_changes(LOG, [], 5.0) == []


def test_command(tmp_path, capsys):
    path = tmp_path / 'a.log'
    path.write_text('\n'.join(LOG))
    assert cli.main(['explain', 'r1', str(path)]) == 0
    printed = capsys.readouterr().out
    assert 'status=502' in printed and 'leaving=True' in printed
    assert cli.main(['explain', 'r77', str(path)]) == 1
