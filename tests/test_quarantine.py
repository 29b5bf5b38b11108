"""Tests of the quarantine of requests that crash engines."""

from magnoliadyke.core import quarantine

SETTLE_S = quarantine.DEFAULT_SETTINGS.settle_s


def names(*texts):
    return [quarantine.fingerprint_of(text) for text in texts]


def share(sender, receiver, now_s):
    for fingerprint, entry in sender.entries_to_send(100, now_s):
        cleared = not entry.blames
        blames = list(entry.cleared_blames if cleared else entry.blames)
        receiver.merge(
            fingerprint,
            entry.pool,
            entry.tokens_at_crash,
            cleared,
            blames,
            now_s,
        )


def test_the_second_crash_convicts_and_clears_the_rest():
    # A batch of 16 dies with its engine. The culprit runs alone, as every
    # suspect does, and takes a second engine down. Now it is known, and so
    # is why the first engine died: the other 15 are cleared at once.
    judge = quarantine.Quarantine()
    batch = names(*(f'r{number}' for number in range(16)))
    judge.blame('e1', 'p', [(each, 50) for each in batch], 0.0)
    assert {judge.verdict(each, 1.0) for each in batch} == {'suspect'}
    judge.blame('e2', 'p', [(batch[3], 0)], 20.0)
    verdicts = [judge.verdict(each, 20.0) for each in batch]
    assert verdicts[3] == quarantine.CONVICTED
    assert verdicts.count(quarantine.CLEAR) == 15


def test_one_crash_told_twice_is_one_crash():
    # The same engine's crash is seen by two nodes and gossiped to and fro.
    # Counted twice, it would convict whoever was there.
    (one,) = names('r1')
    first, second = quarantine.Quarantine(), quarantine.Quarantine()
    first.blame('e1', 'p', [(one, 0)], 0.0)
    second.blame('e1', 'p', [(one, 0)], 1.5)
    for now_s in (2.0, 3.0, 4.0):
        share(first, second, now_s)
        share(second, first, now_s)
    assert first.verdict(one, 5.0) == quarantine.SUSPECT
    assert second.verdict(one, 5.0) == quarantine.SUSPECT


def test_crashes_on_two_hosts_convict_on_a_third():
    (one, mate) = names('culprit', 'mate')
    nodes = [quarantine.Quarantine() for _ in range(3)]
    nodes[0].blame('e1', 'p', [(one, 0), (mate, 9)], 0.0)
    nodes[1].blame('e2', 'p', [(one, 0)], 1.0)
    share(nodes[0], nodes[2], 2.0)
    assert nodes[2].verdict(one, 2.0) == quarantine.SUSPECT
    assert not nodes[2].is_trial_due(one, 2.0, 2.0)
    share(nodes[1], nodes[2], 2.5)
    assert nodes[2].verdict(one, 2.5) == quarantine.CONVICTED
    assert nodes[2].verdict(mate, 2.5) == quarantine.CLEAR


def test_suspects_take_turns_the_likeliest_first():
    early, late = names('early', 'late')
    judge = quarantine.Quarantine()
    judge.blame('e1', 'p', [(late, 200), (early, 0)], 0.0)
    now_s = SETTLE_S + 1
    for each in (early, late):
        judge.record_waiting(each, now_s)
    assert judge.is_trial_due(early, 0.0, now_s)
    assert not judge.is_trial_due(late, 0.0, now_s)
    judge.record_success(early, now_s)
    assert judge.is_trial_due(late, 0.0, now_s)


def test_a_suspect_keeps_away_while_another_runs():
    # The one first in line has come back only now. The other runs already,
    # and together on the trial engine a crash would convict both.
    early, late = names('early', 'late')
    judge = quarantine.Quarantine()
    judge.blame('e1', 'p', [(late, 200), (early, 0)], 0.0)
    judge.record_running(late, 20.0)
    assert not judge.is_trial_due(early, 10.0, 21.0)
    judge.record_success(late, 22.0)
    assert judge.is_trial_due(early, 10.0, 22.0)
    assert not judge.is_trial_due(early, 21.0, 22.0)


def test_the_run_that_died_keeps_nobody_waiting():
    # An engine dies and its callers wait longer than needed for an answer.
    # One node hears of the crash first; another still takes its own request
    # to run there and says so. That was taken for a suspect's turn.
    early, late = names('early', 'late')
    judge = quarantine.Quarantine()
    judge.blame('e1', 'p', [(late, 200), (early, 0)], 0.0)
    judge.record_running(late, 0.8)
    assert judge.is_trial_due(early, 0.0, SETTLE_S)
    judge.record_running(late, SETTLE_S)
    assert not judge.is_trial_due(early, 0.0, SETTLE_S)


def test_a_cleared_request_is_not_convicted_by_the_next_crash():
    # It was in a batch that died, ran whole alone, and was cleared. Soon
    # after, by bad luck, its new engine dies too. Peers that never heard of
    # the clearing still tell of the first crash.
    (one,) = names('r1')
    first, second = quarantine.Quarantine(), quarantine.Quarantine()
    first.blame('e1', 'p', [(one, 0)], 0.0)
    share(first, second, 1.0)
    first.record_success(one, 10.0)
    first.blame('e2', 'p', [(one, 0)], 50.0)
    share(second, first, 51.0)
    assert first.verdict(one, 52.0) == quarantine.SUSPECT
    share(first, second, 53.0)
    assert second.verdict(one, 54.0) != quarantine.CLEAR


def test_word_of_a_clearing_travels():
    (one,) = names('r1')
    first, second = quarantine.Quarantine(), quarantine.Quarantine()
    first.blame('e1', 'p', [(one, 0)], 0.0)
    share(first, second, 1.0)
    first.record_success(one, 10.0)
    share(first, second, 11.0)
    share(second, first, 12.0)
    assert first.verdict(one, 12.0) == quarantine.CLEAR
    assert second.verdict(one, 12.0) == quarantine.CLEAR


def test_nobody_waits_for_a_suspect_that_is_gone():
    # Its caller gave up, so it waits nowhere and will never be tried.
    early, late = names('early', 'late')
    judge = quarantine.Quarantine()
    judge.blame('e1', 'p', [(late, 200), (early, 0)], 0.0)
    judge.record_waiting(early, 1.0)
    assert not judge.is_trial_due(late, 0.0, SETTLE_S + 1)
    forgotten_s = 1.0 + judge.settings.activity_report_ttl_s
    assert judge.is_trial_due(late, 0.0, forgotten_s + 0.1)


def test_suspects_and_convicts_are_forgotten():
    one, two = names('one', 'two')
    judge = quarantine.Quarantine()
    judge.blame('e1', 'p', [(one, 0), (two, 0)], 0.0)
    judge.blame('e2', 'p', [(two, 0)], 10.0)
    judge.tick(judge.settings.suspect_s + 11.0)
    assert judge.verdict(one, 400.0) == quarantine.CLEAR
    judge.extend_retention(two, 1000.0)
    late_s = 1000.0 + judge.settings.convicted_s
    assert judge.verdict(two, late_s - 1) == quarantine.CONVICTED
    assert judge.verdict(two, late_s + 1) == quarantine.CLEAR


def test_memory_is_bounded():
    settings = quarantine.QuarantineSettings(max_entries=10)
    judge = quarantine.Quarantine(settings)
    batch = [(each, 0) for each in names(*(f'r{n}' for n in range(100)))]
    judge.blame('e1', 'p', batch, 0.0)
    assert len(judge.entries) == 10
