"""What the membership task of one node costs, at several sizes of fleet."""

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
#: A node is probed about as often as it probes, twice a second; each probe
#: of its own is answered: with what is passed on, five datagrams a second.
STEPS_PER_DATAGRAM = 2
SIGHTINGS_PER_DATAGRAM = 7


class SocketlessGossip(gossip.Gossip):
    """The task without its socket."""

    def send_data(self, address, data):
        """Count a datagram."""
        self.sent_bytes += len(data)


def probe(sizes, target):
    """Run one node's task on a paused clock among members that answer.

    :param sizes: numbers of nodes
    :param target: number of nodes to work the cost out for
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
            'ticks, datagrams in and out, views and standings published',
        )
    ]


def cost_percent(size):
    """Processor time of the task, as a share of the clock's time."""
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
    """Settings of one host, as read from JSON."""
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
    """Let the clock go; peers answer and tell new figures of themselves."""
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
    """A datagram in which a host tells of itself and of some others."""
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
    sightings = tuple(
        freshness_view.relayed_sightings(
            now_s, SIGHTINGS_PER_DATAGRAM, random.Random(sequence)
        )
    )
    message = membership.Ack(
        sequence, source, task.membership.own.host, (), sightings, b''
    )
    return gossip_codec.encode(task.deployment, message)
