"""All processes are killed as the store comes back from an older copy."""

import time

import gevent

import harness2
import tenants

COPY_AGE_S = 3.0
REWRITE_S = 0.5
#: Reports before the disruption, and time after it, in seconds.
REPORTS_BEFORE = 2
AFTER_S = 14.0
LIMIT_S = 60.0


def play(record):
    """Play the case; return whether the rule held."""
    with tenants.DutyFleet(record) as fleet:
        written = tenants.configuration(3)
        fleet.store.put('op/config', written)
        fleet.start()
        until_s = time.monotonic() + LIMIT_S
        while sum(any(e) for e in fleet.cloud.reports().values()) < (
            REPORTS_BEFORE
        ):
            if time.monotonic() > until_s:
                raise harness2.CouldNotRun('no usage was reported')
            gevent.sleep(0.02)
        if harness2.trouble():
            fleet.restore_and_kill(COPY_AGE_S, REWRITE_S, written)
        gevent.sleep(AFTER_S)
        fleet.stop_clients()
        return is_kept(fleet)


def is_kept(fleet):
    """Return whether no window was reported with different counts."""
    for call in fleet.cloud.calls:
        fleet.record.line(
            f'the platform has accepted from {call.holder}, fence '
            f'{call.fencing}: {call.body}'
        )
    kept = True
    for window, counts in fleet.cloud.reports().items():
        if len(counts) > 1:
            kept = False
            line = f'window {window} has several reports: {counts}'
            fleet.record.line(line)
            print(line)
    return kept


if __name__ == '__main__':
    log = harness2.Record(__file__)
    harness2.finish(log, lambda: play(log))
