"""Updates cost models and cache estimates from the progress of requests."""

__all__ = ['Learner']

MIN_SLOWNESS = 0.5
MAX_SLOWNESS = 4.0
#: Decode steps between the arrival of a KV cache and the first token.
STEPS_TO_FIRST_TOKEN = 1.5


class Learner:
    """Feeds measurements to cost models, cache estimates and predictions.

    :param models: :class:`magnoliadyke.core.costs.CostModels`
    :param cache_estimate:
        :class:`magnoliadyke.core.prefixes.PrefixCacheEstimate`
    :param router: :class:`magnoliadyke.core.routing.Router`
    """

    def __init__(self, models, cache_estimate, router):
        self.models = models
        self.cache_estimate = cache_estimate
        self.router = router

    def record_first_token(self, run, prefill_reported, now_s):
        """Record the first token of a run.

        :param prefill_reported: whether the end of the prefill was reported
            before
        """
        if run.prefill_endpoint is None:
            return
        error_s = now_s - run.expected_s
        self.router.record_prediction_error(
            run.prefill_endpoint.role, run.job.priority, error_s
        )
        split = run.prefill_endpoint is not run.stream_at
        if not prefill_reported or not split or run.stream_at is None:
            return
        model = self.models.job_cost_model(run.job)
        streams = run.stream_at.load.streams.total()
        if streams < self.models.max_streams:
            took_s = run.first_token_s - run.prefill_done_s
            took_s -= model.decode_step.at(streams) * STEPS_TO_FIRST_TOKEN
            model.transfer.add(run.job.prompt_tokens, max(0.0, took_s))

    def record_finish(self, run, result, now_s):
        """Record that the answer of a run is complete.

        :returns: engine-seconds that the job actually took
        """
        job = run.job
        model = self.models.job_cost_model(job)
        if run.stream_at is not None:
            run.stream_at.health.record_success()
        if job.kind == 'service':
            took_s = now_s - run.dispatched_s
            model.service.add(1.0, took_s)
            return took_s
        model.observe_finish(job, result)
        uncached_tokens = max(0, result.prompt_tokens - result.cached_tokens)
        if run.prefill_endpoint is not None:
            self.cache_estimate.update_trust(
                run.prefill_endpoint.name,
                run.estimated_cached_tokens,
                result.cached_tokens,
            )
        self._observe_decode_steps(run, model, result, now_s)
        decode_s = result.output_tokens * model.decode_s_per_token()
        return uncached_tokens * model.prefill.ratio + decode_s

    def record_prefill_done(self, run, endpoint, now_s):
        """Record the end of a prefill.

        The cost sample is the time since the engine's previous prefill
        ended, or since the dispatch of this prompt if that is later.
        """
        load = endpoint.load
        since_s = max(run.dispatched_s, load.last_prefill_done_s)
        load.last_prefill_done_s = now_s
        if run.job.kind == 'service':
            return
        took_s = max(0.0, now_s - since_s)
        tokens = max(1.0, run.job.prompt_tokens - run.estimated_cached_tokens)
        sample = endpoint.prefill_sample
        if sample.is_same_step(took_s):
            sample.tokens += tokens
            return
        if sample.undisturbed:
            model = self.models.job_cost_model(run.job)
            model.observe_prefill(
                endpoint.role, sample.tokens, sample.seconds, sample.streams
            )
        streams = load.streams.total()
        sample.restart(tokens, took_s, streams, run.prefill_undisturbed)

    def _observe_decode_steps(self, run, model, result, now_s):
        endpoint = run.stream_at
        steps = result.output_tokens - 1
        if endpoint is None or run.first_token_s is None or steps < 1:
            return
        streams = endpoint.load.streams.total() + run.streams_at_first
        streams /= 2
        took_s = now_s - run.first_token_s
        expected_s = model.decode_step.at(streams) * steps
        model.observe_decode_steps(streams, steps, took_s)
        endpoint.slowness_fit.add(expected_s, took_s)
        ratio = endpoint.slowness_fit.ratio
        endpoint.slowness = min(max(ratio, MIN_SLOWNESS), MAX_SLOWNESS)
