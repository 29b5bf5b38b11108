"""Request traces: CSV files and generators of shifting token mixes."""

import csv
import math
import random
from typing import NamedTuple

from magnoliadyke import errors
from magnoliadyke.lab import enginemodel

__all__ = [
    'COLUMNS',
    'DEPLOYMENTS',
    'Deployment',
    'JobKind',
    'Request',
    'SHAPES',
    'Shape',
    'TraceError',
    'demand_s',
    'generate',
    'read',
    'scale',
    'write',
]

SPEC = enginemodel.EngineSpec()
FULL_BATCH_STEP_S = (
    SPEC.decode_base_s + SPEC.decode_s_per_stream * SPEC.max_batch
)
#: Engine-seconds per token on an engine in the matching role; decode runs with
#: a full batch.
PREFILL_TOKEN_S = SPEC.prefill_s_per_token
DECODE_TOKEN_S = FULL_BATCH_STEP_S / SPEC.max_batch

DEFAULT_DURATION_S = 960.0
DEFAULT_PERIOD_S = 240.0
DEFAULT_AMPLITUDE = 0.4
DEFAULT_LOAD = 0.85
BIN_S = 0.25
SLOW_DAY_LOAD_SWING = 0.15
FLOOD_START_SHARE = 0.4
FLOOD_LENGTH_S = 120.0
FLOOD_LOAD = 1.5
FLASH_EVERY_S = 120.0
FLASH_LENGTH_S = 5.0
FLASH_LOAD = 3.0
BURST_START_S = 120.0
BURST_LENGTH_S = 60.0
BURST_LOAD = 2.5
LENGTH_SPREAD = 0.35
REPEATED_FILE_SHARE = 0.15
FILE_COUNT = 200


class TraceError(errors.MagnoliadykeError):
    """Raised for a trace or fault file with invalid lines.

    :param path: path of the file, for the message
    :param problems: a description and a remedy for each invalid line
    """

    def __init__(self, path, problems):
        self.problems = tuple(problems)
        lines = '\n'.join(f'  {problem}' for problem in problems)
        super().__init__(
            f'{path}: {len(self.problems)} problem(s)\n{lines}',
            'correct these lines',
        )


class Request(NamedTuple):
    """One request, a row of a trace.

    :param at_s: arrival time, in seconds from the start of the trace
    :param prefix_id: name of the prompt prefix that the request shares with
        others; '' if it shares none
    :param prefix_tokens: length of that prefix, at most `prompt_tokens`
    :param first_token_s: objective for the time to the first token
    :param per_token_s: objective for the mean time per later token
    :param repeatable: whether the request may be executed more than once
    """

    at_s: float
    customer: str
    model: str
    prompt_tokens: int
    output_tokens: int
    prefix_id: str
    prefix_tokens: int
    first_token_s: float
    per_token_s: float
    repeatable: bool


COLUMNS = Request._fields


class JobKind(NamedTuple):
    """A kind of request, with its mean sizes.

    :param role: role in which engines spend most of their time on it, or ''
        for short exchanges, whose share of the demand is constant
    :param prompt_tokens: mean length of the prompt
    :param output_tokens: mean length of the answer
    :param first_token_s: objective for the time to the first token
    :param share: share of the mean demand, for short exchanges only
    """

    name: str
    customer: str
    role: str
    prompt_tokens: int
    output_tokens: int
    first_token_s: float
    share: float = 0.0

    def cost_s(self):
        """Return engine-seconds of a request of mean size, both phases."""
        return request_demand_s(self.prompt_tokens, self.output_tokens)


class Deployment(NamedTuple):
    """The parts of a deployment that the experiments use.

    :param pool: name of its pool of engines
    :param model: name of the model that all engines run
    :param engines: number of engines
    :param weights: weight of each customer, the large customer first
    :param queue_wait_s: longest time in the queue, by customer
    :param kinds: the :class:`JobKind` of its requests
    :param price_tokens: number of tokens deducted for each role change
    :param dwell_s: shortest time between two role changes of an engine
    """

    name: str
    pool: str
    model: str
    engines: int
    failure_domains: tuple
    weights: dict
    queue_wait_s: dict
    kinds: tuple
    price_tokens: float
    dwell_s: float


DEPLOYMENTS = {
    'dala': Deployment(
        name='dala',
        pool='lease-model',
        model='lease-model',
        engines=5,
        failure_domains=(
            'alm-medeu',
            'alm-bostandyk',
            'alm-auezov',
            'alm-turksib',
        ),
        weights={'lease': 8, 'portal': 2},
        queue_wait_s={'lease': 20, 'portal': 5},
        kinds=(
            JobKind('reading', 'lease', 'prefill', 4000, 80, 2.0),
            JobKind('drafting', 'lease', 'decode', 400, 600, 2.0),
            JobKind('technician', 'lease', '', 200, 80, 0.8, 0.05),
            JobKind('portal', 'portal', '', 150, 60, 1.0, 0.05),
        ),
        price_tokens=500.0,
        dwell_s=10.0,
    ),
    'zarqa': Deployment(
        name='zarqa',
        pool='order-model',
        model='order-model',
        engines=6,
        failure_domains=('sahab-hall', 'marka-hall', 'qastal-hall'),
        weights={'orders': 7, 'floor': 3},
        queue_wait_s={'orders': 20, 'floor': 5},
        kinds=(
            JobKind('reading', 'orders', 'prefill', 3000, 80, 2.0),
            JobKind('drafting', 'orders', 'decode', 400, 500, 2.0),
            JobKind('classifying', 'orders', '', 600, 30, 2.0, 0.05),
            JobKind('floor', 'floor', '', 250, 80, 1.0, 0.08),
        ),
        price_tokens=20000.0,
        dwell_s=60.0,
    ),
}


class Shape(NamedTuple):
    """Parameters of a generated trace.

    :param name: a key of `SHAPES`
    :param load: mean demand as a share of the pool's capacity
    :param period_s: period of a swing or step
    :param amplitude: largest deviation of the prefill share from one half
    :param duration_s: length of the trace
    """

    name: str
    load: float = DEFAULT_LOAD
    period_s: float = DEFAULT_PERIOD_S
    amplitude: float = DEFAULT_AMPLITUDE
    duration_s: float = DEFAULT_DURATION_S


def request_demand_s(prompt_tokens, output_tokens):
    """Return engine-seconds of a request, each phase in the matching role."""
    return prompt_tokens * PREFILL_TOKEN_S + output_tokens * DECODE_TOKEN_S


def demand_s(requests):
    """Return the engine-seconds of all requests of a trace."""
    return sum(
        request_demand_s(r.prompt_tokens, r.output_tokens) for r in requests
    )


def scale(requests, load, engines):
    """Scale the arrival times so that the mean demand is `load`.

    :param load: demand as a share of the pool's engine-seconds
    :param engines: number of engines in the pool
    :returns: list of :class:`Request`
    """
    if not requests:
        return requests
    length_s = max(requests[-1].at_s, BIN_S)
    factor = demand_s(requests) / (load * engines * length_s)
    return [
        request._replace(at_s=request.at_s * factor) for request in requests
    ]


# The shapes over time.  Each function returns the prefill share, from 0 to 1,
# of the demand that is not of short exchanges; the factor on the arrival rates
# of the large customer; and the demand added for each kind of request of the
# other customers, as a share of the pool's capacity.


def _steady(shape, at_s):
    return 0.5, 1.0, 0.0


def _swing(shape, at_s):
    angle = 2 * math.pi * at_s / shape.period_s
    return 0.5 + shape.amplitude * math.sin(angle), 1.0, 0.0


def _step(shape, at_s):
    up = (at_s % shape.period_s) < shape.period_s / 2
    return 0.5 + (shape.amplitude if up else -shape.amplitude), 1.0, 0.0


def _slow_day(shape, at_s):
    angle = 2 * math.pi * at_s / shape.duration_s
    load = 1.0 - SLOW_DAY_LOAD_SWING * math.cos(2 * angle)
    return 0.5 + shape.amplitude * math.sin(angle), load, 0.0


def _in_flood(shape, at_s):
    start_s = FLOOD_START_SHARE * shape.duration_s
    return start_s <= at_s < start_s + FLOOD_LENGTH_S


def _flood_large(shape, at_s):
    return 0.5, FLOOD_LOAD / shape.load if _in_flood(shape, at_s) else 1.0, 0.0


def _flood_small(shape, at_s):
    return 0.5, 1.0, FLOOD_LOAD if _in_flood(shape, at_s) else 0.0


def _flash(shape, at_s):
    flash = FLASH_EVERY_S / 2 <= at_s % FLASH_EVERY_S
    flash = flash and at_s % FLASH_EVERY_S < FLASH_EVERY_S / 2 + FLASH_LENGTH_S
    return (0.95, FLASH_LOAD, 0.0) if flash else (0.5, 1.0, 0.0)


def _burst(shape, at_s):
    burst = BURST_START_S <= at_s < BURST_START_S + BURST_LENGTH_S
    return 0.5, BURST_LOAD / shape.load if burst else 1.0, 0.0


SHAPES = {
    'steady': _steady,
    'swing': _swing,
    'step': _step,
    'slow-day': _slow_day,
    'flood-large': _flood_large,
    'flood-small': _flood_small,
    'flash': _flash,
    'burst-then-quiet': _burst,
}


def generate(deployment, shape, seed):
    """Generate Poisson arrivals whose rates follow the shape.

    :param deployment: :class:`Deployment`
    :param shape: :class:`Shape`
    :param seed: seed of the random generator; it determines the trace
    :returns: list of :class:`Request` by arrival time
    """
    requests = []
    for number, kind in enumerate(deployment.kinds):
        rng = random.Random(f'{deployment.name}/{seed}/{number}')
        requests.extend(_arrivals(deployment, shape, kind, rng))
    requests.sort(key=lambda request: request.at_s)
    return requests


def _arrivals(deployment, shape, kind, rng):
    until_next = rng.expovariate(1.0)
    for number in range(int(shape.duration_s / BIN_S)):
        at_s = number * BIN_S
        until_next -= _rate(deployment, shape, kind, at_s) * BIN_S
        while until_next <= 0:
            yield _draw_request(
                deployment, kind, at_s + rng.random() * BIN_S, rng
            )
            until_next += rng.expovariate(1.0)


def _rate(deployment, shape, kind, at_s):
    """Return the arrivals per second of one kind of request."""
    prefill_share, large, small = SHAPES[shape.name](shape, at_s)
    short = sum(each.share for each in deployment.kinds)
    if kind.role:
        share = prefill_share if kind.role == 'prefill' else 1 - prefill_share
        share *= 1 - short
    else:
        share = kind.share
    demand = shape.load * deployment.engines * share
    if kind.customer == next(iter(deployment.weights)):
        demand *= large
    else:
        demand += small * deployment.engines
    return demand / kind.cost_s()


def _draw_request(deployment, kind, at_s, rng):
    prompt = _draw_length(kind.prompt_tokens, rng)
    output = _draw_length(kind.output_tokens, rng)
    if kind.role == 'prefill' and rng.random() < REPEATED_FILE_SHARE:
        prefix_id = f'{kind.name}-file-{rng.randrange(FILE_COUNT)}'
        prefix_tokens = prompt // 2
    else:
        prefix_id = f'{kind.name}-instructions'
        prefix_tokens = min(enginemodel.BLOCK_TOKENS, prompt)
    return Request(
        at_s=at_s,
        customer=kind.customer,
        model=deployment.model,
        prompt_tokens=prompt,
        output_tokens=output,
        prefix_id=prefix_id,
        prefix_tokens=prefix_tokens,
        first_token_s=kind.first_token_s,
        per_token_s=0.07,
        repeatable=kind.name != 'drafting',
    )


def _draw_length(mean, rng):
    """Draw a length, uniform within `LENGTH_SPREAD` of the mean."""
    low = 1.0 - LENGTH_SPREAD
    return max(1, round(mean * (low + 2 * LENGTH_SPREAD * rng.random())))


def write(requests, file):
    """Write a trace as CSV.

    :param file: the open text file
    """
    writer = csv.writer(file)
    writer.writerow(COLUMNS)
    for request in requests:
        row = request._replace(
            at_s=f'{request.at_s:.6f}',
            repeatable='true' if request.repeatable else 'false',
        )
        writer.writerow(row)


def read(file, path, deployment):
    """Read a trace from CSV and check it against a deployment.

    :param file: the open text file
    :param path: its path, for messages
    :returns: list of :class:`Request` by arrival time
    :raises TraceError: with the line and a remedy for each invalid row
    """
    reader = csv.reader(file)
    header = next(reader, [])
    if tuple(header) != COLUMNS:
        remedy = f'line 1: make the header {",".join(COLUMNS)}'
        raise TraceError(path, [remedy])
    requests = []
    problems = []
    for row in reader:
        try:
            requests.append(_parse_row(row, deployment))
        except _RowError as error:
            problems.append(f'line {reader.line_num}: {error}')
    if not requests and not problems:
        problems.append(
            'line 2: the trace has no requests; add at least one row'
        )
    if problems:
        raise TraceError(path, problems)
    requests.sort(key=lambda request: request.at_s)
    return requests


class _RowError(Exception):
    """Raised for an invalid row, with a remedy."""


def _parse_row(row, deployment):
    if len(row) != len(COLUMNS):
        raise _RowError(
            f'{len(row)} fields; give the {len(COLUMNS)} fields of the header'
        )
    cells = dict(zip(COLUMNS, row, strict=True))
    request = Request(
        at_s=_parse_number(cells, 'at_s', float, 0.0),
        customer=_parse_name(cells, 'customer', deployment.weights),
        model=_parse_name(cells, 'model', (deployment.model,)),
        prompt_tokens=_parse_number(cells, 'prompt_tokens', int, 1),
        output_tokens=_parse_number(cells, 'output_tokens', int, 1),
        prefix_id=cells['prefix_id'],
        prefix_tokens=_parse_number(cells, 'prefix_tokens', int, 0),
        first_token_s=_parse_number(cells, 'first_token_s', float, 0.001),
        per_token_s=_parse_number(cells, 'per_token_s', float, 0.001),
        repeatable=_parse_boolean(cells, 'repeatable'),
    )
    if request.prefix_tokens > request.prompt_tokens:
        raise _RowError(
            f'prefix_tokens {request.prefix_tokens} exceeds prompt_tokens; '
            f'give at most {request.prompt_tokens}'
        )
    return request


def _parse_number(cells, column, kind, low):
    text = cells[column]
    try:
        value = kind(text)
    except ValueError:
        value = math.nan
    if not low <= value < math.inf:
        name = 'whole number' if kind is int else 'number'
        raise _RowError(f'{column} is {text!r}; give a {name} from {low}')
    return value


def _parse_name(cells, column, names):
    if cells[column] not in names:
        raise _RowError(
            f'{column} {cells[column]!r} is not in this deployment; '
            f'use one of {", ".join(names)}'
        )
    return cells[column]


def _parse_boolean(cells, column):
    values = {'true': True, 'false': False}
    if cells[column] not in values:
        raise _RowError(f'{column} is {cells[column]!r}; give true or false')
    return values[cells[column]]
