"""Migration of a running stream to another engine, with its KV cache.

An engine runs nothing while it changes its role, so streams that would not
end before the change are migrated.  A target engine is chosen first; then the
old engine stops the stream and keeps its KV cache, and the target fetches it
and continues at the same offset.  This is not a second attempt, so requests
that may not be repeated are migrated as well.
"""

import gevent

from magnoliadyke import dispatch
from magnoliadyke import errors
from magnoliadyke import logs

__all__ = ['MIGRATE_AFTER_S', 'StreamMigration']

#: A stream is migrated if it still runs this long after the engine's notice.
MIGRATE_AFTER_S = 2.0
PLACE_TIMEOUT_S = 2.0
MAX_TARGETS = 3

LOG = logs.get('moves')


class StreamMigration:
    """Migration of one stream.

    :param run: :class:`magnoliadyke.streams.ModelRun` of the stream
    :ivar engine: client of the engine that the stream leaves
    :ivar target: name of the target engine, '' if there is none
    :ivar kv: handle of the exported KV cache, None before the export
    :ivar targets_requested: number of targets requested so far
    """

    def __init__(self, run):
        self.run = run
        self.engine = run.engine
        self.attempt_id = run.attempt_id
        self.target = ''
        self.kv = None
        self.targets_requested = 1
        self.greenlet = gevent.spawn(self.export_stream)

    def export_stream(self):
        """Request a target, then export the stream from its engine."""
        self.target = self.request_target()
        if not self.target:
            return
        try:
            self.kv = self.engine.export(self.attempt_id)
        except errors.EndpointUnreachable as error:
            LOG.throttled_warning(
                'export_failed', self.attempt_id, error=str(error)
            )

    def request_target(self):
        """Request another engine from the dispatcher; '' if there is none."""
        message = dispatch.RequestMigrationTarget(self.run.job.id)
        try:
            return self.run.dispatcher.ask(message, PLACE_TIMEOUT_S)
        except gevent.Timeout:
            return ''

    def wait_for_export(self):
        """Wait for the export to end, and return whether it succeeded."""
        self.greenlet.join()
        if self.kv is not None:
            LOG.event(
                'stream_moved', attempt=self.attempt_id, engine=self.target
            )
        return self.kv is not None

    def has_failed(self):
        """Whether the export failed and the stream is still on its engine."""
        return self.greenlet.ready() and self.kv is None

    def request_next_target(self):
        """Request another target after one refused the stream.

        :returns: name of the engine; '' if there is none, or if
            ``MAX_TARGETS`` have been requested
        """
        self.targets_requested += 1
        return (
            self.request_target()
            if self.targets_requested <= MAX_TARGETS
            else ''
        )
