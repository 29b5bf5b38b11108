"""Tests of the admin listener's guard and errors."""

from falcon import testing
import gevent

from magnoliadyke import admin
from magnoliadyke import tablemessages
from tests import fakenode


def anonymous(headers=None):
    application = admin.create_application(fakenode.make())
    return testing.TestClient(application, headers=headers)


def test_no_route_but_the_page_opens_without_the_token():
    paths = ['/admin/table', '/admin/status', '/admin/burn', '/metrics']
    for headers in (None, {'Authorization': 'Bearer wrong'}):
        for path in paths:
            result = anonymous(headers).simulate_get(path)
            assert result.status_code == 401
            assert 'Bearer TOKEN' in result.json['error']['remedy']
    assert anonymous().simulate_get('/').status_code == 200


def test_token_must_match_whole():
    digest = fakenode.settings().admin_token
    assert admin.token_matches(fakenode.TOKEN, digest)
    assert not admin.token_matches(fakenode.TOKEN + 'x', digest)
    assert not admin.token_matches('\udcff', digest)


def test_unknown_route_and_broken_body_are_answered_in_one_shape():
    client = fakenode.client(fakenode.make())
    unknown = client.simulate_get('/admin/nothing')
    assert unknown.status_code == 404
    assert unknown.json['error']['code']
    broken = client.simulate_post('/admin/table', body='{')
    assert broken.status_code == 400
    assert broken.json['error']['remedy']


def test_huge_body_is_refused_before_it_is_read():
    client = fakenode.client(fakenode.make())
    body = b' ' * (admin.MAX_BODY_BYTES + 1)
    assert client.simulate_post('/admin/table', body=body).status_code == 413


def test_task_that_does_not_answer_in_time():
    """The operator sees a typed 503 instead of an endless wait.

    The configuration task hangs, its ask times out, and the listener says
    that the host is busy and that asking again is safe.
    """
    node = fakenode.make()
    node.configuration.answers[tablemessages.ShowTable] = gevent.Timeout(1)
    result = fakenode.client(node).simulate_get('/admin/table')
    assert result.status_code == 503
    assert result.json['error']['code'] == 'busy'


def test_metrics_are_scraped():
    node = fakenode.make()
    node.metrics.record_request_end('lease', 'answered')
    result = fakenode.client(node).simulate_get('/metrics')
    assert 'magnoliadyke_requests_total{' in result.text
    assert result.headers['content-type'].startswith('text/plain')
