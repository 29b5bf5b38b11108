"""Status of the role planning of a pool, for operators."""

import json
import typing

__all__ = ['EngineStatus', 'PoolStatus']


class EngineStatus(typing.NamedTuple):
    """State of an engine as last read by the planner of its pool.

    :param name: name of the engine
    :param role: its role
    :param target: role that it was last ordered to take
    :param generation: generation of the newest command it accepted
    :param changing: whether a role change is in progress
    :param seen_s: age of the reading in seconds, negative if there is none
    """

    name: str
    role: str
    target: str
    generation: int
    changing: bool
    seen_s: float


class PoolStatus(typing.NamedTuple):
    """Planner of a pool and its last actions.

    :param pool: name of the pool
    :param holder: host that holds the planner's lease, '' if unknown
    :param fencing: fencing token of the holder's lease
    :param engines: state of each engine
    :param changes: last role changes, newest last: (wall_s, engine, role)
    :param last_plan: reason for the planner's last decision
    """

    pool: str
    holder: str = ''
    fencing: int = 0
    engines: tuple[EngineStatus, ...] = ()
    changes: tuple = ()
    last_plan: str = ''

    def dump(self):
        """Serialize the status as JSON."""
        engines = [each._asdict() for each in self.engines]
        return json.dumps(self._replace(engines=engines)._asdict())

    @classmethod
    def parse(cls, text):
        """Parse the output of :meth:`dump`."""
        fields = json.loads(text)
        fields['engines'] = tuple(
            EngineStatus(**each) for each in fields['engines']
        )
        fields['changes'] = tuple(tuple(each) for each in fields['changes'])
        return cls(**fields)
