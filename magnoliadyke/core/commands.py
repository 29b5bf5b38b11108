"""Commands to one engine: one change at a time, settled by reading back.

Commands are absolute ("be in this state, generation n"), so that a repeat
does no harm.  An engine that checks fencing numbers settles by itself who
commands it, once it has heard of the new holder's number; so a new holder
first commands the role that the engine has.  For one that ignores numbers

* the intent is written by compare-and-swap before the command is sent, so
  that two holders cannot both believe that the next change is theirs,
* a new holder first waits out the longest life of its forerunner's
  commands, reads intent and state, and only then acts,
* the sender asks :meth:`EngineCommands.may_send` right before the last byte
  leaves, and closes the connection at the deadline,
* the holder goes on comparing state and intent, and commands again after a
  stray command.

What is left: a process stopped between that last question and the system
call that sends.  Its command takes effect when it runs again; comparing
finds and undoes it within ``compare_s`` and a role change.
"""

from collections.abc import Iterable
import dataclasses
import json
from typing import NamedTuple

from magnoliadyke.core import leases

__all__ = [
    'Change',
    'Command',
    'CommandSettings',
    'EngineCommands',
    'EngineState',
    'ChangeFailed',
    'Intent',
    'Prepare',
    'ReadIntent',
    'ReadState',
    'SendCommand',
    'Settled',
    'WriteIntent',
    'keeps_minimum',
]


class CommandSettings(NamedTuple):
    """Times of a command.

    :param life_s: from the start of sending to the closing of the
        connection at the latest.
    :param change_s: longest time that an engine may take for a change.
    :param compare_s: time between two looks at an idle engine.
    """

    life_s: float = 1.0
    drift_share: float = 0.1
    change_s: float = 15.0
    poll_s: float = 0.25
    retry_s: float = 0.5
    compare_s: float = 2.0


class Change(NamedTuple):
    """What an engine is to become.

    :param kind: 'role', 'load' or 'unload'.
    :param target: the role, or the model.
    """

    kind: str
    target: str


class EngineState(NamedTuple):
    """The engine's own word, not lagged."""

    role: str
    changing: bool
    generation: int
    models: tuple[str, ...] = ()


class Intent(NamedTuple):
    """The value in the store for an engine that ignores numbers."""

    generation: int
    fencing: int
    change: Change

    def dump(self) -> str:
        """Write the intent as the store keeps it."""
        return json.dumps(
            {
                'generation': self.generation,
                'fencing': self.fencing,
                'kind': self.change.kind,
                'target': self.change.target,
            },
            separators=(',', ':'),
        )

    @classmethod
    def parse(cls, text: str) -> 'Intent':
        """Read a value of the store."""
        fields = json.loads(text)
        change = Change(fields['kind'], fields['target'])
        return cls(fields['generation'], fields['fencing'], change)


class Command(NamedTuple):
    """What goes to the engine; a repeat has the same id."""

    id: str
    change: Change
    generation: int
    fencing: int
    expires_in_s: float


@dataclasses.dataclass(frozen=True)
class Prepare:
    """Take the engine out of use and let its streams end.

    Then call ``prepared``; until then nothing is written or sent.
    """

    change: Change


@dataclasses.dataclass(frozen=True)
class ReadIntent:
    """Read the intent, then ``intent_read`` or ``intent_failed``."""


@dataclasses.dataclass(frozen=True)
class WriteIntent:
    """Write the intent if the key still has this revision.

    Then ``intent_written``, ``intent_read`` with what the store holds when
    it refused, or ``intent_failed``.
    """

    intent: Intent
    if_revision: int


@dataclasses.dataclass(frozen=True)
class ReadState:
    """Ask the engine, then ``state_read`` or ``state_failed``."""


@dataclasses.dataclass(frozen=True)
class SendCommand:
    """Send, then ``command_answered`` or ``command_unknown``.

    :param deadline_s: when to close the connection, answered or not.
    """

    command: Command
    deadline_s: float


@dataclasses.dataclass(frozen=True)
class Settled:
    """The engine is in the state wanted.

    :param corrected: nobody asked for the change; the engine was found
        other than last intended, after a stray command or a crash.
    """

    change: Change
    generation: int
    corrected: bool = False


@dataclasses.dataclass(frozen=True)
class ChangeFailed:
    """The engine did not get there in time, or the authority is gone."""

    change: Change
    reason: str


Action = (
    Prepare
    | ReadIntent
    | WriteIntent
    | ReadState
    | SendCommand
    | Settled
    | ChangeFailed
)


@dataclasses.dataclass(frozen=True)
class _Discovering:
    """Intent and state are to be read before anything else."""


@dataclasses.dataclass(frozen=True)
class _Idle:
    """State and intent are known; nothing is under way."""


@dataclasses.dataclass(frozen=True)
class _Preparing:
    """The engine is being taken out of use."""

    change: Change
    asked: bool = False


@dataclasses.dataclass(frozen=True)
class _WritingIntent:
    """The intent is being written."""

    intent: Intent
    settled_by_read: bool = False


@dataclasses.dataclass(frozen=True)
class _Commanding:
    """The command is out, or is to be sent again.

    :param before: the engine's generation before it
    """

    intent: Intent
    until_s: float
    before: int
    attempts: int = 0
    sending: bool = False


def keeps_minimum(
    roles: Iterable[str], role: str, min_prefill: int, min_decode: int
) -> bool:
    """Whether an engine may leave its role.

    :param roles: roles of the engines that are up and not changing.
    :param role: the role to be left.
    """
    left = list(roles).count(role) - 1
    return left >= (min_prefill if role == 'prefill' else min_decode)


class EngineCommands:
    """Everything that one holder does to one engine."""

    def __init__(
        self, engine: str, checks_fencing: bool, settings: CommandSettings
    ) -> None:
        self.engine = engine
        self.checks_fencing = checks_fencing
        self.settings = settings
        self.state: EngineState | None = None
        self.intent: Intent | None = None
        #: The last role intended, also when a load came after it.
        self.role: Change | None = None
        self.corrections = 0
        self._intent_revision = 0
        self._intent_known = False
        self._authority: leases.Authority | None = None
        self._requested: Change | None = None
        self._correcting = False
        self._step: object = _Discovering()
        self._busy = False
        self._next_s = 0.0
        self._highest_fencing = 0
        self._reply_is_stale = False
        self._fencing_registered = False

    @property
    def under_way(self) -> bool:
        """Whether a change was begun and has not ended."""
        return isinstance(
            self._step, _Preparing | _WritingIntent | _Commanding
        )

    @property
    def highest_fencing(self) -> int:
        """The highest number that the engine or an intent has shown."""
        stored = self.intent.fencing if self.intent is not None else 0
        return max(self._highest_fencing, stored)

    @property
    def is_superseded(self) -> bool:
        """Whether the engine obeys a higher number than the holder has.

        A store restored to an older copy can give too low a number; the
        holder then gives the lease up and takes it with a higher one.
        """
        held = self._authority
        return held is not None and self._highest_fencing > held.fencing

    def request_change(self, change: Change) -> bool:
        """Ask for a change; False while another one is under way."""
        if self.under_way or self._requested is not None:
            return False
        self._requested = change
        self._next_s = 0.0
        return True

    def may_send(
        self, now_s: float, authority: leases.Authority | None
    ) -> bool:
        """The last question before the last byte of a command."""
        step = self._step
        return (
            isinstance(step, _Commanding)
            and authority is not None
            and authority.fencing == step.intent.fencing
            and now_s + self.settings.life_s < authority.until_s
        )

    def tick(
        self, now_s: float, authority: leases.Authority | None
    ) -> list[Action]:
        """What to do now.

        :param authority: as ``Lease.held`` gives it at this moment.
        """
        actions = self._check_authority(authority)
        if authority is None or self._busy or now_s < self._next_s:
            return actions
        if not self.checks_fencing and now_s < self._wait_until_s(authority):
            return actions
        return actions + self._advance(now_s, authority)

    def _wait_until_s(self, authority: leases.Authority) -> float:
        """A command that the former holder sent last has died by then."""
        share = 1 + self.settings.drift_share
        return authority.since_s + self.settings.life_s * share

    def _check_authority(
        self, authority: leases.Authority | None
    ) -> list[Action]:
        before = self._authority
        self._authority = authority
        same = (
            before is not None
            and authority is not None
            and before.fencing == authority.fencing
        )
        if same or (before is None and authority is None):
            return []
        lost = self._requested
        self._step = _Discovering()
        self._intent_known = False
        self._reply_is_stale = self._busy
        self._fencing_registered = not self.checks_fencing
        self.intent = None
        self.role = None
        self.state = None
        self._requested = None
        self._correcting = False
        if lost is None:
            return []
        return [ChangeFailed(lost, 'authority lost')]

    def _advance(
        self, now_s: float, authority: leases.Authority
    ) -> list[Action]:
        match self._step:
            case _Discovering():
                return self._discover()
            case _Idle():
                return self._start_requested(now_s, authority)
            case _Preparing(change=change, asked=False):
                self._step = _Preparing(change, asked=True)
                return [Prepare(change)]
            case _WritingIntent(settled_by_read=True):
                return self._start(ReadIntent())
            case _WritingIntent(intent=intent):
                return self._start(WriteIntent(intent, self._intent_revision))
            case _Commanding() as step:
                return self._command(step, now_s, authority)
        return []

    def _start(self, action: Action) -> list[Action]:
        self._busy = True
        return [action]

    def _discover(self) -> list[Action]:
        if not self.checks_fencing and not self._intent_known:
            return self._start(ReadIntent())
        return self._start(ReadState())

    def _start_requested(
        self, now_s: float, authority: leases.Authority
    ) -> list[Action]:
        if self.state is None:
            self._step = _Discovering()
            return self._discover()
        if not self._fencing_registered:
            self._begin(self._next_intent(_role_of(self.state)), now_s)
            return self._advance(now_s, authority)
        change = self._requested
        if change is None:
            self._next_s = now_s + self.settings.compare_s
            return self._start(ReadState())
        if _has_reached(self.state, change) and self._intent_matches(change):
            self._requested = None
            return [Settled(change, self.state.generation)]
        self._step = _Preparing(change)
        return self._advance(now_s, authority)

    def _intent_matches(self, change: Change) -> bool:
        """Whether the last intent would not undo the change."""
        return self.intent is None or self.intent.change == change

    def prepared(self, now_s: float) -> list[Action]:
        """The engine is out of use; go on."""
        step = self._step
        if not isinstance(step, _Preparing) or self._authority is None:
            return []
        intent = self._next_intent(step.change)
        if self.checks_fencing:
            self._begin(intent, now_s)
        else:
            self._step = _WritingIntent(intent)
        return []

    def _next_intent(self, change: Change) -> Intent:
        generation = self.state.generation if self.state is not None else 0
        if self.intent is not None:
            generation = max(generation, self.intent.generation)
        return Intent(generation + 1, self._authority.fencing, change)

    def _record_intent(self, intent: Intent | None) -> None:
        self.intent = intent
        if intent is not None and intent.change.kind == 'role':
            self.role = intent.change

    def _begin(self, intent: Intent, now_s: float) -> None:
        self._record_intent(intent)
        before = self.state.generation if self.state is not None else 0
        until_s = now_s + self.settings.change_s
        self._step = _Commanding(intent, until_s, before)

    def _command(
        self, step: _Commanding, now_s: float, authority: leases.Authority
    ) -> list[Action]:
        if now_s >= step.until_s:
            return self._fail(step, 'the engine did not change in time')
        if step.attempts and not step.sending:
            return self._start(ReadState())
        if not self.may_send(now_s, authority):
            return []
        self._step = dataclasses.replace(
            step, attempts=step.attempts + 1, sending=False
        )
        deadline_s = now_s + self.settings.life_s
        command = Command(
            f'{self.engine}-{step.intent.fencing}-{step.intent.generation}',
            step.intent.change,
            step.intent.generation,
            step.intent.fencing,
            self.settings.life_s,
        )
        return self._start(SendCommand(command, deadline_s))

    def _fail(self, step: _Commanding, reason: str) -> list[Action]:
        self._step = _Discovering()
        self._requested = None
        self._correcting = False
        if not self._fencing_registered:
            return []
        return [ChangeFailed(step.intent.change, reason)]

    def _accept_reply(self) -> bool:
        """Whether a reply still counts; one from a former tenure does not.

        It may show intent or state as they were before another holder.
        """
        old = self._reply_is_stale
        self._busy = False
        self._reply_is_stale = False
        return not old

    # Replies of the store.

    def intent_read(
        self, now_s: float, revision: int, text: str | None
    ) -> list[Action]:
        """What the store holds; revision 0 for an absent key."""
        if not self._accept_reply():
            return []
        found = Intent.parse(text) if text is not None else None
        self._intent_revision = revision
        self._intent_known = True
        step = self._step
        if isinstance(step, _WritingIntent):
            return self._settle_intent(step, found, now_s)
        if not isinstance(step, _Commanding):
            self._record_intent(found)
        return []

    def _settle_intent(
        self, step: _WritingIntent, found: Intent | None, now_s: float
    ) -> list[Action]:
        if found == step.intent:
            self._begin(step.intent, now_s)
            return []
        self._record_intent(found)
        self._step = _Discovering()
        if found is not None and found.fencing > step.intent.fencing:
            self._requested = None
            reason = 'a later holder has written its intent'
            return [ChangeFailed(step.intent.change, reason)]
        return []

    def intent_written(self, now_s: float, revision: int) -> list[Action]:
        """The store took the intent: the command may go out."""
        if not self._accept_reply():
            return []
        self._intent_revision = revision
        if isinstance(self._step, _WritingIntent):
            self._begin(self._step.intent, now_s)
        return []

    def intent_failed(self, now_s: float) -> list[Action]:
        """No answer; a write may have been taken all the same."""
        self._accept_reply()
        self._next_s = now_s + self.settings.retry_s
        if isinstance(self._step, _WritingIntent):
            self._step = dataclasses.replace(self._step, settled_by_read=True)
        return []

    # Replies of the engine.

    def state_read(self, now_s: float, state: EngineState) -> list[Action]:
        """The engine told its state: compare it with the intent."""
        if not self._accept_reply():
            return []
        self.state = state
        match self._step:
            case _Commanding() as step:
                return self._compare_with(step, state, now_s)
            case _Discovering() if not state.changing:
                self._step = _Idle()
                self._correct_stray(state)
            case _Discovering():
                self._next_s = now_s + self.settings.poll_s
            case _Idle() if not state.changing:
                self._correct_stray(state)
        return []

    def _compare_with(
        self, step: _Commanding, state: EngineState, now_s: float
    ) -> list[Action]:
        self._next_s = now_s + self.settings.poll_s
        if state.changing:
            return []
        if (
            _has_reached(state, step.intent.change)
            and not self._fencing_registered
        ):
            self._fencing_registered = True
            self._step = _Idle()
            return []
        if _has_reached(state, step.intent.change):
            corrected = self._correcting
            self._step = _Idle()
            self._requested = None
            self._correcting = False
            return [Settled(step.intent.change, state.generation, corrected)]
        if state.generation == step.intent.generation:
            # It took the command, and would take no repeat for a new one.
            return self._fail(step, 'the engine fell back')
        if state.generation != step.before:
            # A stray command or a crash came after ours. The engine would
            # drop a repeat of what it has carried out and stay astray until
            # we give up; comparing finds it and sends a new generation.
            return self._fail(step, 'the engine was commanded otherwise')
        # The command never arrived: send it again.
        self._step = dataclasses.replace(step, sending=True)
        return []

    def _correct_stray(self, state: EngineState) -> None:
        """Command again when the engine is not what was last intended."""
        if self.role is None or self._requested is not None:
            return
        # A model that is missing is no stray: its load needs the weight
        # store's leave, which whoever wants it asks for.
        if not _has_reached(state, self.role):
            self.corrections += 1
            self._correcting = True
            self._requested = self.role

    def state_failed(self, now_s: float) -> list[Action]:
        """The engine told no state; ask again later."""
        self._accept_reply()
        self.state = None
        self._next_s = now_s + self.settings.retry_s
        return []

    def command_answered(
        self, now_s: float, code: str = '', highest_fencing: int = 0
    ) -> list[Action]:
        """The engine took the command, or refused it.

        :param code: '' when taken, else 'stale_fencing' or 'changing'.
        """
        if not self._accept_reply():
            return []
        self._next_s = now_s + self.settings.poll_s
        step = self._step
        if code == 'stale_fencing' and isinstance(step, _Commanding):
            self._next_s = now_s + self.settings.compare_s
            self._highest_fencing = max(self._highest_fencing, highest_fencing)
            return self._fail(step, 'the engine follows a later holder')
        return []

    def command_unknown(self, now_s: float) -> list[Action]:
        """Cut off at the deadline, or not sent at all: read the state."""
        return self.command_answered(now_s)


def _role_of(state: EngineState) -> Change:
    return Change('role', state.role)


def _has_reached(state: EngineState, change: Change) -> bool:
    match change.kind:
        case 'load':
            return change.target in state.models
        case 'unload':
            return change.target not in state.models
    return state.role == change.target
