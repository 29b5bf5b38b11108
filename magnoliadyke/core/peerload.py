"""Estimates the prefill load that peers put on one engine."""

import collections
import math

__all__ = ['PeerPrompts']

#: Time constant with which a report decays to the mean, in seconds.
MEMORY_S = 1.0
#: Weight of a new report in the mean.
MEAN_STEP = 0.05
#: Time after the last notification of a peer for which peers are assumed to
#: send a notification for each of their prompts, in seconds.
NOTICE_TIMEOUT_S = 10.0
#: Share of the engine's time that peers' prompts get while prompts of this
#: node are queued there too.
PEER_SHARE = 0.5


class PeerPrompts:
    """Prefill time of the prompts that peers have sent to one engine.

    A report of the engine is old when it arrives: it lacks the prompts that
    were sent since. Eight nodes that see an idle engine in the same report
    would all send it their next prompt, and these would queue there while
    another engine is idle. Nodes of a small fleet therefore notify each
    other of each prompt, and the prompts of notifications after the report
    are added to it. Without notifications, a report decays to the mean of
    all reports.

    :ivar reported_s: seconds of peers' prompts in the last report
    :ivar reported_at_s: time of the engine state in the last report
    :ivar sent_prompts: time and prefill seconds of the peers' prompts since
        ``reported_at_s``
    """

    def __init__(self):
        self.reported_s = 0.0
        self.reported_at_s = float('-inf')
        self.mean_s = 0.0
        self.sent_prompts = collections.deque()
        self.last_notice_s = float('-inf')

    def report(self, seconds, at_s):
        """Record the load of peers from a report of the engine.

        :param seconds: prefill time of all queued prompts, less that of the
            prompts of this node
        :param at_s: time of the engine state that the report describes
        """
        if at_s < self.reported_at_s:
            return
        self.reported_s = seconds
        self.reported_at_s = at_s
        self.mean_s += MEAN_STEP * (seconds - self.mean_s)
        while self.sent_prompts and self.sent_prompts[0][0] <= at_s:
            self.sent_prompts.popleft()

    def record_peer_prompt(self, seconds, now_s):
        """Record a peer's notification of a prompt that it has just sent.

        :param seconds: prefill time of the prompt
        """
        self.sent_prompts.append((now_s, seconds))
        self.last_notice_s = now_s

    def wait_s(self, now_s, has_local_prompts):
        """Return the seconds of peers' prompts that are not prefilled yet.

        :param has_local_prompts: whether prompts of this node are queued
            there too
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
        """Return the seconds of peers' prompts that may be unreported."""
        return 0.0 if self.has_recent_notices(now_s) else self.mean_s

    def has_recent_notices(self, now_s):
        """Return whether peers send notifications of their prompts."""
        return now_s - self.last_notice_s <= NOTICE_TIMEOUT_S

    def decayed_s(self, now_s):
        """Return the last report, decayed to the mean by its age.

        After a while the engine has prefilled the reported prompts, and
        peers have sent others at their usual rate. So an engine that was
        idle or busy in an old report is assumed to have the usual load.
        """
        keep = math.exp((self.reported_at_s - now_s) / MEMORY_S)
        return self.mean_s + (self.reported_s - self.mean_s) * keep
