"""What the decisions know of requests and endpoints."""

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
    """A request as the scheduler sees it.

    :param id: unique within the node
    :param pool: name of the pool that serves it
    :param kind: ``model`` or ``service``
    :param prompt_tokens: estimate of the prompt's length
    :param output_tokens: upper bound or estimate of the answer's length
    :param prefix_blocks: chained ids of the prompt's cache blocks
    :param priority: 0 (urgent) to 9
    :param repeatable: whether it may run more than once
    :param first_token_s: objective for the first token, in seconds
    :param per_token_s: objective between tokens, in seconds
    :param fingerprint: customer and content digest, equal in a resend
    :param arrived_s: monotonic seconds
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
    """An engine's own word about its load, as old as ``at_s`` says.

    :param at_s: when it was true, in the reader's monotonic seconds
    :param role: ``prefill`` or ``decode``
    :param state: ``in``, ``leaving`` or ``changing``
    :param generation: generation of the last command it carried out
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
    """An endpoint as the settings name it.

    :param kind: ``model`` or ``service``
    :param address: ``ip:port``
    :param checks_fencing: whether it refuses stale fencing numbers
    :param role: its role at first, for model endpoints
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
    """The job ended with its whole answer; figures in tokens."""

    prompt_tokens: int = 0
    output_tokens: int = 0
    cached_tokens: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """An attempt ended without the whole answer.

    :param endpoint: where it failed
    :param stage: ``connect``, ``prefill`` or ``decode``
    :param ran: whether a byte of it may have reached the endpoint
    :param crashed: whether the endpoint died under it
    :param retryable: whether the job may be placed again
    """

    endpoint: str
    stage: str
    ran: bool
    crashed: bool = False
    retryable: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Cancelled:
    """The caller went away or the node gave the job up."""
