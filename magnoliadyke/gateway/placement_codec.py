"""Encodes datagrams between hosts as compact thrift."""

import enum
from typing import NamedTuple

from thrift.protocol import TCompactProtocol
from thrift.protocol import TProtocol
from thrift.Thrift import TException
from thrift import TSerialization

from magnoliadyke.core import position
from magnoliadyke.core import prefillcost
from magnoliadyke.core import promptcache
from magnoliadyke.core import promptjobs
from magnoliadyke import errors
from magnoliadyke.gateway import crash_codec
from magnoliadyke.gateway import duty_codec
from magnoliadyke.gateway import fields
from magnoliadyke.gateway import limit_codec
from magnoliadyke.gateway import observation_codec
from magnoliadyke.gateway import pace_codec
from magnoliadyke.gateway import path_codec
from magnoliadyke.gateway import store
from magnoliadyke.gateway import stream_codec
from magnoliadyke.wire.placement import constants
from magnoliadyke.wire.placement import ttypes

__all__ = [
    'PlacementRequest',
    'Event',
    'LeaderAnnouncement',
    'CostUpdate',
    'CacheContents',
    'KeyUpdates',
    'CacheSnapshot',
    'Report',
    'EngineStalled',
    'PlacementDecision',
    'PlacementQueued',
    'decode',
    'encode',
]

#: Maximum length of a string or binary field: the size of a datagram.
MAX_STRING_BYTES = 1400
MAX_ITEMS = 256
#: Longest name of a workspace, in characters.
MAX_WORKSPACE_CHARACTERS = 200
#: Largest priority: that of a 32-bit field.
MAX_PRIORITY = 2**31 - 1
MICROSECONDS_PER_S = 1_000_000
NANOSECONDS_PER_S = 1_000_000_000
PERMILLE = 1000
#: Longest duration that fits a 32-bit field, in microseconds.
MAX_US = 2**31 - 1

PROTOCOL_FACTORY = TCompactProtocol.TCompactProtocolAcceleratedFactory(
    string_length_limit=MAX_STRING_BYTES,
    container_length_limit=MAX_ITEMS,
    fallback=True,
)


class Event(enum.IntEnum):
    """An event in the life of a job that hosts report to the leader.

    READ is the end of its prefill, LAPSED the rejection of a prefilled job by
    its decode engine, MOVED the transfer of its KV cache.
    """

    READ = ttypes.Event.READ
    ENDED = ttypes.Event.ENDED
    FAILED = ttypes.Event.FAILED
    WITHDRAWN = ttypes.Event.WITHDRAWN
    LAPSED = ttypes.Event.LAPSED
    MOVED = ttypes.Event.MOVED


class PlacementRequest(NamedTuple):
    """Asks the leader to place a job.

    :param job: its moments are relative to when the request was sent
    """

    service: str
    job: promptjobs.Job


class PlacementQueued(NamedTuple):
    """Acknowledges a request whose job is queued at the leader.

    :param job: id of the job
    """

    job: int


class PlacementDecision(NamedTuple):
    """The leader's decision on a job."""

    decision: promptjobs.Decision


class Report(NamedTuple):
    """Reports an event of a placed job to the leader.

    :param job: id of the job
    :param endpoint: engine of the event, empty where it concerns none
    :param took_s: duration of a KV cache transfer, in seconds
    :param decode_engine: the engine that rejected a prefilled job
    """

    service: str
    job: int
    event: Event
    endpoint: str
    took_s: float = 0.0
    decode_engine: str = ''


class CacheContents(NamedTuple):
    """Parts of a prompt that an engine is estimated to cache.

    :param job: id of the job, None if no engine works on it any longer
    :param prefill_tokens: tokens that the engine has to prefill, None if it
        has no prefill of the job to do
    :param answers: whether the job holds a decode slot of the engine
    """

    engine: str
    parts: tuple[promptcache.PromptPart, ...]
    job: int | None = None
    prefill_tokens: int | None = None
    answers: bool = False


class CacheSnapshot(NamedTuple):
    """Sends a new leader the recent cache contents of a service's engines."""

    service: str
    cache_contents: tuple[CacheContents, ...]


class LeaderAnnouncement(NamedTuple):
    """Announces the placement leader to the other hosts.

    :param incarnation: incarnation of the leader's process
    :param position: position of the leader's key in the store; a later leader
        has a larger one
    :param yields: whether the leader cannot reach the store, so that another
        host may take over
    """

    host: str
    address: str
    incarnation: int
    position: position.Position
    yields: bool = False


class EngineStalled(NamedTuple):
    """Announces that an engine makes no progress with its prefills."""

    endpoint: str


class CostUpdate(NamedTuple):
    """Sends learned costs to the hosts, one of which may lead next.

    :param output_s: average decode time of an output token, in seconds; None
        if it is not known
    :param requests_s: requests per second that the leader is sent to place,
        of all services; None if it does not know them yet
    """

    service: str
    costs: prefillcost.CostCoefficients
    output_s: float | None = None
    requests_s: float | None = None


class KeyUpdates(NamedTuple):
    """Changes of the store's keys, for hosts that do not watch the store.

    :param host: the host that sends the changes
    :param base: position after which the changes begin
    :param position: position of the last change, of the same store epoch
    :param complete: whether all changes fit into the message
    :param regained_s: time since the store was reachable again from the
        sender, in seconds; None if there was no outage
    """

    host: str
    base: position.Position
    position: position.Position
    changes: tuple[store.Item | store.Removed, ...] = ()
    complete: bool = True
    regained_s: float | None = None


Message = (
    PlacementRequest
    | PlacementQueued
    | PlacementDecision
    | Report
    | CacheSnapshot
    | LeaderAnnouncement
    | EngineStalled
    | CostUpdate
    | KeyUpdates
    | crash_codec.Message
    | duty_codec.Message
    | limit_codec.Message
    | pace_codec.Message
    | observation_codec.Message
    | path_codec.Message
    | stream_codec.Message
)


def encode(message: Message) -> bytes:
    """Encode a message as a datagram."""
    datagram = ttypes.Datagram(version=constants.VERSION)
    match message:
        case PlacementRequest():
            datagram.ask = _encode_request(message)
        case PlacementQueued(job):
            datagram.decision = ttypes.Decision(job=job)
        case PlacementDecision(decision):
            datagram.decision = _encode_decision(decision)
        case Report(service, job, event, endpoint, took_s, decode_engine):
            datagram.report = ttypes.Report(
                job,
                service,
                event,
                endpoint,
                _to_microseconds(took_s),
                decode_engine or None,
            )
        case CacheSnapshot(service, cache_contents):
            datagram.recall = ttypes.Recall(
                service,
                [_encode_contents(each) for each in cache_contents],
            )
        case LeaderAnnouncement(host, address, incarnation, written, yields):
            datagram.leader = ttypes.Leader(
                host,
                address,
                incarnation,
                written.revision,
                yields or None,
                written.era,
            )
        case EngineStalled(endpoint):
            datagram.silent = ttypes.Silent(endpoint)
        case CostUpdate(service, costs, output_s, requests_s):
            datagram.learned = ttypes.Learned(
                service,
                _to_microseconds(costs.latency_s),
                _to_microseconds(costs.thousand_tokens_s),
                _to_microseconds(costs.million_pairs_s),
                round(costs.decode_stage_factor * PERMILLE),
                _to_nanoseconds(output_s),
                _to_whole(requests_s),
            )
        case KeyUpdates():
            datagram.updates = _encode_updates(message)
        case (
            limit_codec.LimitUpdate()
            | limit_codec.Leaving()
            | limit_codec.PermitRequest()
            | limit_codec.PermitReply()
        ):
            limit_codec.encode(message, datagram)
        case pace_codec.PaceReport() | pace_codec.LearnedPaces():
            pace_codec.encode(message, datagram)
        case observation_codec.ObservationReport():
            observation_codec.encode(message, datagram)
        case path_codec.PathQuery() | path_codec.PathReply():
            path_codec.encode(message, datagram)
        case crash_codec.CrashReport() | crash_codec.CauseStates():
            crash_codec.encode(message, datagram)
        case (
            stream_codec.StreamRecords()
            | stream_codec.StreamQuery()
            | stream_codec.StreamReply()
        ):
            stream_codec.encode(message, datagram)
        case _:
            duty_codec.encode(message, datagram)
    return TSerialization.serialize(datagram, PROTOCOL_FACTORY)


def decode(data: bytes) -> Message:
    """Decode a datagram.

    :raises errors.ProtocolError: the datagram is malformed or holds no message
        of this version
    """
    datagram = ttypes.Datagram()
    try:
        TSerialization.deserialize(datagram, data, PROTOCOL_FACTORY)
        if datagram.ask is not None:
            return _decode_request(datagram.ask)
        if datagram.decision is not None:
            return _decode_decision(datagram.decision)
        if datagram.report is not None:
            report = datagram.report
            return Report(
                report.pool,
                report.job,
                Event(report.event),
                report.endpoint,
                (report.took_us or 0) / MICROSECONDS_PER_S,
                report.runner or '',
            )
        if datagram.recall is not None:
            recall = datagram.recall
            return CacheSnapshot(
                recall.pool,
                tuple(_decode_contents(each) for each in recall.memories),
            )
        if datagram.leader is not None:
            leader = datagram.leader
            return LeaderAnnouncement(
                leader.host,
                _ip(leader.address),
                leader.incarnation,
                position.Position(_era(leader.era), leader.revision),
                bool(leader.yields),
            )
        if datagram.silent is not None:
            return EngineStalled(datagram.silent.endpoint)
        if datagram.learned is not None:
            return _decode_cost_update(datagram.learned)
        if datagram.updates is not None:
            return _decode_updates(datagram.updates)
        found = (
            duty_codec.decode(datagram)
            or limit_codec.decode(datagram)
            or path_codec.decode(datagram)
            or pace_codec.decode(datagram)
            or stream_codec.decode(datagram)
            or crash_codec.decode(datagram)
            or observation_codec.decode(datagram)
        )
        if found is not None:
            return found
    except (
        AttributeError,
        EOFError,
        OverflowError,
        TException,
        TProtocol.TProtocolException,
        TypeError,
        ValueError,
    ) as error:
        raise errors.ProtocolError(
            f'malformed placement datagram: {error}'
        ) from error
    raise errors.ProtocolError('placement datagram without a known message')


def _encode_request(ask: PlacementRequest) -> ttypes.Ask:
    job = ask.job
    return ttypes.Ask(
        job=job.id,
        pool=ask.service,
        parts=_encode_parts(job.parts),
        output_tokens=job.output_tokens,
        objective_us=_to_microseconds(job.objective_s),
        deadline_us=_to_microseconds(job.deadline_s),
        returning=job.is_retry,
        resumed=job.resumed,
        failure_domain=job.failure_domain,
        avoid=list(job.avoid),
        version=job.version,
        pause_us=_to_microseconds(job.pause_s) or None,
        backed_up=job.backed_up or None,
        priority=min(job.priority, MAX_PRIORITY),
        workspace=job.workspace[:MAX_WORKSPACE_CHARACTERS],
    )


def _decode_request(ask: ttypes.Ask) -> PlacementRequest:
    job = promptjobs.Job(
        id=ask.job,
        parts=_decode_parts(ask.parts),
        output_tokens=ask.output_tokens,
        objective_s=ask.objective_us / MICROSECONDS_PER_S,
        deadline_s=ask.deadline_us / MICROSECONDS_PER_S,
        failure_domain=ask.failure_domain,
        is_retry=ask.returning,
        resumed=ask.resumed,
        avoid=tuple(ask.avoid),
        version=ask.version,
        pause_s=max(0, ask.pause_us or 0) / MICROSECONDS_PER_S,
        backed_up=bool(ask.backed_up),
        priority=max(0, ask.priority or 0),
        workspace=_workspace(ask.workspace),
    )
    return PlacementRequest(ask.pool, job)


def _workspace(name: str | None) -> str:
    if name is not None and len(name) > MAX_WORKSPACE_CHARACTERS:
        raise errors.ProtocolError(
            f'workspace: expected at most {MAX_WORKSPACE_CHARACTERS} '
            f'characters, got {len(name)}'
        )
    return name or ''


def _encode_decision(decision: promptjobs.Decision) -> ttypes.Decision:
    match decision:
        case promptjobs.Placed():
            return ttypes.Decision(
                job=decision.job,
                prefill=decision.prefill_engine,
                run=decision.decode_engine,
                fetch_from=decision.fetch_from,
                read_tokens=decision.prefill_tokens,
                expected_us=_to_microseconds(decision.expected_s),
                tell_end=decision.report_end,
                backup=decision.backup,
            )
        case promptjobs.Refused(job, retry_after_s, reason):
            return ttypes.Decision(
                job=job,
                retry_after_us=_to_microseconds(retry_after_s),
                reason=reason,
            )


def _decode_decision(
    decision: ttypes.Decision,
) -> PlacementDecision | PlacementQueued:
    if decision.run is not None:
        placed = promptjobs.Placed(
            decision.job,
            decision.prefill,
            decision.run,
            decision.fetch_from,
            decision.read_tokens or 0,
            (decision.expected_us or 0) / MICROSECONDS_PER_S,
            bool(decision.tell_end),
            decision.backup,
        )
        return PlacementDecision(placed)
    if decision.retry_after_us is not None:
        refused = promptjobs.Refused(
            decision.job,
            decision.retry_after_us / MICROSECONDS_PER_S,
            decision.reason or '',
        )
        return PlacementDecision(refused)
    return PlacementQueued(decision.job)


def _to_whole(number: float | None) -> int | None:
    return None if number is None else round(number)


def _decode_cost_update(learned: ttypes.Learned) -> CostUpdate:
    return CostUpdate(
        learned.pool,
        prefillcost.CostCoefficients(
            learned.latency_us / MICROSECONDS_PER_S,
            learned.thousand_tokens_us / MICROSECONDS_PER_S,
            learned.million_pairs_us / MICROSECONDS_PER_S,
            learned.answering_permille / PERMILLE,
        ),
        _positive_s(learned.output_ns),
        learned.requests_s,
    )


def _encode_updates(updates: KeyUpdates) -> ttypes.KeyUpdates:
    regained_ms = None
    if updates.regained_s is not None:
        regained_ms = round(updates.regained_s * 1000)
    return ttypes.KeyUpdates(
        updates.host,
        updates.base.revision,
        updates.position.revision,
        _encode_changes(updates),
        regained_ms,
        updates.position.era,
    )


def _ip(address: str) -> str:
    if not fields.is_ip(address):
        raise errors.ProtocolError(
            f'leader: expected an IP address, got {address!r:.80}'
        )
    return address


def _era(era: int | None) -> int:
    if era is None:
        raise errors.ProtocolError('store position without its field era')
    return era


def _encode_changes(updates: KeyUpdates) -> list[ttypes.KeyChange]:
    if not updates.complete:
        # A change without its value marks the update as incomplete: the
        # receiver has to read the store.
        return [ttypes.KeyChange('', updates.position.revision)]
    return [_encode_change(each) for each in updates.changes]


def _encode_change(change: store.Item | store.Removed) -> ttypes.KeyChange:
    match change:
        case store.Item(key, value, written):
            return ttypes.KeyChange(key, written.revision, value)
        case store.Removed(key, removed):
            return ttypes.KeyChange(key, removed.revision, removed=True)


def _decode_updates(updates: ttypes.KeyUpdates) -> KeyUpdates:
    era = _era(updates.era)
    changes: list[store.Item | store.Removed] = []
    complete = True
    for each in updates.changes:
        changed = position.Position(era, each.revision)
        if each.removed:
            changes.append(store.Removed(each.key, changed))
        elif each.value is None:
            complete = False
        else:
            changes.append(store.Item(each.key, each.value, changed))
    regained_s = None
    if updates.regained_ms is not None:
        regained_s = updates.regained_ms / 1000
    return KeyUpdates(
        updates.host,
        position.Position(era, updates.base),
        position.Position(era, updates.revision),
        tuple(changes),
        complete,
        regained_s,
    )


def _encode_contents(contents: CacheContents) -> ttypes.Memory:
    return ttypes.Memory(
        contents.engine,
        _encode_parts(contents.parts),
        contents.job,
        contents.prefill_tokens,
        contents.answers or None,
    )


def _decode_contents(contents: ttypes.Memory) -> CacheContents:
    return CacheContents(
        contents.engine,
        _decode_parts(contents.parts),
        contents.job,
        contents.read_tokens,
        bool(contents.answers),
    )


def _encode_parts(
    parts: tuple[promptcache.PromptPart, ...],
) -> list[ttypes.PromptPart]:
    return [ttypes.PromptPart(part.id, part.tokens) for part in parts]


def _decode_parts(
    parts: list[ttypes.PromptPart],
) -> tuple[promptcache.PromptPart, ...]:
    return tuple(
        promptcache.PromptPart(part.id, part.tokens) for part in parts
    )


def _to_nanoseconds(seconds: float | None) -> int | None:
    if seconds is None:
        return None
    return min(MAX_US, round(seconds * NANOSECONDS_PER_S))


def _positive_s(nanoseconds: int | None) -> float | None:
    if nanoseconds is None or nanoseconds <= 0:
        return None
    return nanoseconds / NANOSECONDS_PER_S


def _to_microseconds(seconds: float) -> int:
    return max(-MAX_US, min(MAX_US, round(seconds * MICROSECONDS_PER_S)))
