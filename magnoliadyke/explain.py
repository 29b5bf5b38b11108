"""Searches the logs of all hosts for one request and its possible causes."""

from collections.abc import Iterable
import datetime
import re
from typing import NamedTuple

__all__ = ['LogLine', 'find_request_lines', 'find_state_changes']

_AT = re.compile(r'\bat=(\S+)')
_HOST = re.compile(r'\bhost=(\S+)')
_ENDPOINT = re.compile(r'\bendpoint=(\S+)')
#: Log events that report a change of a host's state or view of the fleet, and
#: so may be the cause of what happened to a request.
STATE_CHANGE_EVENTS = (
    'configuration',
    'endpoint',
    'endpoint_doubted',
    'endpoint_entry_removed',
    'endpoint_gone',
    'endpoint_limit',
    'endpoint_said_leaving',
    'leader',
    'leader_gone',
    'leading',
    'member',
    'order',
    'paused',
    'placing_host_silent',
    'stage_settled',
    'store_lost',
    'store_regained',
    'started',
    'stopping',
)


class LogLine(NamedTuple):
    """One line of a host's log.

    :param at: time of the line, by the clock of the host
    :param host: name of the host, ``''`` if the line has none
    :param text: the whole line
    """

    at: datetime.datetime
    host: str
    text: str


def find_request_lines(request_id: str, lines: Iterable[str]) -> list[LogLine]:
    """Return the log lines with a request id, in order of time.

    :param request_id: value of the field ``id`` to search for
    :param lines: lines of the logs of all hosts
    """
    id_field = f' id={request_id} '
    found = [_parse(text) for text in lines if id_field in f'{text.rstrip()} ']
    return sorted(line for line in found if line is not None)


def find_state_changes(
    lines: Iterable[str], request_lines: list[LogLine], seconds: float
) -> list[LogLine]:
    """Return the state changes that may have affected a request.

    These are changes on the hosts that handled the request, and changes of
    the endpoints that it was sent to, from ``seconds`` before its first line
    until its last line.

    :param lines: lines of the logs of all hosts
    :param request_lines: the lines of the request, in order of time
    :param seconds: length of the period before the first line
    """
    if not request_lines:
        return []
    hosts = {line.host for line in request_lines}
    endpoints = {
        m for each in request_lines for m in _ENDPOINT.findall(each.text)
    }
    from_at = request_lines[0].at - datetime.timedelta(seconds=seconds)
    found = []
    for text in lines:
        if not any(
            f'event={event} ' in f'{text} ' for event in STATE_CHANGE_EVENTS
        ):
            continue
        line = _parse(text)
        if line is None or not from_at <= line.at <= request_lines[-1].at:
            continue
        names = set(_ENDPOINT.findall(text))
        if names & endpoints or (not names and line.host in hosts):
            found.append(line)
    return sorted(found)


def _parse(text: str) -> LogLine | None:
    at = _AT.search(text)
    if at is None:
        return None
    host = _HOST.search(text)
    try:
        moment = datetime.datetime.fromisoformat(at[1])
    except ValueError:
        # The line was written by another program.
        return None
    return LogLine(moment, host[1] if host else '', text.strip())
