"""What operators see of the planning of a pool."""

import json
import typing

__all__ = ['EngineStatus', 'PoolStatus']


class EngineStatus(typing.NamedTuple):
    """An engine as the planner of its pool last read it back.

    :param target: role that it was last told to take
    :param seen_s: age of the reading in seconds, negative if there is none
    """

    name: str
    role: str
    target: str
    generation: int
    changing: bool
    seen_s: float


class PoolStatus(typing.NamedTuple):
    """Who plans a pool and what was done.

    :param holder: host, '' if nobody is known to
    :param fencing: fencing number of the holder's lease
    :param changes: last role changes, newest last: (wall_s, engine, role)
    :param last_plan: why the planner did what it did last
    """

    pool: str
    holder: str = ''
    fencing: int = 0
    engines: tuple[EngineStatus, ...] = ()
    changes: tuple = ()
    last_plan: str = ''

    def dump(self):
        """Return it as JSON text."""
        engines = [each._asdict() for each in self.engines]
        return json.dumps(self._replace(engines=engines)._asdict())

    @classmethod
    def parse(cls, text):
        """Read what :meth:`dump` wrote."""
        fields = json.loads(text)
        fields['engines'] = tuple(
            EngineStatus(**each) for each in fields['engines']
        )
        fields['changes'] = tuple(tuple(each) for each in fields['changes'])
        return cls(**fields)
