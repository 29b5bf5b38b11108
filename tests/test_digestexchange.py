"""Tests of the digest exchange between peers."""

import random

from magnoliadyke.core import digests
from magnoliadyke.core import jobs
from magnoliadyke.core import quarantine
from magnoliadyke.core import scheduler
from magnoliadyke.core import table


def make_plan(seed, customers=('lease', 'portal')):
    info = jobs.EndpointInfo('d1', 'p', 'model', '')
    plan = scheduler.Scheduler([info], random.Random(seed))
    rows = {name: table.CustomerRow() for name in customers}
    plan.set_table(table.View(1, rows, {}, {}, {}), 0.0)
    plan.set_node_count(2, 0.0)
    return plan


def serve(plan, customer, cost_s):
    plan.pools['p'].queue.charge(customer, cost_s)


def test_service_told_twice_is_counted_once():
    first, second = make_plan(1), make_plan(2)
    serve(first, 'lease', 1.0)
    second.merge_peer_digest('h1', first.digest(0.0), 0.0)
    serve(first, 'lease', 2.0)
    for now_s in (1.0, 2.0, 3.0):
        second.merge_peer_digest('h1', first.digest(now_s), now_s)
    assert second.pools['p'].queue.counters['lease'] == 2.0


def test_a_restarted_peer_begins_anew():
    # The peer's totals start at nothing again. Taken as a difference, they
    # would give its customers back what they were served.
    first, second = make_plan(1), make_plan(2)
    serve(first, 'lease', 1.0)
    second.merge_peer_digest('h1', first.digest(0.0), 0.0)
    serve(first, 'lease', 5.0)
    second.merge_peer_digest('h1', first.digest(1.0), 1.0)
    again = make_plan(3)
    serve(again, 'lease', 0.5)
    second.merge_peer_digest('h1', again.digest(2.0), 2.0)
    assert second.pools['p'].queue.counters['lease'] == 5.0


def test_many_customers_are_told_in_turn():
    names = [f'c{number}' for number in range(100)]
    plan = make_plan(1, names)
    for name in names:
        serve(plan, name, 1.0)
    told = set()
    for now_s in range(40):
        serve(plan, 'c7', 1.0)
        digest = plan.digest(float(now_s))
        assert len(digest.customers) == digests.MAX_CUSTOMERS
        told |= {news.customer for news in digest.customers}
    assert len(told) == 100


def test_demand_of_silent_peers_is_dropped():
    first, second = make_plan(1), make_plan(2)
    job = jobs.Job('j', 'lease', 'p', 'model', 'm', 100, 500)
    first.submit(job, 0.0)
    second.merge_peer_digest('h1', first.digest(0.1), 0.1)
    assert second.demand('p', 0.2).decode_s_per_s > 0
    assert second.demand('p', 60.0).decode_s_per_s == 0


def test_a_node_that_hears_a_few_peers_takes_the_rest_to_be_like_them():
    plans = [make_plan(seed) for seed in range(4)]
    for plan in plans:
        plan.set_node_count(41, 0.0)
        job = jobs.Job('j', 'lease', 'p', 'model', 'm', 100, 500)
        plan.submit(job, 0.0)
    one = plans[0].demand('p', 0.0).decode_s_per_s
    for number, plan in enumerate(plans[1:]):
        plans[0].merge_peer_digest(f'h{number}', plan.digest(0.0), 0.0)
    total = plans[0].demand('p', 0.0).decode_s_per_s
    assert abs(total - 41 * one) < 0.01 * total


def test_word_of_a_run_that_ended_grows_old_on_its_way():
    # An engine dies, and a caller whose request may be repeated gets no
    # answer for 40 s. One suspect had its turn and its caller went away.
    # Three nodes tell each other that it ran, a second ago by their digests.
    # These took up to a second themselves, so that the run never seemed to
    # end, and the next suspect, known to all and alone in line, had no turn.
    plans = [make_plan(seed) for seed in range(3)]
    judges = [plan.quarantine for plan in plans]
    gone, next_one = (quarantine.fingerprint_of(each) for each in 'ab')
    for judge in judges:
        judge.blame('d1', 'p', [(gone, 0), (next_one, 9)], 0.0)
    judges[0].record_running(gone, 8.0)
    for second in range(8, 24):
        told = [plan.digest(float(second)).to_bytes() for plan in plans]
        for receiver, plan in enumerate(plans):
            for sender, data in enumerate(told):
                if sender != receiver:
                    digest = digests.Digest.from_bytes(data)
                    plan.merge_peer_digest(f'h{sender}', digest, second + 0.95)
    waiting_s = judges[0].settings.activity_report_ttl_s
    assert not judges[0].is_trial_due(next_one, 0.0, 8.0 + waiting_s)
    for judge in judges:
        assert judge.entries[gone].running_s <= 8.0
        assert judge.is_trial_due(next_one, 0.0, 8.1 + waiting_s)


def test_a_clearing_is_told_though_the_digest_is_full():
    # An engine dies with forty streams; callers wait far longer than the
    # suspects need to run one by one. A digest has room for a dozen. They
    # were the same each time, with those cleared after all suspects, so the
    # others took a suspect that had run whole for one that still runs.
    first, second = make_plan(1), make_plan(2)
    batch = [quarantine.fingerprint_of(f'r{each}') for each in range(40)]
    for plan in (first, second):
        blamed = [(each, 9) for each in batch]
        plan.quarantine.blame('d1', 'p', blamed, 0.0)
    last = max(batch)
    second.quarantine.record_running(last, 9.0)
    first.quarantine.record_success(last, 10.0)
    data = first.digest(10.0).to_bytes()
    second.merge_peer_digest('h1', digests.Digest.from_bytes(data), 10.1)
    assert second.quarantine.verdict(last, 10.1) == quarantine.CLEAR


def test_a_node_tells_of_its_own_suspects_first():
    # As before, but one of the forty waits on this node. The other nodes
    # have to know, or two run side by side and a crash convicts both.
    first, second = make_plan(1), make_plan(2)
    texts = {quarantine.fingerprint_of(f'r{n}'): f'r{n}' for n in range(40)}
    for plan in (first, second):
        blamed = [(each, 9) for each in texts]
        plan.quarantine.blame('d1', 'p', blamed, 0.0)
    last = max(texts)
    job = jobs.Job('j', 'lease', 'p', 'model', 'm', 100, 50)
    first.submit(job._replace(fingerprint=texts[last]), 11.0)
    data = first.digest(12.0).to_bytes()
    second.merge_peer_digest('h1', digests.Digest.from_bytes(data), 12.1)
    assert second.quarantine.entries[last].waiting_s > 0.0
