"""Take a running answer to another engine, with its KV cache.

An engine runs nothing while it changes its role. What would not end in time
is taken elsewhere before: the place is found first, then the old engine
stops the stream and keeps its KV cache, and the new engine fetches that and
goes on at the same offset. It is no second attempt, so it is done for
requests that may not be repeated as well.
"""

import gevent

from magnoliadyke import dispatch
from magnoliadyke import errors
from magnoliadyke import logs

__all__ = ['AFTER_S', 'Move']

#: Answers that end within this time of the notice stay where they are.
AFTER_S = 2.0
PLACE_TIMEOUT_S = 2.0
MOST_PLACES = 3

LOG = logs.get('moves')


class Move:
    """One answer on its way to another engine.

    :param run: :class:`magnoliadyke.streams.ModelRun`
    """

    def __init__(self, run):
        self.run = run
        self.engine = run.engine
        self.attempt_id = run.attempt_id
        self.target = ''
        self.kv = None
        self.places = 1
        self.greenlet = gevent.spawn(self.prepare)

    def prepare(self):
        """Find a place, then stop the stream where it is."""
        self.target = self.place()
        if not self.target:
            return
        try:
            self.kv = self.engine.export(self.attempt_id)
        except errors.EndpointUnreachable as error:
            LOG.throttled_warning(
                'export_failed', self.attempt_id, error=str(error)
            )

    def place(self):
        """Ask for another engine; '' when there is none."""
        message = dispatch.MoveStream(self.run.job.id)
        try:
            return self.run.dispatcher.ask(message, PLACE_TIMEOUT_S)
        except gevent.Timeout:
            return ''

    def done(self):
        """Wait; return whether the answer has left its engine."""
        self.greenlet.join()
        if self.kv is not None:
            LOG.event(
                'stream_moved', attempt=self.attempt_id, engine=self.target
            )
        return self.kv is not None

    def failed(self):
        """Whether it is over and the answer is where it was."""
        return self.greenlet.ready() and self.kv is None

    def next_place(self):
        """Return a further engine, '' when enough have refused."""
        self.places += 1
        return self.place() if self.places <= MOST_PLACES else ''
