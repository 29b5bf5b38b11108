"""Causes the faults of a schedule and notes when each began and ended."""

import time

import gevent

from magnoliadyke.lab import checker
from magnoliadyke.lab import schedules

__all__ = ['Injector']

LEAVING_S = 4.0
STORE_DELAY_S = 0.4
RESTORED_S = 4.0
REPLIES = 3
STOP_S = 40.0
#: How long a replaced host is given before the next one goes.
REPLACE_PAUSE_S = 1.0
POISON = 'crash-engine please '
POISON_TOKENS = 20
NEVER_S = float('inf')
#: Part of the keys of leases on duties.
LEASES = '/lease/'


class Injector:
    """Faults against one cluster.

    :param deployment: the :class:`magnoliadyke.lab.cluster.Cluster`
    :param editors: the :class:`magnoliadyke.lab.observer.Editors`
    :param load: the :class:`magnoliadyke.lab.load.Load`
    """

    def __init__(self, deployment, editors, load):
        self.deployment = deployment
        self.editors = editors
        self.load = load
        self.faults = []
        self.departures = []
        self.kills = []
        self.poisoned = []
        self.taken_in = []

    def inject(self, fault):
        """Cause a fault and end it after its time."""
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
        """The host that renewed the lease on a duty last, '' if none."""
        senders = [
            row['sender']
            for row in self.deployment.ledger('keyvalue')
            if LEASES in row.get('key', '') and row.get('sender')
        ]
        return senders[-1] if senders else ''

    # Hosts.

    def kill_host(self, fault):
        """Kill a node; a new process comes after a while."""
        self.deployment.kill(fault.target)
        self.kills.append((time.time(), fault.target))
        gevent.sleep(fault.for_s)
        self.deployment.restart(fault.target)

    def pause_host(self, fault):
        """Stop a node's process and let it go on."""
        self.deployment.pause(fault.target)
        gevent.sleep(fault.for_s)
        self.deployment.resume(fault.target)

    def stop_host(self, fault):
        """Stop a node gracefully; a new process comes after it."""
        self.deployment.terminate(fault.target)
        self.deployment.wait(fault.target, STOP_S)
        gevent.sleep(max(0.0, fault.for_s - STOP_S))
        self.deployment.restart(fault.target)
        self.wait_ready(fault.target)

    def replace_hosts(self, fault):
        """Stop and replace one host after the other."""
        for host in self.deployment.hosts:
            self.stop_host(fault._replace(target=host, for_s=0.0))
            gevent.sleep(REPLACE_PAUSE_S)

    def wait_ready(self, host):
        """Wait until a new process takes work."""
        count = len(self.deployment.hosts) - 1
        self.deployment.wait_for(
            host, lambda: self.deployment.has_listed_hosts(host, count)
        )

    # Links.

    def cut_store(self, fault):
        """Cut a host off from the store."""
        self.cut([fault.target], ['keyvalue'], fault)

    def cut_peers(self, fault):
        """Cut a host off from the other hosts."""
        others = [h for h in self.deployment.hosts if h != fault.target]
        self.cut([fault.target], others, fault)

    def cut_endpoints(self, fault):
        """Cut a host off from the endpoints."""
        self.cut([fault.target], list(self.deployment.endpoints), fault)

    def cut_domain(self, fault):
        """Cut the hosts of a failure domain off from all others."""
        inside = [
            name
            for name, host in self.deployment.hosts.items()
            if host['failure_domain'] == fault.target
        ]
        others = [h for h in self.deployment.hosts if h not in inside]
        self.cut(inside, [*others, 'keyvalue'], fault)

    def cut(self, sources, targets, fault):
        """Drop what passes between two groups for a while."""
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
        """Have a host's open connections say nothing for good."""
        self.deployment.add_rule(source=fault.target, to='*', kind='silence')

    # The store.

    def store_down(self, fault):
        """Have the store give no answers."""
        mode = fault.detail.get('mode', 'refuse')
        self.deployment.set_fault(
            'keyvalue', kind='outage', for_s=fault.for_s, mode=mode
        )
        gevent.sleep(fault.for_s)

    def store_slow(self, fault):
        """Have the store answer late."""
        delay_s = fault.detail.get('delay_s', STORE_DELAY_S)
        self.deployment.set_fault(
            'keyvalue', kind='slow', for_s=fault.for_s, delay_s=delay_s
        )
        gevent.sleep(fault.for_s)

    def store_reply_lost(self, fault):
        """Have the next writes take effect without an answer."""
        count = fault.detail.get('count', REPLIES)
        self.deployment.set_fault('keyvalue', kind='lose_reply', count=count)

    def store_restored(self, fault):
        """Put an older copy in the store's place."""
        age_s = fault.detail.get('age_s', RESTORED_S)
        self.deployment.set_fault('keyvalue', kind='restore_old', age_s=age_s)

    # Engines.

    def engine_crash(self, fault):
        """Kill an engine; a new process comes after a while."""
        self.deployment.kill(fault.target)
        gevent.sleep(fault.for_s)
        self.deployment.restart(fault.target)

    def crash_in_change(self, fault):
        """Have an engine die half-way through its next change."""
        self.deployment.set_fault(fault.target, kind='crash_in_change')
        self.revive(fault)

    def change_fails(self, fault):
        """Have an engine's next change end in the old role."""
        self.deployment.set_fault(fault.target, kind='fail_change')
        gevent.sleep(fault.for_s)

    def command_reply_lost(self, fault):
        """Have an engine's next command go unanswered."""
        self.deployment.set_fault(fault.target, kind='lose_reply', count=1)

    def engine_silent(self, fault):
        """Have an engine's open streams say nothing for good."""
        self.deployment.set_fault(fault.target, kind='silent')

    def revive(self, fault):
        """Start engines again that die within the fault's time."""
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
        """Send what kills engines, and send it again when it fails."""
        model = self.deployment.settings['pools'][0]['model']
        customer = next(iter(self.load.clients))
        client = next(self.load.clients[customer])
        task = gevent.spawn(
            client.complete, model, POISON * 5, POISON_TOKENS, deadline_s=20.0
        )
        self.revive(fault)
        task.join(20.0)
        self.poisoned.append(task.value)

    def clashing_edits(self, fault):
        """Have two operators change the same cells at once."""
        end_s = time.monotonic() + fault.for_s
        while time.monotonic() < end_s:
            self.editors.edit_concurrently()

    # Endpoints.

    def endpoint_leaves(self, fault):
        """Have an endpoint say that it leaves, leave, and come back."""
        at_s = time.time()
        index = len(self.departures)
        self.departures.append(checker.Departure(fault.target, at_s, NEVER_S))
        self.deployment.set_fault(fault.target, kind='leaving')
        gevent.sleep(min(LEAVING_S, fault.for_s))
        self.deployment.set_fault(fault.target, kind='left')
        gevent.sleep(max(0.0, fault.for_s - LEAVING_S))
        self.departures[index] = checker.Departure(
            fault.target, at_s, time.time()
        )
        self.deployment.set_fault(fault.target, kind='back')

    def drain_endpoint(self, fault):
        """Have an operator drain an endpoint, and take it in again."""
        body = {'endpoint': fault.target, 'operator': 'lab', 'wait_s': 4.0}
        seen = self.editors.post('/admin/drain', body)
        accepted_s = seen.at_s + seen.took_s
        gevent.sleep(fault.for_s)
        # Another operator may have taken it in: then nodes may use it, and
        # work that it gets is no fault of theirs.
        self.taken_in.append((time.time(), fault.target))
        back_s = min(
            at_s
            for at_s, endpoint in self.taken_in
            if endpoint == fault.target and at_s >= accepted_s
        )
        if seen.state in ('in_force', 'accepted'):
            self.departures.append(
                checker.Departure(fault.target, accepted_s, back_s)
            )
        self.editors.post('/admin/drain', {**body, 'undo': True})
