"""Who may use a route: workspaces, their keys, and what proves them.

A key is never held, only its digest: what is logged, dumped or told to
another host can't give it away.
"""

from collections.abc import Iterable
import dataclasses
import hashlib
from typing import NamedTuple

from magnoliadyke.core import routes

__all__ = [
    'Allowed',
    'Unconfirmed',
    'UnknownKey',
    'Workspace',
    'Workspaces',
    'admit',
    'digest',
]

DIGEST_BYTES = 16


class Workspace(NamedTuple):
    """A customer's workspace."""

    name: str


class Workspaces:
    """The workspaces of one configuration, by the digests of their keys.

    A key that stands in two workspaces belongs to the one that is listed
    first.

    :param listed: workspaces with their keys
    :ivar shared: keys that stand in more than one workspace
    """

    def __init__(
        self, listed: Iterable[tuple[Workspace, Iterable[bytes]]]
    ) -> None:
        self.shared = 0
        self._by_digest: dict[bytes, Workspace] = {}
        for workspace, keys in listed:
            for key in keys:
                known = self._by_digest.setdefault(digest(key), workspace)
                if known.name != workspace.name:
                    self.shared += 1

    def __len__(self) -> int:
        return len(self._by_digest)

    def holder(self, key_digest: bytes | None) -> Workspace | None:
        """The workspace that holds a key; None if none does."""
        if key_digest is None:
            return None
        return self._by_digest.get(key_digest)


@dataclasses.dataclass(frozen=True)
class Allowed:
    """The request may run, on behalf of a workspace if its route has one."""

    workspace: Workspace | None = None


@dataclasses.dataclass(frozen=True)
class UnknownKey:
    """No workspace holds the key."""

    remedy: str


@dataclasses.dataclass(frozen=True)
class Unconfirmed:
    """This host can't tell whether the key has been taken away."""

    reason: str = 'the configuration is not confirmed at present'


def digest(key: bytes) -> bytes:
    """The digest that stands for a key."""
    return hashlib.blake2b(key, digest_size=DIGEST_BYTES).digest()


def admit(
    configuration: routes.Configuration,
    route: routes.Route,
    key_digest: bytes | None,
    confirmed: bool,
) -> Allowed | UnknownKey | Unconfirmed:
    """Whether a request may run under a configuration.

    A host that has no proof of its configuration says so before it looks at
    the key: one that it doesn't know may have been added since.

    :param key_digest: of the caller's key, None if it gave none
    :param confirmed: whether the configuration is known to be the newest
    """
    known = configuration.workspaces
    if known is None or route.public:
        return Allowed()
    if not confirmed:
        return Unconfirmed()
    workspace = known.holder(key_digest)
    if workspace is not None:
        return Allowed(workspace)
    if key_digest is None:
        return UnknownKey('send the key of a workspace')
    return UnknownKey('no workspace holds this key; ask for a valid one')
