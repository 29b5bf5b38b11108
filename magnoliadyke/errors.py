"""Typed errors; every message names the remedy."""

__all__ = [
    'AdminRefused',
    'EndpointUnreachable',
    'HostUnreachable',
    'MagnoliadykeError',
    'ProtocolError',
    'SettingsError',
    'StoreUnavailable',
    'UsageError',
]


class MagnoliadykeError(Exception):
    """Base of all errors a caller or an operator may see.

    :param message: what went wrong
    :param remedy: what the reader can do about it
    """

    def __init__(self, message, remedy=''):
        self.message = message
        self.remedy = remedy
        text = f'{message}; {remedy}' if remedy else message
        super().__init__(text)


class SettingsError(MagnoliadykeError):
    """A settings file can't be used; ``problems`` lists all that is wrong.

    :param problems: sequence of problems, each with path, value and remedy
    """

    def __init__(self, problems):
        self.problems = tuple(problems)
        lines = '\n'.join(f'  {problem}' for problem in self.problems)
        super().__init__(
            f'settings have {len(self.problems)} problem(s):\n{lines}',
            "correct each line, then run 'magnoliadyke check SETTINGS'",
        )


class UsageError(MagnoliadykeError):
    """A command line or an API argument that can't be used."""


class StoreUnavailable(MagnoliadykeError):
    """The key-value service did not answer.

    :param maybe_applied: whether a write may have taken effect all the same
    """

    def __init__(self, message, maybe_applied=False):
        self.maybe_applied = maybe_applied
        super().__init__(
            message, 'check the key-value service, then read back and retry'
        )


class EndpointUnreachable(MagnoliadykeError):
    """An endpoint could not be connected to, or its connection broke.

    :param sent: whether a byte of the request may have left for it
    """

    def __init__(self, message, sent=False):
        self.sent = sent
        super().__init__(message, 'check that the endpoint is up')


class HostUnreachable(MagnoliadykeError):
    """No host of the deployment answered."""


class AdminRefused(MagnoliadykeError):
    """The admin listener refused a command.

    :param status: HTTP status of the refusal
    """

    def __init__(self, message, remedy='', status=400):
        self.status = status
        super().__init__(message, remedy)


class ProtocolError(MagnoliadykeError):
    """A peer sent something that the protocol doesn't allow."""
