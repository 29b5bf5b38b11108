"""Tests of magnoliadyke.callerroutes."""

import pytest

from magnoliadyke import caller_codec
from magnoliadyke import callerroutes


@pytest.mark.parametrize(
    ('raw', 'path'),
    [
        ('/v1/services/portal', '/'),
        ('/v1/services/portal?a=1', '/?a=1'),
        ('/v1/services/portal/balance/7?a=b/c', '/balance/7?a=b/c'),
        ('/v1/services/por%74al/a%20b', '/a%20b'),
    ],
)
def test_the_path_of_a_service_is_passed_on_as_it_was(raw, path):
    assert callerroutes.service_path(raw) == path


@pytest.mark.parametrize(
    'rest', ['../charge', 'a/../charge', '%2e%2e/charge', 'a/..%2Fcharge', '.']
)
def test_a_path_that_leaves_its_route_is_rejected(rest):
    """A route below which calls may be repeated must not lead to another."""
    with pytest.raises(caller_codec.OutcomeError) as caught:
        callerroutes.service_path(f'/v1/services/portal/{rest}')
    assert caught.value.outcome.reason == 'bad_path'


def test_a_route_matches_exactly_or_below_its_star():
    assert callerroutes.path_matches('/charge', '/charge')
    assert not callerroutes.path_matches('/charge', '/charge/1')
    assert callerroutes.path_matches('/balance/*', '/balance/7')
    assert not callerroutes.path_matches('/balance/*', '/balances')
