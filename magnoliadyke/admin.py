"""The listener for operators."""

import hashlib
import hmac

import falcon
from gevent import pool
from gevent import pywsgi

from magnoliadyke import adminerrors
from magnoliadyke import admintable
from magnoliadyke import app
from magnoliadyke import burnreport
from magnoliadyke import logs
from magnoliadyke import overview
from magnoliadyke import page

__all__ = ['Admin', 'create_application', 'token_matches']

MAX_CONNECTIONS = 64

#: Longest silence of an operator's connection, in seconds.
IDLE_S = 30.0

#: Largest body; a table has at most a megabyte.
MAX_BODY_BYTES = 1_000_000

#: Paths that need no token: the page holds no data and asks for the token.
OPEN_PATHS = frozenset({'/'})


class Admin(app.Component):
    """Serves the table, the state and the metrics to operators.

    :param node: the :class:`magnoliadyke.node.Node` it belongs to
    """

    def __init__(self, node):
        host = node.settings.host(node.host)
        self.server = pywsgi.WSGIServer(
            (host.admin_address, host.admin_port),
            create_application(node),
            handler_class=Handler,
            spawn=pool.Pool(MAX_CONNECTIONS),
            log=None,
            error_log=ErrorLog(),
        )

    def start(self):
        """Listen."""
        self.server.start()

    def stop(self, deadline_s):
        """Stop listening, then let running answers end."""
        self.server.stop(timeout=deadline_s)


class Handler(pywsgi.WSGIHandler):
    """Ends connections that stall.

    Someone who opens connections and sends nothing would otherwise hold
    all :data:`MAX_CONNECTIONS` of them, and operators would wait for ever.
    """

    def __init__(self, sock, address, server):
        sock.settimeout(IDLE_S)
        super().__init__(sock, address, server)


class ErrorLog:
    """Takes what the server has to say into the event log."""

    def __init__(self):
        self.log = logs.get('admin')

    def write(self, text):
        """Log one piece of text."""
        if text.strip():
            self.log.throttled_warning('admin_server', '', text=text.strip())

    def writelines(self, lines):
        """Log several pieces of text."""
        self.write(''.join(lines))

    def flush(self):
        """Do nothing."""


def create_application(node):
    """Make the WSGI application; tests call it without a socket.

    :param node: the :class:`magnoliadyke.node.Node` to serve
    """
    application = falcon.App(
        middleware=[Guard(node.settings.admin_token)], cors_enable=False
    )
    adminerrors.install(application)
    routes = {
        '/': page.PageResource(),
        '/admin/table': admintable.TableResource(node),
        '/admin/table/history': admintable.HistoryResource(node),
        '/admin/table/override': admintable.OverrideResource(node),
        '/admin/drain': admintable.DrainResource(node),
        '/admin/status': overview.StatusResource(node),
        '/admin/roles': overview.RolesResource(node),
        '/admin/burn': burnreport.BurnResource(node),
        '/metrics': MetricsResource(node.metrics),
    }
    for path, resource in routes.items():
        application.add_route(path, resource)
    return application


class Guard:
    """Lets only those in who know the operators' token.

    :param digest: ``sha256:HEX`` of the token
    """

    def __init__(self, digest):
        self.digest = digest

    def process_request(self, request, _response):
        """Refuse a request without the token, or with a huge body."""
        if request.path not in OPEN_PATHS:
            scheme, _, token = (request.auth or '').partition(' ')
            if scheme != 'Bearer' or not token_matches(token, self.digest):
                raise adminerrors.Refusal(
                    401,
                    'unauthorized',
                    'the operators’ token is missing or wrong',
                    'send it as Authorization: Bearer TOKEN',
                )
        if (request.content_length or 0) > MAX_BODY_BYTES:
            raise adminerrors.Refusal(
                413,
                'too_large',
                f'the body is larger than {MAX_BODY_BYTES} bytes',
                'send the edit in parts',
            )


def token_matches(token: str, digest: str) -> bool:
    """Compare a token with its digest.

    The time does not depend on where the two differ: a caller could else
    find the digest byte by byte.

    :param token: what the operator sent
    :param digest: ``sha256:HEX``
    """
    found = hashlib.sha256(token.encode('utf-8', 'surrogateescape'))
    return hmac.compare_digest(
        f'sha256:{found.hexdigest()}'.encode(), digest.encode()
    )


class MetricsResource:
    """Answers scrapes."""

    def __init__(self, metrics):
        self.metrics = metrics

    def on_get(self, _request, response):
        """Render all metrics."""
        response.content_type = 'text/plain; version=0.0.4; charset=utf-8'
        response.data = self.metrics.render_prometheus()
