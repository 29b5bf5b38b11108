"""What is believed to be at work on an endpoint, and how much more may go.

Load reports lag by seconds, and several nodes use the same engines. Each
node knows exactly what it sent itself; of the rest it knows what a report
said beyond its own part at the time. Both together are the present belief.

Streams on an engine are credits, split between the nodes by their demand.
A node may go beyond its part by its share of what a report shows free. So
nodes that see the same idle engine at once together fill it rather than
each on its own: with equal views, at most one engine's worth is borrowed on
top of what the parts guarantee, and the next report ends it.
"""

import bisect
import collections

from magnoliadyke.core import othersload

__all__ = ['EndpointLoad', 'LaggedLoad', 'allowed_streams']

HISTORY_S = 15.0
#: Less than this of others' prompts is none.
MIN_PEER_PREFILL_S = 0.01


class LaggedLoad:
    """A quantity on an endpoint: own part exact, others' part reported."""

    __slots__ = ('local', 'peers', 'times', 'values')

    def __init__(self):
        self.local = 0.0
        self.peers = 0.0
        self.times = collections.deque()
        self.values = collections.deque()

    def add(self, amount, now_s):
        """Change the own part."""
        self.local += amount
        self.times.append(now_s)
        self.values.append(self.local)
        while self.times[0] < now_s - HISTORY_S:
            self.times.popleft()
            self.values.popleft()

    def local_at(self, at_s):
        """The own part at a time of the near past."""
        index = bisect.bisect_right(self.times, at_s)
        if index:
            return self.values[index - 1]
        return self.values[0] if self.values else self.local

    def report(self, total, at_s):
        """Take a reported total that was true at ``at_s``."""
        self.peers = max(0.0, total - self.local_at(at_s))

    def total(self):
        """The own part and what others had at the last report."""
        return self.local + self.peers

    def clear(self):
        """Forget all; the endpoint started anew."""
        self.local = 0.0
        self.peers = 0.0
        self.times.clear()
        self.values.clear()


def allowed_streams(limit, credit_share, local_at_report, total_at_report):
    """Streams that one node may have on an engine.

    :param limit: streams that the engine serves in time
    :param fraction: this node's part of the credits, 0 to 1
    :param own_at_report: its own streams when the report was true
    :param total_at_report: all nodes' streams then
    """
    guaranteed = credit_share * limit
    free = max(0.0, limit - total_at_report)
    return max(1.0, guaranteed, local_at_report + credit_share * free)


class _Prompt:
    """A prompt of this node that an endpoint reads or will read."""

    __slots__ = ('job_id', 'priority', 'remaining_s')

    def __init__(self, job_id, priority, remaining_s):
        self.job_id = job_id
        self.priority = priority
        self.remaining_s = remaining_s


class EndpointLoad:
    """What this node believes is at work on one endpoint.

    :ivar jobs: ids of this node's jobs that are there
    :ivar reserved: of those, streams that have not begun
    :ivar last_done_s: when it last finished reading one of our prompts
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
        self.peers = othersload.OthersPrompts()
        self.last_prefill_done_s = float('-inf')

    def clear(self):
        """It lost all its work."""
        self.jobs.clear()
        self.streams.clear()
        self.kv_tokens.clear()
        self.backlog.clear()
        self.reserved = 0
        self.prompts.clear()
        self.peers = othersload.OthersPrompts()

    def has_only_local_prompts(self):
        """Whether no other node's prompts were there at the last report."""
        return self.peers.reported_s < MIN_PEER_PREFILL_S

    def add_prompt(self, job_id, priority, seconds, now_s):
        """A prompt was sent; the endpoint reads the urgent ones first."""
        self._advance(now_s)
        prompt = _Prompt(job_id, priority, seconds)
        position = len(self.prompts)
        while position and self.prompts[position - 1].priority > priority:
            position -= 1
        self.prompts.insert(position, prompt)
        self.backlog.add(seconds, now_s)

    def remove_prompt(self, job_id, now_s):
        """A prompt was read, or given up."""
        self._advance(now_s)
        for index, prompt in enumerate(self.prompts):
            if prompt.job_id == job_id:
                del self.prompts[index]
                self.backlog.add(-prompt.remaining_s, now_s)
                return

    def local_wait_s(self, priority, now_s):
        """Seconds of this node's prompts that are read before a new one."""
        self._advance(now_s)
        wait_s = 0.0
        for prompt in self.prompts:
            if prompt.priority > priority:
                break
            wait_s += prompt.remaining_s
        return wait_s

    def peers_wait_s(self, now_s):
        """Seconds of other nodes' prompts that wait there."""
        return self.peers.wait_s(now_s, bool(self.prompts))

    def record_prefill_backlog(self, seconds, at_s, now_s):
        """Take the reported prefill backlog, true at ``at_s``."""
        self._advance(now_s)
        peers_backlog_s = max(0.0, seconds - self.backlog.local_at(at_s))
        self.peers.report(peers_backlog_s, at_s)

    def _advance(self, now_s):
        """Let the first prompt be read for the time that passed.

        What is left over is not given to the next one: the first is not
        done before the endpoint says so, however wrong the estimate was.
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
