"""Serves the web page on which operators edit the table."""

import base64
import hashlib
import pathlib
import re

__all__ = ['PageResource']

PAGE = pathlib.Path(__file__).parent / 'static' / 'table.html'


class PageResource:
    """Serves the page, which is static and needs no token.

    Its script fetches the table through the admin interface, with the token
    that the operator enters.
    """

    def __init__(self):
        self.content = PAGE.read_bytes()
        self.policy = content_policy(self.content.decode())

    def on_get(self, _request, response):
        """Respond with the page."""
        response.content_type = 'text/html; charset=utf-8'
        response.data = self.content
        response.set_header('Content-Security-Policy', self.policy)
        response.set_header('X-Content-Type-Options', 'nosniff')
        response.cache_control = ['no-store']


def content_policy(html: str) -> str:
    """Build a Content-Security-Policy that allows only the page's own code.

    Names of rows are untrusted input. The page inserts them as text, never as
    markup; this policy is the second safeguard: an injected script does not
    run, and the page can't send data to another host.

    :param html: the page
    :returns: value of the header, with digests of the page's script and style
    """
    sources = {
        kind: ' '.join(
            _digest(text)
            for text in re.findall(f'<{tag}>(.*?)</{tag}>', html, re.DOTALL)
        )
        for kind, tag in (('script-src', 'script'), ('style-src', 'style'))
    }
    return (
        f"default-src 'none'; connect-src 'self'; form-action 'none'; "
        f"base-uri 'none'; frame-ancestors 'none'; "
        f'script-src {sources["script-src"]}; '
        f'style-src {sources["style-src"]}'
    )


def _digest(text):
    digest = hashlib.sha256(text.encode()).digest()
    return f"'sha256-{base64.b64encode(digest).decode()}'"
