"""The application object that owns components and cleans up after them."""

import abc

__all__ = ['Application', 'Component']


class Component(abc.ABC):
    """Something with a life cycle."""

    @abc.abstractmethod
    def start(self):
        """Begin to work."""

    @abc.abstractmethod
    def stop(self, deadline_s):
        """End within ``deadline_s`` seconds, cutting nothing if possible."""


class Application:
    """Starts components in order and stops them in reverse order."""

    def __init__(self, clock):
        self.clock = clock
        self.components = []
        self.started = []

    def add(self, component):
        """Own ``component`` and return it."""
        self.components.append(component)
        return component

    def start(self):
        """Start all; when one fails, stop those that had started.

        :raises Exception: whatever the failing component raised
        """
        for component in self.components:
            try:
                component.start()
            except Exception:
                self.stop(0.5)
                raise
            self.started.append(component)

    def stop(self, deadline_s):
        """Stop all started components, last one first.

        :param deadline_s: time for all of them together, in seconds
        """
        end_s = self.clock.now_s() + deadline_s
        while self.started:
            component = self.started.pop()
            left_s = max(0.1, end_s - self.clock.now_s())
            component.stop(left_s)
