"""How callers' requests and the endpoints' answers are written down."""

import abc
import dataclasses
from typing import NamedTuple

from magnoliadyke.core import promptcache
from magnoliadyke.core import workspaces
from magnoliadyke.gateway import http

__all__ = [
    'AnswerFacts',
    'Codec',
    'Malformed',
    'Prefilled',
    'Prompt',
    'Request',
    'RunOptions',
]


class Malformed(NamedTuple):
    """A request that can't be passed on, and why."""

    reason: str


class Prompt(NamedTuple):
    """What a request tells of its prompt.

    :param parts: in order; the last one is the request's own
    :param output_tokens: most tokens of the answer
    """

    parts: tuple[promptcache.PromptPart, ...]
    output_tokens: int


@dataclasses.dataclass(slots=True)
class Request:
    """A caller's request, its own headers stripped of what isn't passed on.

    :param id: names this request; each further try of a caller has its own
    :param wait_s: how long the caller waits, None if it did not say
    :param resume_after: last event that the caller has of a stream
    :param key_digest: of the caller's key, None if it gave none; the key
        itself is not kept
    :ivar workspace: that the request runs for, once it has been admitted
    """

    id: bytes
    method: bytes
    target: bytes
    host: str
    path: str
    headers: http.Headers
    body: bytes
    wait_s: float | None
    prompt: Prompt | None
    resume_after: bytes | None
    key_digest: bytes | None = None
    workspace: workspaces.Workspace | None = None


class RunOptions(NamedTuple):
    """What the system adds to a request that an endpoint is to run.

    :param endpoint: id of the run of the endpoint's process that is meant
    :param left_s: time that is left of the caller's
    :param urgent: to be admitted before others
    :param source: where the prompt has been read: ``address/handle``
    :param fetch_from: address of an engine that keeps more of the prompt
    :param resume_after: last event that the caller has been given
    """

    endpoint: str
    left_s: float
    urgent: bool = False
    source: str | None = None
    fetch_from: str | None = None
    resume_after: bytes | None = None


class AnswerFacts(NamedTuple):
    """What an answer's head says.

    :param request_id: of the request that it answers, None if not told
    :param not_run: the endpoint has not run the request and will not
    :param wrong_endpoint: another process has this address now
    :param sealed: it bears the endpoint's signature
    :param encoded: the body is not the endpoint's own bytes
    :param idle_limit_s: how long the connection may idle, None if not told
    :param leaving: the endpoint will take no new work
    :param backoff_s: how long it wants nothing from this host, 0 if it did not
        say so
    """

    status: int
    request_id: bytes | None
    not_run: bool
    wrong_endpoint: bool
    sealed: bool
    encoded: bool
    idle_limit_s: float | None
    leaving: bool
    backoff_s: float


class Prefilled(NamedTuple):
    """A prompt that has been read and waits to be fetched."""

    handle: str
    tokens: int


class Codec(abc.ABC):
    """Writes and reads the headers of one platform."""

    @abc.abstractmethod
    def decode(self, head: http.Head) -> Request | Malformed:
        """Read a caller's head; the body is added by the reader."""

    @abc.abstractmethod
    def run_headers(
        self, request: Request, options: RunOptions
    ) -> http.Headers:
        """Headers of a request that an endpoint is to run."""

    @abc.abstractmethod
    def prefill_headers(
        self, request: Request, options: RunOptions
    ) -> http.Headers:
        """Headers of a request of which only the prompt is to be read."""

    @abc.abstractmethod
    def facts(self, head: http.Head) -> AnswerFacts:
        """Read an endpoint's head."""

    @abc.abstractmethod
    def answer_headers(self, head: http.Head) -> http.Headers:
        """Headers of an endpoint's answer that the caller gets."""

    @abc.abstractmethod
    def local_response_headers(self, request: Request) -> http.Headers:
        """Headers of an answer that no endpoint gave."""

    @abc.abstractmethod
    def parse_prefilled(self, body: bytes) -> Prefilled | None:
        """Read the answer to a prompt that was read."""

    @abc.abstractmethod
    def drop_target(self, handle: str) -> tuple[bytes, bytes]:
        """Method and target of the call that frees a read prompt."""
