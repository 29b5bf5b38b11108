"""Interface to a platform's headers on requests and responses."""

import abc
import dataclasses
from typing import NamedTuple

from magnoliadyke.core import promptcache
from magnoliadyke.core import workspaces
from magnoliadyke.gateway import http

__all__ = [
    'ResponseFacts',
    'Codec',
    'Malformed',
    'Prefilled',
    'Prompt',
    'Request',
    'RunOptions',
]


class Malformed(NamedTuple):
    """A request that can't be forwarded, with the reason."""

    reason: str


class Prompt(NamedTuple):
    """The headers of a request that describe its prompt.

    :param parts: parts of the prompt in order; the last one is specific to
        the request
    :param output_tokens: maximum length of the output, in tokens
    """

    parts: tuple[promptcache.PromptPart, ...]
    output_tokens: int


@dataclasses.dataclass(slots=True)
class Request:
    """A caller's request, with only those headers that are forwarded.

    :param id: request id; a caller's retry has another id
    :param host: host name of the Host header, in lower case
    :param wait_s: how long the caller waits, in seconds; None if not given
    :param prompt: description of the prompt, None if not given
    :param resume_after: id of the last stream event that the caller received
    :param resumes: id of the request that brought the first event of a stream
        that this one resumes, None if not given
    :param key_digest: digest of the caller's API key, None without one; the
        key itself is not stored
    :ivar workspace: workspace that the request runs for, set at admission
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
    resumes: bytes | None = None
    key_digest: bytes | None = None
    workspace: workspaces.Workspace | None = None


class RunOptions(NamedTuple):
    """Fields that the gateway adds to a request to an endpoint.

    :param endpoint: id of the endpoint process that must run the request
    :param left_s: time until the caller's deadline, in seconds
    :param urgent: whether the endpoint admits the request before others
    :param kv_source: where the KV cache of the prefilled prompt is held, as
        ``ADDRESS/HANDLE``
    :param fetch_from: address of an engine with more of the prompt in its KV
        cache
    :param resume_after: id of the last stream event sent to the caller
    :param backup_to: address of the engine that keeps a backup copy of the
        run's KV cache, None without one
    """

    endpoint: str
    left_s: float
    urgent: bool = False
    kv_source: str | None = None
    fetch_from: str | None = None
    resume_after: bytes | None = None
    backup_to: str | None = None


class ResponseFacts(NamedTuple):
    """The fields of a response's head that the gateway uses.

    :param request_id: id of the request that the response belongs to, None if
        not given
    :param not_run: whether the endpoint did not run the request and will not
    :param wrong_endpoint: whether another process now has this address
    :param sealed: whether the response has the endpoint's signature header
    :param has_content_encoding: whether the body has a Content-Encoding, so
        that it is not the bytes that the endpoint generated
    :param idle_limit_s: idle time after which the endpoint closes the
        connection, in seconds; None if not given
    :param leaving: whether the endpoint is draining and accepts no new
        requests
    :param backoff_s: how long this host must send it no requests, in seconds;
        0 if the endpoint requested no backoff
    :param rate_limit_s: requests per second that the endpoint accepts from
        all hosts together; None if it named no limit that can be decoded
    :param rate_limit_error: why the limit that it named can't be decoded,
        empty if it can
    """

    status: int
    request_id: bytes | None
    not_run: bool
    wrong_endpoint: bool
    sealed: bool
    has_content_encoding: bool
    idle_limit_s: float | None
    leaving: bool
    backoff_s: float
    rate_limit_s: float | None = None
    rate_limit_error: str = ''


class Prefilled(NamedTuple):
    """A prefilled prompt whose KV cache waits to be fetched.

    :param handle: id of the KV cache at the prefill engine
    :param tokens: number of prefilled tokens
    """

    handle: str
    tokens: int


class Codec(abc.ABC):
    """Encodes and decodes the headers of a platform."""

    @abc.abstractmethod
    def decode(self, head: http.Head) -> Request | Malformed:
        """Decode a caller's request head; the body is set later."""

    @abc.abstractmethod
    def run_headers(
        self, request: Request, options: RunOptions
    ) -> http.Headers:
        """Return the headers of a request that an endpoint runs."""

    @abc.abstractmethod
    def prefill_headers(
        self, request: Request, options: RunOptions
    ) -> http.Headers:
        """Return the headers of a request for prefill only."""

    @abc.abstractmethod
    def relay_headers(self, request: Request) -> http.Headers:
        """Return the headers with which another host serves a request.

        They hold the caller's headers without those of the system and its
        key, and the time that the caller waits as it sent it.
        """

    @abc.abstractmethod
    def facts(self, head: http.Head) -> ResponseFacts:
        """Decode the head of an endpoint's response."""

    @abc.abstractmethod
    def answer_headers(self, head: http.Head) -> http.Headers:
        """Return the headers of a response to forward to the caller."""

    @abc.abstractmethod
    def local_response_headers(self, request: Request) -> http.Headers:
        """Return the headers of a response generated by the gateway."""

    @abc.abstractmethod
    def parse_prefilled(self, body: bytes) -> Prefilled | None:
        """Decode the response to a prefill request, None if malformed."""

    @abc.abstractmethod
    def drop_target(self, handle: str) -> tuple[bytes, bytes]:
        """Return method and target of the call that frees a KV cache."""
