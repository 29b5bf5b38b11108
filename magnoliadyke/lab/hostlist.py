"""Stand-in for the platform's list of hosts, which is out of date."""

import collections
import time
import typing

from magnoliadyke.lab import standin

__all__ = ['HostListStandIn', 'Spec', 'main']

MAX_VERSIONS = 200


class Spec(typing.NamedTuple):
    """Settings of the stand-in.

    :param hosts: rows with ``host``, ``state`` and ``address``
    :param lag_s: minimum age of the list that it returns
    """

    hosts: typing.Sequence[typing.Mapping[str, str]] = ()
    lag_s: float = 5.0


class HostListStandIn:
    """Returns the list as of ``lag_s`` ago; ``POST /hosts`` changes a row."""

    def __init__(self, spec):
        self.spec = spec
        rows = {row['host']: dict(row) for row in spec.hosts}
        self.versions = collections.deque(
            [(time.time(), rows)], maxlen=MAX_VERSIONS
        )

    def handle(self, request):
        """Route one request to its handler."""
        match (request.method, request.path):
            case ('GET', '/hosts'):
                return self.read_hosts()
            case ('POST', '/hosts'):
                return self.update_row(request.json())
            case ('GET', '/health'):
                return standin.json_answer(200, {'state': 'up'})
        return standin.error_answer(404, 'no_such_path', request.path)

    def read_hosts(self):
        """Return the newest list that is older than the lag, or the first."""
        newest_allowed_s = time.time() - self.spec.lag_s
        at_s, rows = self.versions[0]
        for version_s, version in self.versions:
            if version_s <= newest_allowed_s:
                at_s, rows = version_s, version
        return standin.json_answer(
            200, {'hosts': list(rows.values()), 'at_s': at_s}
        )

    def update_row(self, row):
        """Update fields of a host's row; state ``gone`` removes the row."""
        rows = dict(self.versions[-1][1])
        before = rows.pop(row['host'], {})
        if row.get('state') != 'gone':
            rows[row['host']] = {**before, **row}
        self.versions.append((time.time(), rows))
        return standin.json_answer(200, {})


def main(argv):
    """Serve at ``ADDRESS`` with the settings in ``JSON``.

    :param argv: address, then optionally a JSON object of :class:`Spec`
    :returns: exit status
    """
    spec = standin.read_spec(Spec, argv)
    hosts = HostListStandIn(spec)
    return standin.run(standin.Server(argv[0], hosts.handle))
