"""Authorizes requests on a route by the keys of workspaces."""

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
    """A customer's workspace.

    :param priority: rank of its requests, 0 for the most urgent; None if
        their route gives it
    """

    name: str
    priority: int | None = None


class Workspaces:
    """The workspaces of one configuration, by the digests of their keys.

    Only digests are kept, so that neither logs, dumps nor messages to other
    hosts can disclose a key. A key of several workspaces belongs to the one
    that is listed first.

    :param listed: workspaces with their keys
    :ivar shared: number of times that a key is listed for a further workspace
    """

    def __init__(
        self, listed: Iterable[tuple[Workspace, Iterable[bytes]]]
    ) -> None:
        self.shared = 0
        self._by_digest: dict[bytes, Workspace] = {}
        self._by_name: dict[str, Workspace] = {}
        for workspace, keys in listed:
            self._by_name.setdefault(workspace.name, workspace)
            for key in keys:
                known = self._by_digest.setdefault(digest(key), workspace)
                if known.name != workspace.name:
                    self.shared += 1

    def __len__(self) -> int:
        return len(self._by_digest)

    def holder(self, key_digest: bytes | None) -> Workspace | None:
        """The workspace that has a key; None if no workspace has it."""
        if key_digest is None:
            return None
        return self._by_digest.get(key_digest)

    def listed(self, workspace: Workspace) -> Workspace:
        """The workspace of the same name, or the given one if none is."""
        return self._by_name.get(workspace.name, workspace)


@dataclasses.dataclass(frozen=True)
class Allowed:
    """The request is authorized.

    :param workspace: whose key it has; None if the route needs no key
    """

    workspace: Workspace | None = None


@dataclasses.dataclass(frozen=True)
class UnknownKey:
    """The request has no key, or no workspace has its key."""

    remedy: str


@dataclasses.dataclass(frozen=True)
class Unconfirmed:
    """The host's configuration may be outdated and the key revoked."""

    reason: str = 'the configuration is not confirmed at present'


def digest(key: bytes) -> bytes:
    """The digest by which a key is looked up."""
    return hashlib.blake2b(key, digest_size=DIGEST_BYTES).digest()


def admit(
    configuration: routes.Configuration,
    route: routes.Route,
    key_digest: bytes | None,
    confirmed: bool,
) -> Allowed | UnknownKey | Unconfirmed:
    """Authorize a request by the keys of a configuration.

    Without proof that the configuration is current, the result is
    :class:`Unconfirmed` for every key: an unknown key may have been added
    since.

    :param key_digest: digest of the caller's key; None without a key
    :param confirmed: whether this host has proof that the configuration is
        the newest
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
