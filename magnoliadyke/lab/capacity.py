"""Measure how memory, CPU time and traffic grow with a deployment's size.

Usage:
  capacity [--json] [--only NAMES] [--nodes SIZES] [--seconds S]

Options:
  --json           print JSON instead of a Markdown table
  --only NAMES     comma-separated names of probes to run [default: core]
  --nodes SIZES    numbers of nodes that the probe nodes starts
                   [default: 8,16,32,64]
  --seconds S      length of the measurement of nodes at each size
                   [default: 10]

Probes: membership gossip scheduler planner records table contention
messages nodes. The name core selects all probes in this process, all selects
nodes as well, which starts deployments of real processes.
"""

import gc
import json
import random
import sys
import time
import tracemalloc

import docopt

from magnoliadyke.core import jobs
from magnoliadyke.core import membership
from magnoliadyke.core import records
from magnoliadyke.core import roles
from magnoliadyke.core import scheduler
from magnoliadyke.core import table
from magnoliadyke import gossip_codec
from magnoliadyke.lab import contentioncost
from magnoliadyke.lab import gossipcost
from magnoliadyke.lab import nodecost
from magnoliadyke.lab import slopes

__all__ = ['PROBES', 'main']

#: Target sizes to which the costs are extrapolated.
NODES = 420
ENDPOINTS = 1800
CUSTOMERS = 270
#: Idempotency keys that a node has to keep at the target size: its share of
#: the peak rate of 7700 requests/s, for the time in which new keys of a ticket
#: are accepted.
REMEMBERED_KEYS = int(7700 / NODES * records.DEFAULTS.accept_s)

MEMBER_SIZES = (8, 32, 128, 420)
ENDPOINT_SIZES = (5, 50, 500, 1800)
RECORD_SIZES = (1000, 4000, 16000, 64000)
CUSTOMER_SIZES = (2, 30, 90, 270)
#: Protocol periods that the membership probe runs.
PERIODS = 200
DEPLOYMENT = 'capacity'


class TracedMemory:
    """Context manager that measures the memory a block leaves allocated.

    :ivar bytes: the memory, set at the end of the block
    """

    def __enter__(self):
        gc.collect()
        tracemalloc.start()
        self.before = tracemalloc.get_traced_memory()[0]
        return self

    def __exit__(self, *_):
        gc.collect()
        self.bytes = tracemalloc.get_traced_memory()[0] - self.before
        tracemalloc.stop()


def mean_cpu_s(call, rounds):
    """Return the mean CPU time of a call.

    :param call: function to call; it is passed the call's index
    :param rounds: number of calls
    """
    start_s = time.process_time()
    for number in range(rounds):
        call(number)
    return (time.process_time() - start_s) / rounds


# Membership.


def make_member(number):
    """Return a member with an address of its own."""
    return membership.Member(
        host=f'host-{number}',
        incarnation=1_700_000_000_000 + number,
        address=f'10.0.{number // 250}.{number % 250 + 1}',
        caller_port=7080,
        peer_port=7082,
        failure_domain=f'domain-{number % 5}',
        takes_work=True,
    )


def probe_membership():
    """Measure memory, traffic and CPU load of one node's membership."""
    state, sent, busy = [], [], []
    for size in MEMBER_SIZES:
        with TracedMemory() as memory:
            local = build_membership(size)
        state.append((size, memory.bytes))
        sent_bytes, seconds = run_periods(local, size)
        sent.append((size, sent_bytes))
        busy.append((size, 100 * seconds))
    carried = 'one probe per period, bounded updates per datagram'
    return [
        slopes.Series(
            'node', 'membership state', 'bytes', 'nodes', state, NODES,
            'one row and one sighting per member',
        ),
        slopes.Series(
            'node', 'datagrams sent', 'bytes/s', 'nodes', sent, NODES, carried
        ),
        slopes.Series(
            'node', 'membership protocol', '% of a core', 'nodes', busy,
            NODES, carried,
        ),
    ]  # fmt: skip


def build_membership(size):
    """Build the membership of a node in a deployment of ``size`` nodes."""
    local = membership.Membership(
        make_member(0),
        membership.MembershipSettings(),
        random.Random(1),
        [make_member(number) for number in range(1, size)],
    )
    for number in range(1, size):
        local.receive(make_ack(local, number, 0), 0.0)
    return local


def make_ack(local, number, sequence):
    """Return a member's ack with the maximum number of updates."""
    host_states = local.freshness.relayed_host_states(0.0, 7, local.rng)
    updates = tuple(
        make_member((number + step) % 7 + 1)
        for step in range(local.settings.max_updates)
    )
    return membership.Ack(
        sequence,
        make_member(number),
        'host-0',
        updates,
        tuple(host_states),
        b'',
    )


def run_periods(local, size):
    """Run the protocol for `PERIODS` against peers that answer each probe.

    :param local: :class:`magnoliadyke.core.membership.Membership`
    :param size: number of nodes
    :return: bytes sent per second, CPU seconds per second
    """
    period_s = local.settings.period_s
    sent = 0
    start_s = time.process_time()
    for step in range(1, PERIODS + 1):
        now_s = step * period_s
        sent += run_period(local, size, step, now_s)
    seconds = time.process_time() - start_s
    return sent / (PERIODS * period_s), seconds / (PERIODS * period_s)


def run_period(local, size, step, now_s):
    """Run one period: answer the node's probes and send it one of a peer.

    :return: bytes that the node sent
    """
    sent = 0
    for action in local.tick(now_s):
        if not isinstance(action, membership.SendDatagram):
            continue
        sent += len(gossip_codec.encode(DEPLOYMENT, action.message))
        target = int(action.message.target.rpartition('-')[2])
        local.receive(make_ack(local, target, action.message.sequence), now_s)
    probe = membership.Ping(
        step,
        make_member(step % (size - 1) + 1),
        'host-0',
        (),
        tuple(local.freshness.relayed_host_states(now_s, 7, local.rng)),
        b'x' * 300,
    )
    for action in local.receive(probe, now_s):
        if isinstance(action, membership.SendDatagram):
            sent += len(gossip_codec.encode(DEPLOYMENT, action.message))
    return sent


def probe_gossip():
    """Measure the gossip task that drives the membership protocol."""
    return gossipcost.probe(MEMBER_SIZES, NODES)


# Scheduler and planner.


def engine_infos(count):
    """Return engines, half of them in the prefill role."""
    return [
        jobs.EndpointInfo(
            f'engine-{number}',
            'model',
            'model',
            '10.0.0.1:1',
            f'domain-{number % 5}',
            True,
            'prefill' if number % 2 else 'decode',
        )
        for number in range(count)
    ]


def probe_scheduler():
    """Measure the CPU time per request and the memory of the scheduler."""
    placed, state = [], []
    for size in ENDPOINT_SIZES:
        with TracedMemory() as memory:
            placement_service = scheduler.Scheduler(
                engine_infos(size), random.Random(1)
            )
        state.append((size, memory.bytes))
        placement_service.set_table(table_view(2), 0.0)
        seconds = mean_cpu_s(
            lambda n, s=placement_service: place_request(s, n), 2000
        )
        placed.append((size, 1e6 * seconds))
    return [
        slopes.Series(
            'node', 'a request placed and ended', 'us', 'endpoints', placed,
            ENDPOINTS, 'a node routes over a subset of each pool',
        ),
        slopes.Series(
            'node', 'scheduler state', 'bytes', 'endpoints', state, ENDPOINTS,
            'a node keeps details of its subset only',
        ),
    ]  # fmt: skip


def place_request(placement_service, number):
    """Submit a job and record its successful end."""
    now_s = number * 0.01
    job = jobs.Job(
        f'job-{number}',
        'customer-1',
        'model',
        model='model',
        prompt_tokens=500,
        output_tokens=50,
        prefix_blocks=(f'block-{number % 50}',),
        arrived_s=now_s,
    )
    placement_service.submit(job, now_s)
    placement_service.record_prefill_done(job.id, now_s)
    placement_service.record_first_token(job.id, now_s)
    placement_service.record_result(job.id, jobs.Finished(500, 50, 0), now_s)


def probe_planner():
    """Measure one planning round of the node that holds a pool's duty."""
    planned = []
    for size in ENDPOINT_SIZES:
        planner = roles.Planner()
        engines = tuple(
            roles.EngineView(info.name, info.role, 'in', 1.0, 0.0)
            for info in engine_infos(size)
        )
        state = roles.PoolState(engines)
        demand = scheduler.Demand(size * 0.3, size * 0.4, 0, 0.0, 0.0, 0)

        def one_round(number, p=planner, s=state, d=demand):
            p.observe(d, float(number))
            p.plan(s, float(number))

        planned.append((size, 1000 * mean_cpu_s(one_round, 20)))
    return [
        slopes.Series(
            'duty holder', 'one planning round', 'ms', 'engines', planned,
            ENDPOINTS / 4, 'one holder per pool; 4 pools share the engines',
        ),
    ]  # fmt: skip


# Records and table.


def probe_records():
    """Measure the memory of idempotency keys and the time to add one."""
    state, entered = [], []
    for size in RECORD_SIZES:
        start_s = time.process_time()
        with TracedMemory() as memory:
            record_table = records.RecordTable()
            for number in range(size):
                record_key(record_table, number)
        seconds = time.process_time() - start_s
        state.append((size, memory.bytes))
        entered.append((size, 1e6 * seconds / size))
    return [
        slopes.Series(
            'node', 'remembered keys, answers shed', 'bytes', 'keys', state,
            REMEMBERED_KEYS, 'a key is kept until its ticket expires',
        ),
        slopes.Series(
            'node', 'a key entered and ended', 'us, traced', 'keys', entered,
            REMEMBERED_KEYS, 'one mapping, one heap of expiry times',
        ),
    ]  # fmt: skip


def record_key(record_table, number):
    """Open the record of a key and settle it without an answer."""
    key = f'host-1.1700000000000.{number // 100}-0123456789abcdef/{number}'
    digest = f'{number:032x}'
    opened = record_table.open(key, 'customer-1', digest, 0.0, 0.0)
    record_table.settle(opened.record, records.HOME_STOPPED)


def table_view(count):
    """Return the view of a table with ``count`` customers."""
    return table.view(table_document(count))


def table_document(count):
    """Return a table document with all columns set for each customer.

    :param count: number of customers
    """
    cells = {}
    for number in range(count):
        for column in table.SCHEMA:
            if column.sheet == 'customers' and column.name != 'keys':
                row = f'customers/customer-{number}/{column.name}'
                cells[row] = column.default
    document = table.empty()
    document['revision'] = 1
    document['accepted'] = cells
    return document


def probe_table():
    """Measure the table's size in the store and the time to load it."""
    size, read = [], []
    for count in CUSTOMER_SIZES:
        text = table.dump(table_document(count))
        size.append((count, len(text.encode())))

        def read_table(_number, t=text):
            table.view(table.parse(t))

        read.append((count, 1000 * mean_cpu_s(read_table, 20)))
    return [
        slopes.Series(
            'store', 'the table', 'bytes', 'customers', size, CUSTOMERS,
            'one value in the store; the limit is 1 MB',
        ),
        slopes.Series(
            'node', 'a new table read and put in force', 'ms', 'customers',
            read, CUSTOMERS, 'once per edit, 940 edits per day',
        ),
    ]  # fmt: skip


CORE_PROBES = {
    'membership': probe_membership,
    'gossip': probe_gossip,
    'scheduler': probe_scheduler,
    'planner': probe_planner,
    'records': probe_records,
    'table': probe_table,
    'contention': contentioncost.probe,
    'messages': contentioncost.probe_messages,
}
PROBES = (*CORE_PROBES, 'nodes')


def parse_probes(text):
    """Return the probes that the option ``--only`` selects.

    :param text: value of the option
    :raises SystemExit: if a probe is unknown
    """
    names = {'core': tuple(CORE_PROBES), 'all': PROBES}.get(text)
    names = names or tuple(text.split(','))
    unknown = [name for name in names if name not in PROBES]
    if unknown:
        known = ' '.join((*PROBES, 'core', 'all'))
        raise SystemExit(f'unknown probe {unknown[0]}; choose from {known}')
    return names


def main(argv):
    """Run the probes and print the fitted lines.

    :param argv: arguments without the program's name
    :return: exit status
    """
    options = docopt.docopt(__doc__, argv)
    rows = []
    for name in parse_probes(options['--only']):
        if name == 'nodes':
            sizes = [int(word) for word in options['--nodes'].split(',')]
            series = nodecost.probe(sizes, float(options['--seconds']), NODES)
        else:
            series = CORE_PROBES[name]()
        rows.extend(slopes.summary(each) for each in series)
    if options['--json']:
        print(json.dumps(rows, indent=1))
    else:
        print('\n'.join(slopes.format_table(rows)))
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
