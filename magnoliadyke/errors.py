"""Exceptions for callers and operators; each message names a remedy."""

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
    """Base of all errors that are shown to callers or operators.

    :param message: what failed, with the invalid value if there is one
    :param remedy: how to correct it; appended to the message
    """

    def __init__(self, message, remedy=''):
        self.message = message
        self.remedy = remedy
        text = f'{message}; {remedy}' if remedy else message
        super().__init__(text)


class SettingsError(MagnoliadykeError):
    """A settings file is invalid.

    :param problems: all problems of the file; each is formatted by ``str``
    """

    def __init__(self, problems):
        self.problems = tuple(problems)
        lines = '\n'.join(f'  {problem}' for problem in self.problems)
        super().__init__(
            f'the settings have {len(self.problems)} problem(s):\n{lines}',
            "correct each, then run 'magnoliadyke check SETTINGS'",
        )


class UsageError(MagnoliadykeError):
    """A command line or an argument of the API is invalid."""


class StoreUnavailable(MagnoliadykeError):
    """The key-value service did not respond.

    :param message: what failed
    :param maybe_applied: whether a write may have taken effect nevertheless
    """

    def __init__(self, message, maybe_applied=False):
        self.maybe_applied = maybe_applied
        super().__init__(
            message, 'check the key-value service, then read back and retry'
        )


class EndpointUnreachable(MagnoliadykeError):
    """An endpoint can't be connected to, or its connection broke.

    :param message: what failed
    :param sent: whether any byte of the request may have been sent
    """

    def __init__(self, message, sent=False):
        self.sent = sent
        super().__init__(message, 'check that the endpoint is up')


class HostUnreachable(MagnoliadykeError):
    """No host of the deployment responded."""


class AdminRefused(MagnoliadykeError):
    """The admin listener refused a request.

    :param message: why it was refused
    :param remedy: how to correct the request
    :param status: HTTP status of the response
    """

    def __init__(self, message, remedy='', status=400):
        self.status = status
        super().__init__(message, remedy)


class ProtocolError(MagnoliadykeError):
    """A peer sent a message that violates the protocol."""
