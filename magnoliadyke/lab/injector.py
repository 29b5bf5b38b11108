"""Injects the faults of a schedule and records when each began and ended."""

import time

import gevent

from magnoliadyke.lab import checker
from magnoliadyke.lab import schedules

__all__ = ['Injector']

DEPARTURE_DELAY_S = 4.0
STORE_DELAY_S = 0.4
SNAPSHOT_AGE_S = 4.0
LOST_REPLIES = 3
STOP_S = 40.0
#: Pause between the replacements of two hosts, in seconds.
REPLACE_PAUSE_S = 1.0
POISON_PROMPT = 'crash-engine please '
POISON_PROMPT_TOKENS = 20
NEVER_S = float('inf')
#: Substring of the store's keys of leases on duties.
LEASE_KEY_PART = '/lease/'


class Injector:
    """Injects faults into one cluster; has a method for each kind of fault.

    :param deployment: the :class:`magnoliadyke.lab.cluster.Cluster`
    :param editors: the :class:`magnoliadyke.lab.observer.Editors`
    :param load: the :class:`magnoliadyke.lab.load.Load`
    :ivar faults: the :class:`checker.Fault` of each, in order of their start
    :ivar departures: the :class:`checker.Departure` of each endpoint that
        left or was drained
    :ivar kills: time of day, in seconds, and host of each kill
    :ivar poisoned: outcomes of the requests that crash engines
    :ivar undrained: time of day, in seconds, and endpoint of each end of a
        drain
    """

    def __init__(self, deployment, editors, load):
        self.deployment = deployment
        self.editors = editors
        self.load = load
        self.faults = []
        self.departures = []
        self.kills = []
        self.poisoned = []
        self.undrained = []

    def inject(self, fault):
        """Inject a fault, and record it with its start and end."""
        if fault.detail.get('holder'):
            fault = fault._replace(target=self.holder() or fault.target)
        at_s = time.time()
        planned = schedules.KINDS[fault.kind].planned
        index = len(self.faults)
        noted = checker.Fault(fault.kind, fault.target, at_s, NEVER_S, planned)
        self.faults.append(noted)
        getattr(self, fault.kind)(fault)
        self.faults[index] = noted._replace(until_s=time.time())

    def holder(self):
        """The host that wrote a lease on a duty last, '' if none did."""
        senders = [
            row['sender']
            for row in self.deployment.ledger('keyvalue')
            if LEASE_KEY_PART in row.get('key', '') and row.get('sender')
        ]
        return senders[-1] if senders else ''

    # Hosts.

    def kill_host(self, fault):
        """Kill a node, and start a new process after ``for_s``."""
        self.deployment.kill(fault.target)
        self.kills.append((time.time(), fault.target))
        gevent.sleep(fault.for_s)
        self.deployment.restart(fault.target)

    def pause_host(self, fault):
        """Suspend a node's process, and resume it."""
        self.deployment.pause(fault.target)
        gevent.sleep(fault.for_s)
        self.deployment.resume(fault.target)

    def stop_host(self, fault):
        """Stop a node gracefully, and start a new process."""
        self.deployment.terminate(fault.target)
        self.deployment.wait(fault.target, STOP_S)
        gevent.sleep(max(0.0, fault.for_s - STOP_S))
        self.deployment.restart(fault.target)
        self.wait_ready(fault.target)

    def replace_hosts(self, fault):
        """Stop and start again one host after the other."""
        for host in self.deployment.hosts:
            self.stop_host(fault._replace(target=host, for_s=0.0))
            gevent.sleep(REPLACE_PAUSE_S)

    def wait_ready(self, host):
        """Wait until a new process lists all hosts but at most one."""
        count = len(self.deployment.hosts) - 1
        self.deployment.wait_for(
            host, lambda: self.deployment.has_listed_hosts(host, count)
        )

    # Links.

    def cut_store(self, fault):
        """Drop packets between a host and the store."""
        self.block_links([fault.target], ['keyvalue'], fault)

    def cut_peers(self, fault):
        """Drop packets between a host and the other hosts."""
        others = [h for h in self.deployment.hosts if h != fault.target]
        self.block_links([fault.target], others, fault)

    def cut_endpoints(self, fault):
        """Drop packets between a host and the endpoints."""
        self.block_links(
            [fault.target], list(self.deployment.endpoints), fault
        )

    def cut_domain(self, fault):
        """Partition a failure domain from other hosts and from the store."""
        inside = [
            name
            for name, host in self.deployment.hosts.items()
            if host['failure_domain'] == fault.target
        ]
        others = [h for h in self.deployment.hosts if h not in inside]
        self.block_links(inside, [*others, 'keyvalue'], fault)

    def block_links(self, sources, targets, fault):
        """Drop packets between two groups of processes during a fault."""
        way = fault.detail.get('way', 'both')
        rules = []
        for one in sources:
            for other in targets:
                source, target = (
                    (one, other) if way != 'from' else (other, one)
                )
                rule = self.deployment.add_rule(
                    source=source, to=target, kind='drop', both=way == 'both'
                )
                rules.append(rule)
        gevent.sleep(fault.for_s)
        for rule in rules:
            self.deployment.remove_rule(rule)

    def links_silent(self, fault):
        """Silence the open connections of a host permanently."""
        self.deployment.add_rule(source=fault.target, to='*', kind='silence')

    # The store.

    def store_down(self, fault):
        """Make the store unavailable."""
        mode = fault.detail.get('mode', 'refuse')
        self.deployment.set_fault(
            'keyvalue', kind='outage', for_s=fault.for_s, mode=mode
        )
        gevent.sleep(fault.for_s)

    def store_slow(self, fault):
        """Delay the answers of the store."""
        delay_s = fault.detail.get('delay_s', STORE_DELAY_S)
        self.deployment.set_fault(
            'keyvalue', kind='slow', for_s=fault.for_s, delay_s=delay_s
        )
        gevent.sleep(fault.for_s)

    def store_reply_lost(self, fault):
        """Have the next writes of the store take effect without an answer."""
        count = fault.detail.get('count', LOST_REPLIES)
        self.deployment.set_fault('keyvalue', kind='lose_reply', count=count)

    def store_restored(self, fault):
        """Restore the store from an older snapshot."""
        age_s = fault.detail.get('age_s', SNAPSHOT_AGE_S)
        self.deployment.set_fault('keyvalue', kind='restore_old', age_s=age_s)

    # Engines.

    def engine_crash(self, fault):
        """Kill an engine, and start a new process after ``for_s``."""
        self.deployment.kill(fault.target)
        gevent.sleep(fault.for_s)
        self.deployment.restart(fault.target)

    def crash_in_change(self, fault):
        """Have an engine crash halfway through its next role change."""
        self.deployment.set_fault(fault.target, kind='crash_in_change')
        self.restart_dead_engines(fault)

    def change_fails(self, fault):
        """Have an engine's next role change fail and leave the old role."""
        self.deployment.set_fault(fault.target, kind='fail_change')
        gevent.sleep(fault.for_s)

    def command_reply_lost(self, fault):
        """Have an engine execute its next command without an answer."""
        self.deployment.set_fault(fault.target, kind='lose_reply', count=1)

    def engine_silent(self, fault):
        """Silence the open streams of an engine permanently."""
        self.deployment.set_fault(fault.target, kind='silent')

    def restart_dead_engines(self, fault):
        """Restart engines that crash during a fault.

        Watches the fault's target, or all engines if it has none.
        """
        end_s = time.monotonic() + fault.for_s
        names = [fault.target] if fault.target else self.engines()
        while time.monotonic() < end_s:
            for name in names:
                if not self.deployment.is_alive(name):
                    gevent.sleep(1.0)
                    self.deployment.restart(name)
            gevent.sleep(0.2)

    def engines(self):
        """Names of the model engines."""
        return [
            endpoint['name']
            for pool in self.deployment.settings['pools']
            if pool['kind'] == 'model'
            for endpoint in pool['endpoints']
        ]

    # Callers and operators.

    def crashing_request(self, fault):
        """Send a request that crashes engines; the client retries it."""
        model = self.deployment.settings['pools'][0]['model']
        customer = next(iter(self.load.clients))
        client = next(self.load.clients[customer])
        task = gevent.spawn(
            client.complete,
            model,
            POISON_PROMPT * 5,
            POISON_PROMPT_TOKENS,
            deadline_s=20.0,
        )
        self.restart_dead_engines(fault)
        task.join(20.0)
        self.poisoned.append(task.value)

    def clashing_edits(self, fault):
        """Have two operators change the same cells at once."""
        end_s = time.monotonic() + fault.for_s
        while time.monotonic() < end_s:
            self.editors.edit_concurrently()

    # Endpoints.

    def endpoint_leaves(self, fault):
        """Have an endpoint announce its departure, leave, and return."""
        at_s = time.time()
        index = len(self.departures)
        self.departures.append(checker.Departure(fault.target, at_s, NEVER_S))
        self.deployment.set_fault(fault.target, kind='leaving')
        gevent.sleep(min(DEPARTURE_DELAY_S, fault.for_s))
        self.deployment.set_fault(fault.target, kind='left')
        gevent.sleep(max(0.0, fault.for_s - DEPARTURE_DELAY_S))
        self.departures[index] = checker.Departure(
            fault.target, at_s, time.time()
        )
        self.deployment.set_fault(fault.target, kind='back')

    def drain_endpoint(self, fault):
        """Have an operator drain an endpoint, and undo the drain."""
        body = {'endpoint': fault.target, 'operator': 'lab', 'wait_s': 4.0}
        seen = self.editors.post('/admin/drain', body)
        accepted_s = seen.at_s + seen.took_s
        gevent.sleep(fault.for_s)
        # Another operator may have undone the drain before: from then on
        # nodes may use the endpoint, and requests to it are no violation.
        self.undrained.append((time.time(), fault.target))
        back_s = min(
            at_s
            for at_s, endpoint in self.undrained
            if endpoint == fault.target and at_s >= accepted_s
        )
        if seen.state in ('in_force', 'accepted'):
            self.departures.append(
                checker.Departure(fault.target, accepted_s, back_s)
            )
        self.editors.post('/admin/drain', {**body, 'undo': True})
