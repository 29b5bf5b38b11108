"""Asks the admin listeners of the other hosts, for figures of the fleet."""

import gevent
from gevent import pool

from magnoliadyke import adminclient
from magnoliadyke import errors

__all__ = ['query_other_hosts', 'operator_token']

#: Hosts asked at a time.
MAX_CONCURRENT_QUERIES = 16

#: Longest wait for one host, in seconds. A paused host accepts connections
#: and says nothing; the report would wait for it as long as for an edit.
HOST_TIMEOUT_S = 2.0


def operator_token(request):
    """Return the operators' token that a request came with.

    A node knows only the digest of the token, so it asks the others with
    the token of the operator who asks it.

    :param request: the falcon request
    """
    return request.auth.partition(' ')[2]


def query_other_hosts(node, token, path):
    """Ask all other hosts of the settings.

    :param node: the :class:`magnoliadyke.node.Node` that is asked
    :param token: the operators' token
    :param path: path and query
    :returns: mapping of host to its answer, None for one that gave none
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
