"""The page on which operators edit the table."""

import base64
import hashlib
import pathlib
import re

__all__ = ['PageResource']

PAGE = pathlib.Path(__file__).parent / 'static' / 'table.html'


class PageResource:
    """Serves the page; it holds no data and needs no token."""

    def __init__(self):
        self.content = PAGE.read_bytes()
        self.policy = content_policy(self.content.decode())

    def on_get(self, _request, response):
        """Answer the page."""
        response.content_type = 'text/html; charset=utf-8'
        response.data = self.content
        response.set_header('Content-Security-Policy', self.policy)
        response.set_header('X-Content-Type-Options', 'nosniff')
        response.cache_control = ['no-store']


def content_policy(html: str) -> str:
    """Allow just the page's own script and style.

    A row's name comes from whoever wrote the table. The page sets it as
    text; this is the second guard, should that ever be forgotten: a script
    that is not the page's own does not run, and nothing leaves for another
    host.

    :param html: the page
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
