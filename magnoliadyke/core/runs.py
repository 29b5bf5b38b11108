"""A job on its way, and what of it is on which endpoint."""

from magnoliadyke.core import quarantine

__all__ = ['Run']


class Run:
    """A job from its submission to its end.

    :ivar timing: :class:`magnoliadyke.core.admission.Timing`
    :ivar fingerprint: six bytes, as in the quarantine
    :ivar ran: whether an attempt may have reached an endpoint
    :ivar avoid: names of endpoints where it failed
    :ivar charged_s: engine-seconds that its customer was charged
    :ivar tokens: output tokens so far
    :ivar prompt_at: endpoint that reads its prompt now
    :ivar stream_at: endpoint that makes its answer, or will
    :ivar read_by: endpoint that was given its prompt
    :ivar expected_s: when its first token was predicted
    """

    def __init__(self, job, timing, cost):
        self.job = job
        self.timing = timing
        self.prefill_s, self.decode_s = cost
        self.admitted_tokens = job.prompt_tokens + job.output_tokens
        self.fingerprint = quarantine.fingerprint_of(job.fingerprint)
        self.attempts = 0
        self.ran = False
        self.avoid = frozenset()
        self.charged_s = 0.0
        self.tokens = 0
        self.queued_s = job.arrived_s
        self.begin()

    def begin(self):
        """Forget the attempt before."""
        self.prompt_at = None
        self.stream_at = None
        self.streaming = False
        self.dispatched_s = None
        self.prefill_done_s = None
        self.first_token_s = None
        self.read_undisturbed = False
        self.read_by = None
        self.expected_s = None
        self.believed_tokens = 0.0
        self.streams_at_first = 0.0

    def cost_s(self):
        """Engine-seconds that the job is expected to take."""
        return self.prefill_s + self.decode_s

    def used_s(self):
        """Engine-seconds that an attempt has used so far."""
        used_s = self.prefill_s if self.prefill_done_s is not None else 0.0
        expected = max(1, self.job.output_tokens)
        return used_s + self.decode_s * min(1.0, self.tokens / expected)

    def was_at(self, endpoint):
        """Whether it had reached the endpoint, not only a place there."""
        if self.prompt_at is endpoint:
            return True
        reached = self.streaming or self.job.kind == 'service'
        return self.stream_at is endpoint and reached

    def join_prompt(self, endpoint, seconds, now_s):
        """Have the prompt read on an endpoint.

        :param seconds: how long that is predicted to take
        """
        load = endpoint.load
        self.prompt_at = endpoint
        self.read_undisturbed = load.has_only_local_prompts()
        load.jobs.add(self.job.id)
        load.add_prompt(self.job.id, self.job.priority, seconds, now_s)

    def join_stream(self, endpoint, now_s):
        """Take a place for the answer on an endpoint."""
        self.stream_at = endpoint
        self.streaming = False
        load = endpoint.load
        load.jobs.add(self.job.id)
        if self.job.kind == 'model':
            load.reserved += 1
            load.kv_tokens.add(self.admitted_tokens, now_s)

    def begin_stream(self, now_s):
        """The endpoint has begun to decode it."""
        if self.stream_at is None or self.streaming:
            return
        if self.job.kind == 'model':
            self.streaming = True
            self.stream_at.load.reserved -= 1
            self.stream_at.load.streams.add(1, now_s)

    def leave_stream(self, now_s):
        """Its answer is not, or no longer, made there."""
        endpoint = self.stream_at
        if endpoint is None:
            return
        self.stream_at = None
        load = endpoint.load
        if self.prompt_at is not endpoint:
            load.jobs.discard(self.job.id)
        if self.job.kind == 'model':
            load.kv_tokens.add(-self.admitted_tokens, now_s)
            if self.streaming:
                load.streams.add(-1, now_s)
            else:
                load.reserved -= 1
        self.streaming = False
        if endpoint.alone == self.job.id:
            endpoint.alone = None

    def leave_prompt(self, now_s):
        """Its prompt is not, or no longer, read there."""
        endpoint = self.prompt_at
        if endpoint is None:
            return
        self.prompt_at = None
        endpoint.load.remove_prompt(self.job.id, now_s)
        if self.stream_at is not endpoint:
            endpoint.load.jobs.discard(self.job.id)
