"""Codec of the platform's headers on requests and responses."""

import math
import re
import zlib

from magnoliadyke.core import promptcache
from magnoliadyke.core import workspaces
from magnoliadyke.gateway import codec
from magnoliadyke.gateway import fields
from magnoliadyke.gateway import http
from magnoliadyke import logs

__all__ = ['PlatformCodec']

LOG = logs.get('codec')

REQUEST_ID = b'X-Request-Id'
DEADLINE = b'X-Deadline-Ms'
TOKEN_COUNTS = b'x-token-counts'
PROMPT_PARTS = b'x-prompt-prefix'
LAST_EVENT = b'Last-Event-Id'
EXPECT_ENDPOINT = b'X-Expect-Instance'
STAGE = b'X-Stage'
SOURCE = b'X-Kv-Source'
BACKUP = b'X-Kv-Backup'
FETCH_FROM = b'Kv-Fetch'
PRIORITY = b'X-Request-Priority'
WORKSPACE = b'X-Tenant'
API_KEY = b'api-key'

URGENT = b'1'
PREFILL = b'prefill'

#: Hop-by-hop headers, and others that are not forwarded as they are.
HOP_BY_HOP = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'content-length',
        b'expect',
    )
)
#: Headers that only the system sets.  From a caller they would impersonate
#: it, could take the KV cache of another request, or could change which
#: endpoint runs the request.
SYSTEM_HEADERS = frozenset(
    (
        b'x-deadline-ms',
        b'x-stage',
        b'x-kv-source',
        b'x-kv-hold',
        b'x-kv-backup',
        b'x-pin-ms',
        b'kv-fetch',
        b'x-expect-instance',
        b'x-expect-version',
        b'x-request-priority',
        b'x-tenant',
        b'wait-ms',
        # API keys are not forwarded to endpoints.
        API_KEY,
    )
)
#: Request headers that are forwarded even if the caller's Connection header
#: names them.
UNDROPPABLE_HEADERS = frozenset(
    (
        b'host',
        b'x-request-id',
        b'x-model',
        b'x-token-counts',
        b'x-prompt-prefix',
        b'last-event-id',
        b'resumes',
        b'x-length-hint',
    )
)
#: Headers that a request may have only once, since a second value would
#: make it ambiguous.
SINGLE_HEADERS = (
    b'host',
    b'x-request-id',
    b'x-deadline-ms',
    b'x-model',
    b'x-token-counts',
    b'x-prompt-prefix',
    b'last-event-id',
    b'resumes',
    API_KEY,
)
STATUS_WRONG_ENDPOINT = 421
STATUS_UNAVAILABLE = 503
#: Truncates the id of a prompt part to a non-negative signed 64-bit integer.
PART_ID_MASK = (1 << 63) - 1
#: Longest time for which a caller is taken to wait, in milliseconds; a route
#: ends the wait long before.
MAX_WAIT_MS = 10**12
#: Maximum length of a prompt or an output, in tokens: hosts exchange both as
#: signed 32-bit integers.
MAX_TOKENS = 2**31 - 1
#: Valid handles of KV caches; a handle is sent in a header and in a path.
HANDLE = re.compile('[!-.0-~]{1,200}')
#: A decimal number without a sign.
DECIMAL = re.compile(rb'[0-9]+(\.[0-9]*)?([eE][+-]?[0-9]+)?')


class PlatformCodec(codec.Codec):
    """Encodes and decodes the platform's headers."""

    def decode(self, head: http.Head) -> codec.Request | codec.Malformed:
        """Decode a caller's request head."""
        single_values: dict[bytes, bytes] = {}
        for name, value in head.headers:
            lowered = name.lower()
            if lowered in SINGLE_HEADERS:
                if lowered in single_values:
                    return codec.Malformed(
                        f'header {lowered.decode()}: expected once, got twice'
                    )
                single_values[lowered] = value
        host = single_values.get(b'host')
        request_id = single_values.get(b'x-request-id')
        if not host:
            return codec.Malformed('header host: missing or empty')
        if not request_id:
            return codec.Malformed('header x-request-id: missing or empty')
        if not head.target.startswith(b'/'):
            return codec.Malformed(
                'request target: expected a path that begins with /, '
                f'got {head.target!r:.80}'
            )
        try:
            path = _ascii('request target', head.target.split(b'?', 1)[0])
            name = _ascii('header host', host).rsplit(':', 1)[0].lower()
            wait_s = _wait_s(single_values.get(b'x-deadline-ms'))
            prompt = _prompt(single_values)
        except ValueError as error:
            return codec.Malformed(str(error))
        return codec.Request(
            id=request_id,
            method=head.method,
            target=head.target,
            host=name,
            path=path,
            headers=_forwarded_headers(head.headers),
            body=b'',
            wait_s=wait_s,
            prompt=prompt,
            resume_after=single_values.get(b'last-event-id') or None,
            resumes=single_values.get(b'resumes') or None,
            key_digest=_key_digest(single_values.get(API_KEY)),
        )

    def run_headers(
        self, request: codec.Request, options: codec.RunOptions
    ) -> http.Headers:
        """Return the headers of a request that an endpoint runs."""
        headers = self._headers(request, options)
        if options.kv_source is not None:
            headers.append((SOURCE, options.kv_source.encode()))
        if options.backup_to is not None:
            headers.append((BACKUP, options.backup_to.encode()))
        if options.resume_after is not None:
            headers = [h for h in headers if h[0].lower() != b'last-event-id']
            headers.append((LAST_EVENT, options.resume_after))
        return headers

    def prefill_headers(
        self, request: codec.Request, options: codec.RunOptions
    ) -> http.Headers:
        """Return the headers of a request for prefill only."""
        headers = self._headers(request, options)
        headers.append((STAGE, PREFILL))
        return headers

    def _headers(
        self, request: codec.Request, options: codec.RunOptions
    ) -> http.Headers:
        left_ms = max(1, math.floor(options.left_s * 1000))
        headers = [
            *request.headers,
            (DEADLINE, b'%d' % left_ms),
            (EXPECT_ENDPOINT, options.endpoint.encode()),
        ]
        if request.workspace is not None:
            headers.append((WORKSPACE, request.workspace.name.encode()))
        if options.urgent:
            headers.append((PRIORITY, URGENT))
        if options.fetch_from is not None:
            headers.append((FETCH_FROM, options.fetch_from.encode()))
        return headers

    def relay_headers(self, request: codec.Request) -> http.Headers:
        """Return the headers with which another host serves a request."""
        headers = list(request.headers)
        if request.wait_s is not None:
            headers.append((DEADLINE, b'%d' % round(request.wait_s * 1000)))
        return headers

    def facts(self, head: http.Head) -> codec.ResponseFacts:
        """Decode the head of an endpoint's response."""
        request_id = None
        not_run = sealed = has_content_encoding = leaving = False
        idle_limit_s = None
        backoff_s = 0.0
        limits: list[bytes] = []
        for name, value in head.headers:
            match name.lower():
                case b'x-request-id':
                    request_id = value
                case b'x-not-executed':
                    not_run = True
                case b'x-server-seal':
                    sealed = True
                case b'content-encoding':
                    has_content_encoding = value.lower() != b'identity'
                case b'retry-after' if head.status == STATUS_UNAVAILABLE:
                    backoff_s = _backoff_s(value)
                case b'server-leaving':
                    leaving = value.strip() == b'1'
                case b'server-limit':
                    limits.append(value.strip())
                case b'keep-alive':
                    idle_limit_s = _idle_limit_s(value)
        wrong = head.status == STATUS_WRONG_ENDPOINT
        rate_limit_s, rate_limit_error = _rate_limit_s(limits)
        return codec.ResponseFacts(
            head.status,
            request_id,
            not_run or wrong,
            wrong,
            sealed,
            has_content_encoding,
            idle_limit_s,
            leaving,
            backoff_s,
            rate_limit_s,
            rate_limit_error,
        )

    def answer_headers(self, head: http.Head) -> http.Headers:
        """Return the headers of a response to forward to the caller."""
        named = _named_by_connection(head.headers) - {b'x-server-seal'}
        return [
            (name, value)
            for name, value in head.headers
            if name.lower() not in HOP_BY_HOP and name.lower() not in named
        ]

    def local_response_headers(self, request: codec.Request) -> http.Headers:
        """Return the headers of a response generated by the gateway."""
        return [(REQUEST_ID, request.id)]

    def parse_prefilled(self, body: bytes) -> codec.Prefilled | None:
        """Decode the response to a prefill request, None if malformed."""
        try:
            found = fields.parse_object(body)
            handle = fields.read_string(found, 'kv_handle')
            if not HANDLE.fullmatch(handle):
                raise fields.BadField(
                    f'kv_handle: expected an id, got {handle!r:.80}'
                )
            return codec.Prefilled(
                handle, fields.read_integer(found, 'tokens', 0)
            )
        except fields.BadField as error:
            LOG.throttled_warning(
                'prefilled_ignored', 'prefilled', error=str(error)
            )
            return None

    def drop_target(self, handle: str) -> tuple[bytes, bytes]:
        """Return method and target of the call that frees a KV cache."""
        return b'DELETE', f'/api/kv-handle/{handle}'.encode()


def _key_digest(value: bytes | None) -> bytes | None:
    return workspaces.digest(value) if value else None


def _ascii(name: str, value: bytes) -> str:
    if not value.isascii():
        raise ValueError(f'{name}: expected ASCII, got {value!r:.80}')
    return value.decode('ascii')


def _wait_s(value: bytes | None) -> float | None:
    if value is None:
        return None
    wait_ms = _integer(value, MAX_WAIT_MS)
    if wait_ms is None:
        raise ValueError(
            f'header x-deadline-ms: expected milliseconds, got {value!r:.40}'
        )
    return wait_ms / 1000


def _prompt(single_values: dict[bytes, bytes]) -> codec.Prompt | None:
    value = single_values.get(PROMPT_PARTS)
    if not value:
        return None
    parts = []
    total = 0
    for entry in value.split(b','):
        name, _, length = entry.strip().partition(b':')
        tokens = _tokens(PROMPT_PARTS, length)
        total += tokens
        parts.append(promptcache.PromptPart(_part_id(name), tokens))
    if total > MAX_TOKENS:
        raise ValueError(
            f'header {PROMPT_PARTS.decode()}: expected at most {MAX_TOKENS} '
            f'tokens in all, got {total}'
        )
    output_tokens = 0
    counts = single_values.get(TOKEN_COUNTS)
    if counts:
        output_tokens = _tokens(TOKEN_COUNTS, counts.split(b',')[-1])
    return codec.Prompt(tuple(parts), output_tokens)


def _tokens(header: bytes, value: bytes) -> int:
    tokens = _integer(value.strip(), MAX_TOKENS + 1)
    if tokens is None or tokens > MAX_TOKENS:
        raise ValueError(
            f'header {header.decode()}: expected 0 to {MAX_TOKENS} tokens, '
            f'got {value!r:.40}'
        )
    return tokens


def _integer(value: bytes, maximum: int) -> int | None:
    """Return a number of decimal digits, at most the maximum; None if not one.

    Numbers of thousands of digits can't be converted.
    """
    if not value.isdigit():
        return None
    digits = value.lstrip(b'0')
    if len(digits) > len(str(maximum)):
        return maximum
    return min(maximum, int(digits or b'0'))


def _part_id(name: bytes) -> int:
    """Parse a hexadecimal part id; hash a name that is not hexadecimal."""
    try:
        return int(name, 16) & PART_ID_MASK
    except ValueError:
        return zlib.crc32(name)


def _forwarded_headers(headers: http.Headers) -> http.Headers:
    named = _named_by_connection(headers) - UNDROPPABLE_HEADERS
    return [
        (name, value)
        for name, value in headers
        if not _is_stripped(name.lower(), named)
    ]


def _is_stripped(lowered: bytes, named: frozenset[bytes]) -> bool:
    return (
        lowered in HOP_BY_HOP or lowered in SYSTEM_HEADERS or lowered in named
    )


def _named_by_connection(headers: http.Headers) -> frozenset[bytes]:
    named = set()
    for name, value in headers:
        if name.lower() == b'connection':
            named.update(v.strip().lower() for v in value.split(b','))
    return frozenset(named)


def _backoff_s(value: bytes) -> float:
    try:
        backoff_s = float(value)
    except ValueError:
        # HTTP also allows a date here, which the platform never sends.
        return 0.0
    return backoff_s if 0 < backoff_s < math.inf else 0.0


def _rate_limit_s(values: list[bytes]) -> tuple[float | None, str]:
    """Decode an endpoint's rate limit, given as requests per second.

    Of several values the lowest one applies.

    :returns: the limit, None without one that can be decoded, and why a value
        can't be decoded, empty if all can
    """
    found = []
    errors = []
    for value in values:
        rate_s = math.nan
        if DECIMAL.fullmatch(value):
            rate_s = float(value)
        if 0 <= rate_s < math.inf:
            found.append(rate_s)
        else:
            errors.append(
                'header server-limit: expected requests per second, '
                f'got {value!r:.40}'
            )
    if len(set(found)) > 1:
        errors.append(
            f'header server-limit: expected once, got {sorted(found)}'
        )
    return min(found, default=None), '; '.join(errors)


def _idle_limit_s(value: bytes) -> float | None:
    for entry in value.split(b','):
        key, _, seconds = entry.strip().partition(b'=')
        if key.strip().lower() == b'timeout' and seconds.strip().isdigit():
            return float(seconds)
    return None
