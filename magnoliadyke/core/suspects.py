"""Queue of the requests on one node that are suspected of a crash."""

from magnoliadyke.core import quarantine
from magnoliadyke.core import routing

__all__ = ['SuspectQueue']

#: How long a suspect that may run waits for its engine to become idle, in
#: seconds.
TRIAL_WAIT_S = 5.0
NEVER_S = float('-inf')


class SuspectQueue:
    """Keeps suspected requests apart from all other jobs of the node.

    :param judge: the :class:`magnoliadyke.core.quarantine.Quarantine` that
        keeps the verdicts
    :ivar last_crash_s: time of the last recorded crash, by endpoint name
    """

    def __init__(self, judge):
        self.quarantine = judge
        self.last_crash_s = {}

    def record_engine_crash(self, endpoint, runs, now_s):
        """Blame the requests that ran on an endpoint, once for each crash."""
        last_s = self.last_crash_s.get(endpoint.name, NEVER_S)
        if now_s - last_s < self.quarantine.settings.same_crash_s:
            return
        self.last_crash_s[endpoint.name] = now_s
        batch = [
            (run.fingerprint, run.tokens)
            for run in runs
            if run.job.fingerprint and run.has_reached(endpoint)
        ]
        pool = endpoint.info.pool
        self.quarantine.blame(endpoint.name, pool, batch, now_s)

    def record_blame(self, run, endpoint, now_s):
        """Blame a job whose own failure shows that it ran on the endpoint."""
        if run.job.fingerprint:
            batch = [(run.fingerprint, run.tokens)]
            pool = endpoint.info.pool
            self.quarantine.blame(endpoint.name, pool, batch, now_s)

    def verdict(self, run, now_s):
        """Return the verdict of a run; one without a fingerprint is clear."""
        if not run.job.fingerprint:
            return quarantine.CLEAR
        return self.quarantine.verdict(run.fingerprint, now_s)

    def add(self, run, pool, now_s):
        """Queue a suspect until it may run on the trial engine."""
        self.quarantine.record_waiting(run.fingerprint, now_s)
        run.queued_s = now_s
        pool.suspects.append(run)

    def pop_decided(self, pool, now_s):
        """Remove and return the runs that are suspects no longer.

        :return: list of (run, verdict); clear or convicted
        """
        decided = []
        for run in list(pool.suspects):
            verdict = self.verdict(run, now_s)
            if verdict == quarantine.SUSPECT:
                self.quarantine.record_waiting(run.fingerprint, now_s)
            else:
                pool.suspects.remove(run)
                decided.append((run, verdict))
        return decided

    def next_suspect(self, pool, runs, now_s):
        """Return the suspect to run now on ``pool.trial``, or None.

        :param runs: the node's jobs by id
        """
        self._choose_trial(pool)
        trial = pool.trial
        if trial is None:
            return None
        if trial.exclusive_job_id is not None:
            self.quarantine.record_running(
                runs[trial.exclusive_job_id].fingerprint, now_s
            )
            return None
        for run in pool.suspects:
            if self.quarantine.is_trial_due(
                run.fingerprint, run.queued_s, now_s
            ):
                waited_s = now_s - run.queued_s
                waited_s -= self.quarantine.settings.settle_s
                idle = not trial.load.jobs
                return run if idle or waited_s >= TRIAL_WAIT_S else None
        return None

    def record_trial_start(self, run, pool, now_s):
        """Move a suspect from the queue to the trial engine.

        Until it ends, no other job of this node runs there.
        """
        pool.suspects.remove(run)
        pool.trial.exclusive_job_id = run.job.id
        self.quarantine.record_running(run.fingerprint, now_s)

    def _choose_trial(self, pool):
        """Reserve one engine for suspects, the same on every node.

        Only while this node has suspects: in a pool of five engines it is a
        fifth of the capacity.
        """
        chosen = self._trial_of(pool) if pool.suspects else None
        if pool.trial is not None and pool.trial is not chosen:
            pool.trial.is_reserved_for_trial = False
        pool.trial = chosen
        if chosen is not None:
            chosen.is_reserved_for_trial = pool.endpoints.available_count() > 1

    def _trial_of(self, pool):
        for role in ('', routing.DECODE, routing.PREFILL):
            members = pool.endpoints.by_role[role]
            if members:
                return min(
                    members,
                    key=lambda each: quarantine.name_checksum(each.name),
                )
        return None
