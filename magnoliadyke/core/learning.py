"""What finished work teaches about costs, caches and endpoints."""

__all__ = ['Learner']

LEAST_SLOWNESS = 0.5
MOST_SLOWNESS = 4.0
#: Steps of the decoding engine between a KV cache's arrival and a token.
STEPS_TO_FIRST_TOKEN = 1.5


class Learner:
    """Feeds cost models, cache beliefs and predictions.

    :param models: :class:`magnoliadyke.core.costs.CostModels`
    :param beliefs: :class:`magnoliadyke.core.prefixes.PrefixBeliefs`
    :param router: :class:`magnoliadyke.core.routing.Router`
    """

    def __init__(self, models, beliefs, router):
        self.models = models
        self.beliefs = beliefs
        self.router = router

    def first_token(self, run, was_read, now_s):
        """The first token came.

        :param was_read: whether the end of the prefill was told before
        """
        if run.read_by is None:
            return
        error_s = now_s - run.expected_s
        self.router.observe(run.read_by.role, run.job.priority, error_s)
        split = run.read_by is not run.stream_at
        if not was_read or not split or run.stream_at is None:
            return
        model = self.models.of_job(run.job)
        streams = run.stream_at.load.streams.total()
        if streams < self.models.max_streams:
            took_s = run.first_token_s - run.prefill_done_s
            took_s -= model.pace.at(streams) * STEPS_TO_FIRST_TOKEN
            model.transfer.add(run.job.prompt_tokens, max(0.0, took_s))

    def finished(self, run, result, now_s):
        """The whole answer has come.

        :returns: engine-seconds that the job took in truth
        """
        job = run.job
        model = self.models.of_job(job)
        if run.stream_at is not None:
            run.stream_at.health.succeeded()
        if job.kind == 'service':
            took_s = now_s - run.dispatched_s
            model.service.add(1.0, took_s)
            return took_s
        model.observe_finish(job, result)
        read_tokens = max(0, result.prompt_tokens - result.cached_tokens)
        if run.read_by is not None:
            self.beliefs.confirmed(
                run.read_by.name, run.believed_tokens, result.cached_tokens
            )
        self._observe_pace(run, model, result, now_s)
        decode_s = result.output_tokens * model.decode_s_per_token()
        return read_tokens * model.prefill.ratio + decode_s

    def prompt_read(self, run, endpoint, now_s):
        """A prompt was read; the time since the last one tells its cost."""
        load = endpoint.load
        since_s = max(run.dispatched_s, load.last_prefill_done_s)
        load.last_prefill_done_s = now_s
        if run.job.kind == 'service':
            return
        took_s = max(0.0, now_s - since_s)
        tokens = max(1.0, run.job.prompt_tokens - run.believed_tokens)
        sample = endpoint.reading
        if sample.joins(took_s):
            sample.tokens += tokens
            return
        if sample.clean:
            model = self.models.of_job(run.job)
            model.observe_prefill(
                endpoint.role, sample.tokens, sample.seconds, sample.streams
            )
        streams = load.streams.total()
        sample.begin(tokens, took_s, streams, run.read_undisturbed)

    def _observe_pace(self, run, model, result, now_s):
        endpoint = run.stream_at
        steps = result.output_tokens - 1
        if endpoint is None or run.first_token_s is None or steps < 1:
            return
        streams = endpoint.load.streams.total() + run.streams_at_first
        streams /= 2
        took_s = now_s - run.first_token_s
        expected_s = model.pace.at(streams) * steps
        model.observe_pace(streams, steps, took_s)
        endpoint.pace.add(expected_s, took_s)
        ratio = endpoint.pace.ratio
        endpoint.slowness = min(max(ratio, LEAST_SLOWNESS), MOST_SLOWNESS)
