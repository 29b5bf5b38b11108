"""The admin listener: HTTP routes and page for operators."""

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

#: A connection without data for this long is closed.
IDLE_TIMEOUT_S = 30.0

#: Maximum request body; the store holds a table of at most 1 MB.
MAX_BODY_BYTES = 1_000_000

#: Paths without authentication: the page holds no data and asks for the
#: token itself.
OPEN_PATHS = frozenset({'/'})


class Admin(app.Component):
    """Serves the table, the state and the metrics to operators.

    :param node: the :class:`magnoliadyke.node.Node` to serve
    """

    def __init__(self, node):
        host = node.settings.host(node.host)
        self.server = pywsgi.WSGIServer(
            (host.admin_address, host.admin_port),
            create_application(node),
            handler_class=TimeoutHandler,
            spawn=pool.Pool(MAX_CONNECTIONS),
            log=None,
            error_log=ErrorLog(),
        )

    def start(self):
        """Start listening."""
        self.server.start()

    def stop(self, deadline_s):
        """Stop listening; running requests may end within the deadline."""
        self.server.stop(timeout=deadline_s)


class TimeoutHandler(pywsgi.WSGIHandler):
    """Closes connections that stall.

    A client that opens connections and sends nothing could otherwise occupy
    all :data:`MAX_CONNECTIONS` and lock the operators out.
    """

    def __init__(self, sock, address, server):
        sock.settimeout(IDLE_TIMEOUT_S)
        super().__init__(sock, address, server)


class ErrorLog:
    """File object that writes the server's errors to the event log."""

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
    """Return the WSGI application; tests call it without a socket.

    :param node: the :class:`magnoliadyke.node.Node` to serve
    """
    application = falcon.App(
        middleware=[RequestGuard(node.settings.admin_token)], cors_enable=False
    )
    adminerrors.install_error_handlers(application)
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


class RequestGuard:
    """Middleware that checks the operators' token and the size of the body.

    :param digest: ``sha256:HEX`` of the token
    """

    def __init__(self, digest):
        self.digest = digest

    def process_request(self, request, _response):
        """Check the token and the size of the body.

        :raises Refusal: if the token is missing or wrong, or the body too
            large
        """
        if request.path not in OPEN_PATHS:
            scheme, _, token = (request.auth or '').partition(' ')
            if scheme != 'Bearer' or not token_matches(token, self.digest):
                raise adminerrors.Refusal(
                    401,
                    'unauthorized',
                    'the operators’ token is missing or wrong',
                    'send the header Authorization: Bearer TOKEN',
                )
        if (request.content_length or 0) > MAX_BODY_BYTES:
            raise adminerrors.Refusal(
                413,
                'too_large',
                f'the body has {request.content_length} bytes; at most '
                f'{MAX_BODY_BYTES} are allowed',
                'split the edit into several',
            )


def token_matches(token: str, digest: str) -> bool:
    """Return whether a token has the given digest.

    The comparison takes constant time: otherwise a client could find the
    digest byte by byte from the response times.

    :param token: token that the client sent
    :param digest: ``sha256:HEX``
    """
    found = hashlib.sha256(token.encode('utf-8', 'surrogateescape'))
    return hmac.compare_digest(
        f'sha256:{found.hexdigest()}'.encode(), digest.encode()
    )


class MetricsResource:
    """``/metrics``: the node's metrics in the Prometheus text format.

    :param metrics: the :class:`magnoliadyke.metrics.Metrics`
    """

    def __init__(self, metrics):
        self.metrics = metrics

    def on_get(self, _request, response):
        """Answer with all metrics."""
        response.content_type = 'text/plain; version=0.0.4; charset=utf-8'
        response.data = self.metrics.render_prometheus()
