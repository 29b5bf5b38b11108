"""The admin listener of a fake node on a port of its own, for tests."""

import contextlib

from gevent import pywsgi

from magnoliadyke import admin
from magnoliadyke import porcelain
from tests import fakenode


@contextlib.contextmanager
def serve(node):
    """Serve the admin routes of a fake node; yields its ``IP:PORT``."""
    server = pywsgi.WSGIServer(
        ('127.0.0.1', 0), admin.create_application(node), log=None
    )
    server.start()
    try:
        yield f'127.0.0.1:{server.server_port}'
    finally:
        server.stop()


def client(address):
    """Return an admin client that has the token."""
    return porcelain.admin_client(address=address, token=fakenode.TOKEN)
