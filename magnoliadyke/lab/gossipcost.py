"""CPU cost of one node's membership task at several fleet sizes."""

import random
import time

from magnoliadyke import clock
from magnoliadyke.core import membership
from magnoliadyke import gossip
from magnoliadyke import gossip_codec
from magnoliadyke.lab import nodecost
from magnoliadyke.lab import slopes
from magnoliadyke import settings

__all__ = ['probe']

SIMULATED_S = 20.0
STEP_S = 0.1
HOSTS_PER_SUBNET = 250
#: A node probes twice per second, receives an answer to each probe, and is
#: probed about as often.  With relayed probes that makes five datagrams per
#: second, one in two steps.
STEPS_PER_DATAGRAM = 2
SIGHTINGS_PER_DATAGRAM = 7


class SocketlessGossip(gossip.Gossip):
    """Gossip task that counts sent bytes and has no socket."""

    def send_data(self, address, data):
        """Count the bytes of a datagram instead of sending it."""
        self.sent_bytes += len(data)


def probe(sizes, target):
    """Run one node's task on a manual clock, with acks of all its peers.

    :param sizes: numbers of nodes
    :param target: number of nodes to extrapolate the cost to
    :return: list of :class:`magnoliadyke.lab.slopes.Series`
    """
    points = [(size, cost_percent(size)) for size in sizes]
    return [
        slopes.Series(
            'node',
            'membership task',
            '% of a core',
            'nodes',
            points,
            target,
            'ticks, datagrams in and out, publication of views and standings',
        )
    ]


def cost_percent(size):
    """Return the CPU time of the task, in percent of the simulated time."""
    hosts = [host_settings(number) for number in range(size)]
    document = nodecost.deployment(1)
    domains = document['failure_domains']
    for number, host in enumerate(hosts):
        host['failure_domain'] = domains[number % len(domains)]
    document['hosts'] = hosts
    manual_clock = clock.ManualClock()
    parsed = settings.parse(document)
    task = SocketlessGossip(
        parsed, hosts[0]['name'], manual_clock, random.Random(1), 1
    )
    for number in range(1, size):
        task.receive(
            encode_ack(task, hosts[number], number), manual_clock.now_s()
        )
    begin_s = time.process_time()
    run_steps(task, hosts, manual_clock)
    return 100 * (time.process_time() - begin_s) / SIMULATED_S


def host_settings(number):
    """Return the settings of one host, as read from JSON."""
    subnet, last = divmod(number, HOSTS_PER_SUBNET)
    address = f'127.0.{10 + subnet}.{last + 1}'
    return {
        'name': f'host-{number}',
        'failure_domain': '',
        'address': address,
        'caller_port': 7080,
        'admin_address': address,
        'admin_port': 7081,
        'peer_port': 7082,
    }


def run_steps(task, hosts, manual_clock):
    """Advance the clock and deliver acks with changed load of the peers."""
    rng = random.Random(2)
    for step in range(int(SIMULATED_S / STEP_S)):
        manual_clock.monotonic_s += STEP_S
        now_s = manual_clock.now_s()
        task.tick()
        if step % STEPS_PER_DATAGRAM == 0:
            number = rng.randrange(1, len(hosts))
            task.receive(encode_ack(task, hosts[number], step), now_s)
            task.publish(now_s)


def encode_ack(task, host, sequence):
    """Return a datagram with the state of a host and sightings of others.

    :param sequence: sequence number; the host's spare capacity depends on it
    """
    now_s = task.clock.now_s()
    source = membership.Member(
        host['name'],
        1,
        host['address'],
        host['caller_port'],
        host['peer_port'],
        host['failure_domain'],
        spare=(sequence % 100) / 100,
        takes_work=True,
    )
    freshness_view = task.membership.freshness
    host_states = tuple(
        freshness_view.relayed_host_states(
            now_s, SIGHTINGS_PER_DATAGRAM, random.Random(sequence)
        )
    )
    message = membership.Ack(
        sequence, source, task.membership.own.host, (), host_states, b''
    )
    return gossip_codec.encode(task.deployment, message)
