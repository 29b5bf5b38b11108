"""Prompts of other nodes on one engine, from reports and from their word."""

import collections
import math

__all__ = ['PeerPrompts']

#: How long a report of others' prompts says more than their mean.
MEMORY_S = 1.0
MEAN_STEP = 0.05
#: For so long after their last word, others are taken to tell all they send.
NOTICE_TIMEOUT_S = 10.0
#: Part of the engine's time that others' prompts get while ours wait too.
PEER_SHARE = 0.5


class PeerPrompts:
    """How long an engine will read what other nodes have sent it.

    A report is old when it comes: it lacks what was sent since. Eight nodes
    that see one idle engine in it would all send it their next prompt,
    which then wait behind one another while another engine idles. Nodes of
    a small fleet therefore tell each other of each prompt, and what they
    told since the report's time is added to it. Without such word, a report
    fades into the mean of all reports.

    :ivar reported_s: seconds of others' prompts in the last report
    """

    def __init__(self):
        self.reported_s = 0.0
        self.reported_at_s = float('-inf')
        self.mean_s = 0.0
        self.sent_prompts = collections.deque()
        self.last_notice_s = float('-inf')

    def report(self, seconds, at_s):
        """Take what a report says beyond our own part.

        :param at_s: when it was true
        """
        if at_s < self.reported_at_s:
            return
        self.reported_s = seconds
        self.reported_at_s = at_s
        self.mean_s += MEAN_STEP * (seconds - self.mean_s)
        while self.sent_prompts and self.sent_prompts[0][0] <= at_s:
            self.sent_prompts.popleft()

    def record_peer_prompt(self, seconds, now_s):
        """Another node has just sent a prompt that takes so long."""
        self.sent_prompts.append((now_s, seconds))
        self.last_notice_s = now_s

    def wait_s(self, now_s, has_local_prompts):
        """Return the seconds of others' prompts that are still unread.

        :param shared: whether our own prompts wait there too
        """
        if not self.has_recent_notices(now_s):
            return self.decayed_s(now_s)
        rate = PEER_SHARE if has_local_prompts else 1.0
        left_s = self.reported_s
        at_s = self.reported_at_s
        for last_notice_s, seconds in self.sent_prompts:
            left_s = max(0.0, left_s - rate * max(0.0, last_notice_s - at_s))
            left_s += seconds
            at_s = max(at_s, last_notice_s)
        return max(0.0, left_s - rate * (now_s - at_s))

    def unreported_s(self, now_s):
        """Return how much of others' prompts may be there unseen."""
        return 0.0 if self.has_recent_notices(now_s) else self.mean_s

    def has_recent_notices(self, now_s):
        """Tell whether other nodes say what they send."""
        return now_s - self.last_notice_s <= NOTICE_TIMEOUT_S

    def decayed_s(self, now_s):
        """Return the last report, the nearer to the mean the older it is.

        What it told has been read after a while, and other nodes have sent
        as much as ever. An idle engine in an old report is none, and a busy
        one not busier than usual.
        """
        keep = math.exp((self.reported_at_s - now_s) / MEMORY_S)
        return self.mean_s + (self.reported_s - self.mean_s) * keep
