"""Commands of a lease holder to one engine, confirmed by reading its state.

One change is carried out at a time.  A command states the target state and
its generation, so repeating it is harmless.  An engine that checks fencing
tokens rejects commands of a former lease holder once it has received the
token of the new one; so a new holder first commands the role that the engine
already has.  For an engine that ignores fencing tokens

* the intent is written to the store by compare-and-swap before the command
  is sent, so that two holders cannot both order the next change,
* a new holder first waits out the longest lifetime of its predecessor's
  commands, reads intent and state, and only then acts,
* the sender calls :meth:`EngineCommands.may_send` right before it sends the
  last byte, and closes the connection at the deadline,
* the holder keeps comparing state and intent, and repeats the command after
  a stray one.

One race remains: a process may be suspended between :meth:`may_send` and the
system call that sends.  Its command takes effect when the process resumes;
the comparison detects that and reverses it within
``compare_interval_s`` and the time of a role change.
"""

from collections.abc import Iterable
import dataclasses
import json
from typing import NamedTuple

from magnoliadyke.core import leases

__all__ = [
    'Change',
    'ChangeFailed',
    'Command',
    'CommandSettings',
    'EngineCommands',
    'EngineState',
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
    """Timing of commands.

    :param command_lifetime_s: longest time from the start of sending a
        command to the closing of its connection, in seconds.
    :param max_clock_drift_share: share of ``command_lifetime_s`` added
        for clocks that run at different rates.
    :param change_timeout_s: longest time that an engine may take for a
        change, in seconds.
    :param poll_s: interval between reads of the state during a change, in
        seconds.
    :param retry_s: delay after a failed read or write, in seconds.
    :param compare_interval_s: interval between reads of the state of an
        idle engine, in seconds.
    """

    command_lifetime_s: float = 1.0
    max_clock_drift_share: float = 0.1
    change_timeout_s: float = 15.0
    poll_s: float = 0.25
    retry_s: float = 0.5
    compare_interval_s: float = 2.0


class Change(NamedTuple):
    """A change of an engine's role or of its loaded models.

    :param kind: 'role', 'load' or 'unload'.
    :param target: the role to take, or the model to load or unload.
    """

    kind: str
    target: str


class EngineState(NamedTuple):
    """State of an engine, read from the engine itself.

    :param changing: whether a change is in progress.
    :param generation: generation of the newest command accepted.
    :param models: loaded models.
    """

    role: str
    changing: bool
    generation: int
    models: tuple[str, ...] = ()


class Intent(NamedTuple):
    """The last change ordered, kept in the store.

    It is stored only for engines that ignore fencing tokens.
    """

    generation: int
    fencing: int
    change: Change

    def dump(self) -> str:
        """Return the intent as JSON text for the store."""
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
        """Return the intent in a value of the store."""
        fields = json.loads(text)
        change = Change(fields['kind'], fields['target'])
        return cls(fields['generation'], fields['fencing'], change)


class Command(NamedTuple):
    """A command as it is sent to the engine; a repeat has the same id."""

    id: str
    change: Change
    generation: int
    fencing: int
    expires_in_s: float


@dataclasses.dataclass(frozen=True)
class Prepare:
    """Take the engine out of use and let its streams end.

    Then call :meth:`EngineCommands.record_engine_drained`; until then no
    intent is written and no command is sent.
    """

    change: Change


@dataclasses.dataclass(frozen=True)
class ReadIntent:
    """Read the intent.

    Then call ``record_intent_read`` or ``record_intent_failure``.
    """


@dataclasses.dataclass(frozen=True)
class WriteIntent:
    """Write the intent if the key still has the revision ``if_revision``.

    Then call ``record_intent_written``, ``record_intent_read`` with the
    stored value if the revision differed, or ``record_intent_failure``.
    """

    intent: Intent
    if_revision: int


@dataclasses.dataclass(frozen=True)
class ReadState:
    """Read the engine's state.

    Then call ``record_state`` or ``record_state_failure``.
    """


@dataclasses.dataclass(frozen=True)
class SendCommand:
    """Send the command.

    Then call ``record_command_answer`` or ``record_command_unknown``.


    :param deadline_s: when to close the connection, answered or not.
    """

    command: Command
    deadline_s: float


@dataclasses.dataclass(frozen=True)
class Settled:
    """The engine has reached the target of the change.

    :param generation: the engine's generation after the change.
    :param corrected: whether the change was not requested, but restored the
        last intended state after a stray command or a crash.
    """

    change: Change
    generation: int
    corrected: bool = False


@dataclasses.dataclass(frozen=True)
class ChangeFailed:
    """The change was abandoned, for instance on a timeout or a lost lease."""

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
    """Intent and state have to be read before any other action."""


@dataclasses.dataclass(frozen=True)
class _Idle:
    """State and intent have been read; no change is in progress."""


@dataclasses.dataclass(frozen=True)
class _Preparing:
    """The engine is being taken out of use.

    :param asked: whether ``Prepare`` has been returned.
    """

    change: Change
    asked: bool = False


@dataclasses.dataclass(frozen=True)
class _WritingIntent:
    """The intent is being written.

    :param settled_by_read: whether the outcome of a write is unknown and a
        read has to determine it.
    """

    intent: Intent
    settled_by_read: bool = False


@dataclasses.dataclass(frozen=True)
class _Commanding:
    """The command has been sent, or is to be sent.

    :param until_s: when the change is abandoned.
    :param before: the engine's generation before the command.
    :param attempts: number of times the command was sent.
    :param sending: whether the command is to be sent again.
    """

    intent: Intent
    until_s: float
    before: int
    attempts: int = 0
    sending: bool = False


def keeps_minimum(
    roles: Iterable[str], role: str, min_prefill: int, min_decode: int
) -> bool:
    """Whether a role keeps its minimum of engines when one leaves it.

    :param roles: roles of the engines that are up and not changing.
    :param role: role that an engine would leave.
    :param min_prefill: minimum number of prefill engines.
    :param min_decode: minimum number of decode engines.
    """
    left = list(roles).count(role) - 1
    return left >= (min_prefill if role == 'prefill' else min_decode)


class EngineCommands:
    """State machine of one lease holder's commands to one engine.

    At most one call to the store or the engine is outstanding at a time.

    :param checks_fencing: whether the engine rejects commands with a
        fencing token lower than one it has received.
    """

    def __init__(
        self, engine: str, checks_fencing: bool, settings: CommandSettings
    ) -> None:
        self.engine = engine
        self.checks_fencing = checks_fencing
        self.settings = settings
        self.state: EngineState | None = None
        self.intent: Intent | None = None
        #: The last intended role change; kept through later model loads.
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
        """Whether a change is in progress."""
        return isinstance(
            self._step, _Preparing | _WritingIntent | _Commanding
        )

    @property
    def highest_fencing(self) -> int:
        """The highest fencing token seen in the intent or from the engine."""
        stored = self.intent.fencing if self.intent is not None else 0
        return max(self._highest_fencing, stored)

    @property
    def is_superseded(self) -> bool:
        """Whether the engine has accepted a higher fencing token.

        A store restored from an older backup can assign a fencing token
        that is too low; the holder then releases the lease and acquires it
        again with a higher token.
        """
        held = self._authority
        return held is not None and self._highest_fencing > held.fencing

    def request_change(self, change: Change) -> bool:
        """Request a change.

        :returns: False if another change is requested or in progress.
        """
        if self.under_way or self._requested is not None:
            return False
        self._requested = change
        self._next_s = 0.0
        return True

    def may_send(
        self, now_s: float, authority: leases.Authority | None
    ) -> bool:
        """Whether the last byte of the command may be sent now.

        It may if the lease outlives the command.

        :param authority: as ``Lease.held`` returns it at this moment.
        """
        step = self._step
        return (
            isinstance(step, _Commanding)
            and authority is not None
            and authority.fencing == step.intent.fencing
            and now_s + self.settings.command_lifetime_s < authority.until_s
        )

    def tick(
        self, now_s: float, authority: leases.Authority | None
    ) -> list[Action]:
        """Return the actions to take now.

        :param authority: as ``Lease.held`` returns it at this moment.
        """
        actions = self._check_authority(authority)
        if authority is None or self._busy or now_s < self._next_s:
            return actions
        if not self.checks_fencing and now_s < self._wait_until_s(authority):
            return actions
        return actions + self._advance(now_s, authority)

    def _wait_until_s(self, authority: leases.Authority) -> float:
        """Return when no command of the former holder can take effect."""
        share = 1 + self.settings.max_clock_drift_share
        return authority.since_s + self.settings.command_lifetime_s * share

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
        cancelled = self._requested
        self._step = _Discovering()
        self._intent_known = False
        self._reply_is_stale = self._busy
        self._fencing_registered = not self.checks_fencing
        self.intent = None
        self.role = None
        self.state = None
        self._requested = None
        self._correcting = False
        if cancelled is None:
            return []
        return [ChangeFailed(cancelled, 'authority lost')]

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
            self._next_s = now_s + self.settings.compare_interval_s
            return self._start(ReadState())
        if _has_reached(self.state, change) and self._intent_matches(change):
            self._requested = None
            return [Settled(change, self.state.generation)]
        self._step = _Preparing(change)
        return self._advance(now_s, authority)

    def _intent_matches(self, change: Change) -> bool:
        """Whether the stored intent, if there is one, is for this change.

        An intent for another change would later be commanded again and
        reverse this change.
        """
        return self.intent is None or self.intent.change == change

    def record_engine_drained(self, now_s: float) -> list[Action]:
        """Continue with the change once the engine is out of use."""
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
        until_s = now_s + self.settings.change_timeout_s
        self._step = _Commanding(intent, until_s, before)

    def _command(
        self, step: _Commanding, now_s: float, authority: leases.Authority
    ) -> list[Action]:
        if now_s >= step.until_s:
            return self._fail(
                step, 'the engine did not change before the time-out'
            )
        if step.attempts and not step.sending:
            return self._start(ReadState())
        if not self.may_send(now_s, authority):
            return []
        self._step = dataclasses.replace(
            step, attempts=step.attempts + 1, sending=False
        )
        deadline_s = now_s + self.settings.command_lifetime_s
        command = Command(
            f'{self.engine}-{step.intent.fencing}-{step.intent.generation}',
            step.intent.change,
            step.intent.generation,
            step.intent.fencing,
            self.settings.command_lifetime_s,
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
        """Accept the reply to the outstanding call.

        :returns: False if the call was made under an earlier authority: the
            reply may show intent or state from before another holder's
            changes.
        """
        old = self._reply_is_stale
        self._busy = False
        self._reply_is_stale = False
        return not old

    # Replies of the store to reads and writes of the intent.

    def record_intent_read(
        self, now_s: float, revision: int, text: str | None
    ) -> list[Action]:
        """Handle the stored intent.

        :param revision: revision of the key, 0 if it is absent.
        :param text: value of the key, None if it is absent.
        """
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
            reason = 'a later lease holder has written its intent'
            return [ChangeFailed(step.intent.change, reason)]
        return []

    def record_intent_written(
        self, now_s: float, revision: int
    ) -> list[Action]:
        """Handle a successful write of the intent; the command is next."""
        if not self._accept_reply():
            return []
        self._intent_revision = revision
        if isinstance(self._step, _WritingIntent):
            self._begin(self._step.intent, now_s)
        return []

    def record_intent_failure(self, now_s: float) -> list[Action]:
        """Handle a call to the store without an answer.

        A write may have been carried out nevertheless, so a read follows.
        """
        self._accept_reply()
        self._next_s = now_s + self.settings.retry_s
        if isinstance(self._step, _WritingIntent):
            self._step = dataclasses.replace(self._step, settled_by_read=True)
        return []

    # Replies of the engine to reads of its state and to commands.

    def record_state(self, now_s: float, state: EngineState) -> list[Action]:
        """Compare the state that the engine reports with the intent."""
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
            # The engine accepted the command and would ignore a repeat.
            return self._fail(
                step,
                'the engine accepted the command but left the target state',
            )
        if state.generation != step.before:
            # A stray command or a crash followed this holder's command.  The
            # engine would ignore a repeat of a command that it has carried
            # out, and would stay in the wrong state until the timeout.  The
            # next comparison detects that and sends a new generation.
            return self._fail(
                step, 'another command or a restart changed the generation'
            )
        # The command did not arrive, so it is sent again.
        self._step = dataclasses.replace(step, sending=True)
        return []

    def _correct_stray(self, state: EngineState) -> None:
        """Request the last intended role if the engine has another one."""
        if self.role is None or self._requested is not None:
            return
        # A missing model is not corrected: a load needs a grant from the
        # weight store, which the caller of request_change obtains.
        if not _has_reached(state, self.role):
            self.corrections += 1
            self._correcting = True
            self._requested = self.role

    def record_state_failure(self, now_s: float) -> list[Action]:
        """Handle a failed read of the engine's state; it is retried."""
        self._accept_reply()
        self.state = None
        self._next_s = now_s + self.settings.retry_s
        return []

    def record_command_answer(
        self, now_s: float, code: str = '', highest_fencing: int = 0
    ) -> list[Action]:
        """Handle the engine's answer to a command.

        :param code: '' if the command was accepted, else 'stale_fencing' or
            'changing'.
        :param highest_fencing: highest fencing token that the engine has
            received, if the code is 'stale_fencing'.
        """
        if not self._accept_reply():
            return []
        self._next_s = now_s + self.settings.poll_s
        step = self._step
        if code == 'stale_fencing' and isinstance(step, _Commanding):
            self._next_s = now_s + self.settings.compare_interval_s
            self._highest_fencing = max(self._highest_fencing, highest_fencing)
            return self._fail(
                step, 'the engine has received a higher fencing token'
            )
        return []

    def record_command_unknown(self, now_s: float) -> list[Action]:
        """Handle a command with an unknown outcome.

        It was cut off at the deadline or not sent at all; a read of the
        state shows which.
        """
        return self.record_command_answer(now_s)


def _role_of(state: EngineState) -> Change:
    return Change('role', state.role)


def _has_reached(state: EngineState, change: Change) -> bool:
    match change.kind:
        case 'load':
            return change.target in state.models
        case 'unload':
            return change.target not in state.models
    return state.role == change.target
