"""Tests of the page."""

from magnoliadyke import page
from tests import fakenode


def test_page_is_served_with_a_policy_for_its_own_script():
    result = fakenode.client(fakenode.make()).simulate_get('/')
    assert result.text.lower().startswith('<!doctype html>')
    policy = result.headers['content-security-policy']
    assert "script-src 'sha256-" in policy
    assert 'unsafe' not in policy


def test_policy_changes_with_the_script():
    one = page.content_policy('<script>a()</script><style>b</style>')
    other = page.content_policy('<script>c()</script><style>b</style>')
    assert one != other


def test_page_never_sets_markup():
    """A row's name can be markup; it must be shown, not run.

    The page builds all cells as text. Were it to set markup, a name such as
    <img onerror=...> would act with the token of the operator who looks.
    """
    text = page.PAGE.read_text()
    for setter in ('innerHTML', 'outerHTML', 'insertAdjacent', 'eval('):
        assert setter not in text
