"""One key of the store, and a lease's calls to it."""

from magnoliadyke.core import leases

__all__ = ['Key', 'perform']


class Key:
    """One key of the store."""

    def __init__(self):
        self.revision = 0
        self.text = None

    def write(self, text, if_revision):
        if if_revision != self.revision:
            return False
        self.revision += 1
        self.text = text
        return True


def perform(lease, store, action, now_s, lost=''):
    """Carry an action out; the request or its reply may get lost."""
    match action:
        case leases.ReadLease():
            if lost:
                lease.record_read_failure(now_s)
            else:
                lease.record_read(now_s, store.revision, store.text)
        case leases.WriteLease(value, if_revision):
            taken = lost != 'request' and store.write(
                value.dump(), if_revision
            )
            if lost:
                lease.record_write_unknown(now_s)
            elif taken:
                lease.record_written(now_s, store.revision)
            else:
                lease.record_write_refusal(now_s, store.revision, store.text)
