"""Tests of the metrics."""

import threading

from magnoliadyke import clock as clocks
from magnoliadyke.core import burn
from magnoliadyke import metrics
from tests import fakenode


def make(**options):
    settings = fakenode.settings()
    settings = settings._replace(metrics=settings.metrics._replace(**options))
    return metrics.Metrics(settings, 'entry-1', clocks.ManualClock())


def sample(made, start):
    lines = made.render_prometheus().decode().splitlines()
    (line,) = [line for line in lines if line.startswith(start)]
    return float(line.rpartition(' ')[2])


def test_request_is_counted_by_customer_outcome_and_cause():
    made = make()
    late = burn.Timings(first_token_s=3.0, per_token_s=0.05, queued_s=2.8)
    verdict = made.record_request_end('lease', 'answered', late, 100, 20)
    assert verdict == burn.Verdict(False, 'queue')
    labels = '{cause="queue",customer="lease",outcome="answered"}'
    assert sample(made, f'magnoliadyke_requests_total{labels}') == 1
    tokens = 'magnoliadyke_tokens_total{customer="lease",direction="output"}'
    assert sample(made, tokens) == 20
    bucket = 'magnoliadyke_first_token_seconds_bucket{customer="lease",le='
    assert sample(made, f'{bucket}"2"') == 0
    assert sample(made, f'{bucket}"5"') == 1


def test_what_the_caller_or_its_row_caused_burns_no_budget():
    made = make()
    for outcome in sorted(metrics.UNSCORED_OUTCOMES):
        made.record_request_end('lease', outcome)
    assert made.burn_snapshot() == {}
    made.record_request_end('lease', 'not_run', burn.Timings(queued_s=20.0))
    assert made.burn_snapshot()['lease'][300].bad == 1


def test_gauge_is_read_when_scraped():
    made = make()
    members = [({'state': 'alive'}, 8)]
    made.add_gauge('magnoliadyke.members', 'Members.', lambda: members)
    assert sample(made, 'magnoliadyke_members{state="alive"}') == 8
    members[0] = ({'state': 'alive'}, 7)
    assert sample(made, 'magnoliadyke_members{state="alive"}') == 7


def test_customers_beyond_the_usual_limit_keep_their_own_counts():
    made = make()
    for number in range(2100):
        made.record_request_end(f'c{number}', 'answered')
    text = made.render_prometheus().decode()
    assert 'otel_metric_overflow' not in text


def test_push_hands_the_last_sums_over_without_a_thread():
    """The collector gets what was counted before the stop.

    The node counts a request and stops; the pusher sends the last sums from
    its own greenlet. The SDK's own reader would leave a thread behind.
    """
    made = make(otlp_endpoint='http://127.0.0.1:4318/v1/metrics')
    exported = []
    made.pusher.exporter.export = exported.append
    made.start()
    made.record_request_end('lease', 'answered')
    made.stop(5.0)
    assert 'magnoliadyke.requests' in exported[-1].to_json()
    assert threading.active_count() == 1


def test_collector_that_fails_is_only_logged():
    made = make(otlp_endpoint='http://127.0.0.1:4318/v1/metrics')
    made.pusher.exporter.export = lambda collected: 1 / 0
    made.record_request_end('lease', 'answered')
    made.pusher.tick()
