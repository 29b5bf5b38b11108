"""Rules of the fault proxy, each a fault on the traffic between processes."""

import fnmatch
import itertools
import time
import typing

__all__ = ['KINDS', 'Rule', 'Rules']

KINDS = (
    'cut',
    'delay',
    'drop',
    'lose_reply',
    'loss',
    'refuse',
    'silence',
)


class Rule(typing.NamedTuple):
    """A fault on the traffic from ``source`` to ``target``.

    ``cut`` closes connections and refuses new ones; ``refuse`` refuses new
    ones alone; ``drop`` holds TCP bytes
    back and drops datagrams; ``delay`` holds each chunk for ``delay_s``;
    ``loss`` drops ``share`` of the datagrams; ``silence`` makes the
    connections that are open when it starts half-open: they stay open and
    carry no more bytes; ``lose_reply`` closes the next ``count`` connections
    from ``source`` to ``target`` when the response arrives.

    :param source: name of a process or a pattern, such as ``entry-*``
    :param target: as ``source``
    :param kind: one of :data:`KINDS`
    :param both: whether it applies to the opposite direction too
    :param started_s: monotonic time
    :param until_s: monotonic time, infinite without a limit
    """

    id: int
    source: str
    target: str
    kind: str
    both: bool
    started_s: float
    until_s: float
    delay_s: float
    share: float
    count: int

    def applies_to(self, source, target):
        """Whether it applies to traffic from ``source`` to ``target``."""
        if matches_names(self, source, target):
            return True
        return self.both and matches_names(self, target, source)


def matches_names(rule, source, target):
    """Whether the names match the rule's patterns."""
    return fnmatch.fnmatchcase(source, rule.source) and fnmatch.fnmatchcase(
        target, rule.target
    )


class Rules:
    """The rules in effect."""

    def __init__(self):
        self.rules = {}
        self.ids = itertools.count(1)

    def add(self, fault):
        """Add a rule.

        :param fault: ``from``, ``to``, ``kind``, and as needed ``both``,
            ``for_s``, ``delay_s``, ``share``, ``count``
        :returns: the :class:`Rule`
        :raises ValueError: for an unknown kind
        """
        kind = fault.get('kind', '')
        if kind not in KINDS:
            raise ValueError(f'kind must be one of {", ".join(KINDS)}')
        now_s = time.monotonic()
        for_s = fault.get('for_s')
        rule = Rule(
            next(self.ids),
            fault.get('from', '*'),
            fault.get('to', '*'),
            kind,
            bool(fault.get('both', False)),
            now_s,
            float('inf') if for_s is None else now_s + float(for_s),
            float(fault.get('delay_s', 0.0)),
            float(fault.get('share', 1.0)),
            int(fault.get('count', 1)),
        )
        self.rules[rule.id] = rule
        return rule

    def remove(self, rule_id):
        """Remove a rule by its id; an unknown id is ignored."""
        self.rules.pop(rule_id, None)

    def clear(self):
        """Remove all rules."""
        self.rules.clear()

    def find(self, kind, source, target):
        """The first rule of a kind that applies to this direction, or None.

        Expired rules are removed.
        """
        if not self.rules:
            return None
        now_s = time.monotonic()
        for rule in list(self.rules.values()):
            if rule.until_s <= now_s:
                del self.rules[rule.id]
            elif rule.kind == kind and rule.applies_to(source, target):
                return rule
        return None

    def consume_lost_reply(self, source, target):
        """Count down a ``lose_reply`` rule, and remove it at its last.

        :returns: whether one applied
        """
        rule = self.find('lose_reply', source, target)
        if rule is None:
            return False
        if rule.count <= 1:
            self.remove(rule.id)
        else:
            self.rules[rule.id] = rule._replace(count=rule.count - 1)
        return True
