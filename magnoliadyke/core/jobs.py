"""Inputs of the scheduler: requests, endpoints, load reports, results."""

import dataclasses
import typing

__all__ = [
    'Cancelled',
    'EndpointInfo',
    'Failed',
    'Finished',
    'Job',
    'LoadReport',
]


class Job(typing.NamedTuple):
    """A request, with the fields that scheduling needs.

    :param id: unique within the node
    :param pool: name of the pool that serves it
    :param kind: ``model`` or ``service``
    :param prompt_tokens: estimated length of the prompt
    :param output_tokens: upper bound or estimate of the output's length
    :param prefix_blocks: chained ids of the prompt's cache blocks
    :param priority: 0 (urgent) to 9
    :param repeatable: whether it may run more than once
    :param first_token_s: objective for the time to the first token, in
        seconds
    :param per_token_s: objective for the time between tokens, in seconds
    :param fingerprint: digest of customer and content, the same when the
        caller sends the request again
    :param arrived_s: when it arrived, in monotonic seconds
    """

    id: str
    customer: str
    pool: str
    kind: str = 'model'
    model: str = ''
    prompt_tokens: int = 0
    output_tokens: int = 0
    prefix_blocks: tuple[str, ...] = ()
    priority: int = 5
    repeatable: bool = True
    first_token_s: float = 2.0
    per_token_s: float = 0.07
    fingerprint: str = ''
    arrived_s: float = 0.0


class LoadReport(typing.NamedTuple):
    """Load that an engine reported.

    :param at_s: time of the load, in the receiving node's monotonic seconds
    :param role: ``prefill`` or ``decode``
    :param state: ``in``, ``leaving`` or ``changing``
    :param generation: generation of the last command that it executed
    :param running: streams that it decodes
    :param queued: requests in its queue
    :param queued_prompt_tokens: prompt tokens that await prefill
    """

    at_s: float
    role: str = 'decode'
    state: str = 'in'
    generation: int = 0
    running: int = 0
    queued: int = 0
    queued_prompt_tokens: int = 0
    kv_used_tokens: int = 0
    kv_capacity_tokens: int = 0


class EndpointInfo(typing.NamedTuple):
    """Configuration of an endpoint.

    :param kind: ``model`` or ``service``
    :param address: ``ip:port``
    :param checks_fencing: whether it rejects stale fencing tokens
    :param role: initial role of a model endpoint
    """

    name: str
    pool: str
    kind: str
    address: str
    failure_domain: str = ''
    checks_fencing: bool = True
    role: str = 'decode'


@dataclasses.dataclass(frozen=True, slots=True)
class Finished:
    """The job ended with a complete answer; the counts are in tokens."""

    prompt_tokens: int = 0
    output_tokens: int = 0
    cached_tokens: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """An attempt ended without a complete answer.

    :param endpoint: name of the endpoint where it failed
    :param stage: ``connect``, ``prefill`` or ``decode``
    :param ran: whether a byte of the request may have reached the endpoint
    :param crashed: whether the endpoint crashed during the attempt
    :param retryable: whether the job may be placed again
    """

    endpoint: str
    stage: str
    ran: bool
    crashed: bool = False
    retryable: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Cancelled:
    """The caller disconnected, or the node dropped the job."""
