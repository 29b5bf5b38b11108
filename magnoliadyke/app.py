"""The application: starts and stops the components of a process."""

import abc

__all__ = ['Application', 'Component']


class Component(abc.ABC):
    """A part of a process that is started and stopped."""

    @abc.abstractmethod
    def start(self):
        """Start the component.

        :raises Exception: the component can't be started
        """

    @abc.abstractmethod
    def stop(self, deadline_s):
        """Stop, and let work in flight finish as far as time allows.

        :param deadline_s: maximum duration of the stop, in seconds
        """


class Application:
    """Starts components in order and stops them in reverse order.

    :param clock: a :class:`magnoliadyke.clock.Clock`
    :ivar components: all components, in the order of their start
    :ivar started: the components that are running
    """

    def __init__(self, clock):
        self.clock = clock
        self.components = []
        self.started = []

    def add(self, component):
        """Add a component and return it.

        :param component: the :class:`Component`
        """
        self.components.append(component)
        return component

    def start(self):
        """Start all components; if one fails, stop those already started.

        :raises Exception: the exception of the component that failed
        """
        for component in self.components:
            try:
                component.start()
            except Exception:
                self.stop(0.5)
                raise
            self.started.append(component)

    def stop(self, deadline_s):
        """Stop all started components in reverse order of their start.

        :param deadline_s: time for all of them together, in seconds; each
            gets the rest of it, but at least 0.1 s
        """
        end_s = self.clock.now_s() + deadline_s
        while self.started:
            component = self.started.pop()
            left_s = max(0.1, end_s - self.clock.now_s())
            component.stop(left_s)
