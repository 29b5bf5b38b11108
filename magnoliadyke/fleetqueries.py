"""Queries to the admin ports of the other hosts, for fleet-wide figures."""

import gevent
from gevent import pool

from magnoliadyke import adminclient
from magnoliadyke import errors

__all__ = ['operator_token', 'query_other_hosts']

#: Maximum number of hosts queried at the same time.
MAX_CONCURRENT_QUERIES = 16

#: Longest wait for one host. A paused host accepts connections but does not
#: answer; without this limit a report would wait for it as long as an edit may
#: take.
HOST_TIMEOUT_S = 2.0


def operator_token(request):
    """Return the operators' token of a request.

    A node stores only the digest of the token, so it queries the other hosts
    with the token of the request that it handles.

    :param request: the falcon request
    """
    return request.auth.partition(' ')[2]


def query_other_hosts(node, token, path):
    """Query all other hosts of the settings.

    :param node: the :class:`magnoliadyke.node.Node` that handles the request
    :param token: the operators' token
    :param path: path and query of the URL
    :returns: mapping of host name to its answer, None for a host without one
    """
    others = [host for host in node.settings.hosts if host.name != node.host]
    answers = pool.Pool(MAX_CONCURRENT_QUERIES).map(
        lambda host: _query_host(host, token, path), others
    )
    return {
        host.name: answer for host, answer in zip(others, answers, strict=True)
    }


def _query_host(host, token, path):
    address = adminclient.AdminAddress(
        host.name, host.admin_address, host.admin_port
    )
    client = adminclient.AdminClient([address], token)
    with gevent.Timeout(HOST_TIMEOUT_S, False):
        try:
            return client.get(path)
        except errors.MagnoliadykeError:
            return None
    return None
