"""State of a submitted job and the load that it puts on endpoints."""

from magnoliadyke.core import quarantine

__all__ = ['Run']


class Run:
    """A job from its submission to its end.

    :param cost: predicted engine-seconds of (prefill, decode)
    :ivar timing: :class:`magnoliadyke.core.admission.Timing`
    :ivar fingerprint: six bytes, as in the quarantine
    :ivar ran: whether an attempt may have reached an endpoint
    :ivar avoid: names of endpoints where it failed
    :ivar charged_s: engine-seconds that its customer was charged
    :ivar tokens: output tokens so far
    :ivar prompt_at: endpoint that prefills the prompt now
    :ivar stream_at: endpoint that decodes the answer, or will
    :ivar streaming: whether decode has started on ``stream_at``
    :ivar prefill_endpoint: endpoint of the attempt's prefill, also after
        its end
    :ivar prefill_undisturbed: whether no load report showed prompts of other
        nodes on the prefill endpoint when the prompt was sent
    :ivar expected_s: when the first token is expected, in monotonic seconds
    :ivar streams_at_first: streams on the endpoint at the first token
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
        self.reset_attempt()

    def reset_attempt(self):
        """Reset the state of the previous attempt."""
        self.prompt_at = None
        self.stream_at = None
        self.streaming = False
        self.dispatched_s = None
        self.prefill_done_s = None
        self.first_token_s = None
        self.prefill_undisturbed = False
        self.prefill_endpoint = None
        self.expected_s = None
        self.estimated_cached_tokens = 0.0
        self.streams_at_first = 0.0

    def cost_s(self):
        """Predicted engine-seconds of the job."""
        return self.prefill_s + self.decode_s

    def used_s(self):
        """Estimated engine-seconds that the attempt has used so far."""
        used_s = self.prefill_s if self.prefill_done_s is not None else 0.0
        expected = max(1, self.job.output_tokens)
        return used_s + self.decode_s * min(1.0, self.tokens / expected)

    def has_reached(self, endpoint):
        """Whether the endpoint processes the job, not only reserves for it.

        A stream that waits for its prefill elsewhere has only a reservation
        on its decode endpoint.
        """
        if self.prompt_at is endpoint:
            return True
        reached = self.streaming or self.job.kind == 'service'
        return self.stream_at is endpoint and reached

    def join_prompt(self, endpoint, seconds, now_s):
        """Add the prompt to the load of the endpoint that prefills it.

        :param seconds: predicted prefill time
        """
        load = endpoint.load
        self.prompt_at = endpoint
        self.prefill_undisturbed = load.has_only_local_prompts()
        load.jobs.add(self.job.id)
        load.add_prompt(self.job.id, self.job.priority, seconds, now_s)

    def join_stream(self, endpoint, now_s):
        """Reserve a stream and KV cache memory on the decode endpoint."""
        self.stream_at = endpoint
        self.streaming = False
        load = endpoint.load
        load.jobs.add(self.job.id)
        if self.job.kind == 'model':
            load.reserved += 1
            load.kv_tokens.add(self.admitted_tokens, now_s)

    def start_stream(self, now_s):
        """Turn the reservation into a stream when decode begins."""
        if self.stream_at is None or self.streaming:
            return
        if self.job.kind == 'model':
            self.streaming = True
            self.stream_at.load.reserved -= 1
            self.stream_at.load.streams.add(1, now_s)

    def leave_stream(self, now_s):
        """Release the stream or its reservation on the decode endpoint."""
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
        if endpoint.exclusive_job_id == self.job.id:
            endpoint.exclusive_job_id = None

    def leave_prompt(self, now_s):
        """Remove the prompt from the load of its prefill endpoint."""
        endpoint = self.prompt_at
        if endpoint is None:
            return
        self.prompt_at = None
        endpoint.load.remove_prompt(self.job.id, now_s)
        if self.stream_at is not endpoint:
            endpoint.load.jobs.discard(self.job.id)
