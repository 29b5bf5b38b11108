"""Estimates the load of an endpoint and limits a node's streams on it."""

import bisect
import collections

from magnoliadyke.core import peerload

__all__ = ['EndpointLoad', 'LaggedLoad', 'allowed_streams']

#: Retention of local load, in seconds; must exceed the delay of load reports.
LOCAL_LOAD_RETENTION_S = 15.0
#: Peers' prompts of fewer engine-seconds than this are neglected.
MIN_PEER_PREFILL_S = 0.01


class LaggedLoad:
    """A load quantity of an endpoint: exact local load plus peers' load.

    Load reports lag by seconds, and several nodes use the same engines. The
    local load is what this node has sent itself. The peers' load is the last
    reported total minus the local load at the time of that report.

    :ivar local: load that this node has sent
    :ivar peers: load from peers at the last report
    """

    __slots__ = ('local', 'peers', 'times', 'values')

    def __init__(self):
        self.local = 0.0
        self.peers = 0.0
        self.times = collections.deque()
        self.values = collections.deque()

    def add(self, amount, now_s):
        """Add an amount, which may be negative, to the local load."""
        self.local += amount
        self.times.append(now_s)
        self.values.append(self.local)
        while self.times[0] < now_s - LOCAL_LOAD_RETENTION_S:
            self.times.popleft()
            self.values.popleft()

    def local_at(self, at_s):
        """Return the local load at a time within the retention period."""
        index = bisect.bisect_right(self.times, at_s)
        if index:
            return self.values[index - 1]
        return self.values[0] if self.values else self.local

    def report(self, total, at_s):
        """Update the peers' load from a load report of the endpoint.

        :param total: load of all nodes at ``at_s``
        """
        self.peers = max(0.0, total - self.local_at(at_s))

    def total(self):
        """The local load now plus the peers' load at the last report."""
        return self.local + self.peers

    def clear(self):
        """Reset to zero after a restart of the endpoint."""
        self.local = 0.0
        self.peers = 0.0
        self.times.clear()
        self.values.clear()


def allowed_streams(limit, credit_share, local_at_report, total_at_report):
    """Maximum number of streams that one node may have on an engine.

    The streams of an engine are credits, divided between the nodes by their
    demand. A node may exceed its guaranteed credits by its share of the
    streams that a report shows free. Nodes that see the same idle engine at
    the same time thus fill it together, not each on its own: if they have the
    same report, they borrow at most one engine's streams beyond the guaranteed
    credits, until the next report.

    :param limit: streams that the engine serves within its objectives
    :param credit_share: this node's share of the credits, 0 to 1
    :param local_at_report: this node's streams at the time of the report
    :param total_at_report: streams of all nodes at that time
    """
    guaranteed = credit_share * limit
    free = max(0.0, limit - total_at_report)
    return max(1.0, guaranteed, local_at_report + credit_share * free)


class _Prompt:
    """A prompt of this node whose prefill at an endpoint is not done.

    :ivar remaining_s: estimated engine time until its prefill is done, in
        seconds
    """

    __slots__ = ('job_id', 'priority', 'remaining_s')

    def __init__(self, job_id, priority, remaining_s):
        self.job_id = job_id
        self.priority = priority
        self.remaining_s = remaining_s


class EndpointLoad:
    """Estimated load of one endpoint.

    :ivar jobs: ids of this node's jobs at the endpoint
    :ivar reserved: streams of these jobs that have not started
    :ivar prompts: this node's prompts in the order of their prefill
    :ivar backlog: queued prefill work in seconds
    :ivar last_prefill_done_s: when the endpoint last finished the prefill of
        a prompt of this node
    """

    def __init__(self):
        self.jobs = set()
        self.streams = LaggedLoad()
        self.kv_tokens = LaggedLoad()
        self.kv_capacity = 0
        self.reserved = 0
        self.prompts = []
        self.prompts_at_s = 0.0
        self.backlog = LaggedLoad()
        self.peers = peerload.PeerPrompts()
        self.last_prefill_done_s = float('-inf')

    def clear(self):
        """Reset after the endpoint has lost all its work."""
        self.jobs.clear()
        self.streams.clear()
        self.kv_tokens.clear()
        self.backlog.clear()
        self.reserved = 0
        self.prompts.clear()
        self.peers = peerload.PeerPrompts()

    def has_only_local_prompts(self):
        """Whether the last report showed no prompts of other nodes."""
        return self.peers.reported_s < MIN_PEER_PREFILL_S

    def add_prompt(self, job_id, priority, seconds, now_s):
        """Add a sent prompt to the estimated queue of the endpoint.

        The endpoint prefills prompts by priority, the lowest number first,
        and those of the same priority in the order of arrival.

        :param seconds: estimated prefill time of the prompt
        """
        self._advance(now_s)
        prompt = _Prompt(job_id, priority, seconds)
        position = len(self.prompts)
        while position and self.prompts[position - 1].priority > priority:
            position -= 1
        self.prompts.insert(position, prompt)
        self.backlog.add(seconds, now_s)

    def remove_prompt(self, job_id, now_s):
        """Remove a prompt whose prefill is done or cancelled."""
        self._advance(now_s)
        for index, prompt in enumerate(self.prompts):
            if prompt.job_id == job_id:
                del self.prompts[index]
                self.backlog.add(-prompt.remaining_s, now_s)
                return

    def local_wait_s(self, priority, now_s):
        """Prefill time of this node's prompts before a new one."""
        self._advance(now_s)
        wait_s = 0.0
        for prompt in self.prompts:
            if prompt.priority > priority:
                break
            wait_s += prompt.remaining_s
        return wait_s

    def peers_wait_s(self, now_s):
        """Estimated prefill time of the prompts of other nodes."""
        return self.peers.wait_s(now_s, bool(self.prompts))

    def record_prefill_backlog(self, seconds, at_s, now_s):
        """Update the peers' backlog from a report.

        :param seconds: prefill backlog of all nodes at ``at_s``
        """
        self._advance(now_s)
        peers_backlog_s = max(0.0, seconds - self.backlog.local_at(at_s))
        self.peers.report(peers_backlog_s, at_s)

    def _advance(self, now_s):
        """Subtract the elapsed time from the first prompt's remaining time.

        Time beyond its estimate is not subtracted from the next prompt: the
        first one is done only when the endpoint reports it, however wrong the
        estimate was.
        """
        passed_s = now_s - self.prompts_at_s
        self.prompts_at_s = now_s
        if passed_s <= 0 or not self.prompts:
            return
        first = self.prompts[0]
        read_s = min(passed_s, first.remaining_s)
        if read_s > 0:
            first.remaining_s -= read_s
            self.backlog.add(-read_s, now_s)
