"""Commands to an engine stand-in: fencing, role changes, model loads."""

import time

import gevent

from magnoliadyke.lab import standin

__all__ = ['Commands']

MAX_COMMAND_IDS = 1_000
KINDS = ('role', 'load', 'unload')


class Commands:
    """Processes the commands that an engine receives.

    An engine that checks fencing tokens rejects a command whose token is
    below the highest one it has accepted; other engines accept any token.
    Both kinds run one change at a time.

    :param model: the engine's step model
    :param faults: the stand-in's faults
    :param ledger: records each command
    :param spec: the stand-in's settings
    :param wake: event that makes the engine advance its model
    """

    def __init__(self, model, faults, ledger, spec, wake):
        self.model = model
        self.faults = faults
        self.ledger = ledger
        self.spec = spec
        self.wake = wake
        self.models = list(spec.models)
        self.loading_model = ''
        self.generation = 0
        self.highest_fencing_token = 0
        self.last_command_id = ''
        self.seen_ids = {}

    def is_changing(self):
        """Return whether a role change or a model load is in progress."""
        return self.model.state == 'changing' or bool(self.loading_model)

    def published_state(self, state):
        """Return the body of ``GET /v1/state``, which is never delayed.

        :param state: ``in``, ``leaving`` or ``left``
        """
        return {
            'role': self.model.role,
            'target': self.model.target_role,
            'changing': self.is_changing(),
            'generation': self.generation,
            'last_command_id': self.last_command_id,
            'models': self.models,
            'state': state,
        }

    def handle(self, request):
        """Process a command and record it in the ledger.

        :raises standin.DropConnection: the fault ``lose_reply`` is on
        """
        body = request.json()
        answer = self.process(body)
        self.ledger.write(
            'command',
            id=body.get('id'),
            kind=body.get('kind'),
            role=body.get('role'),
            model=body.get('model'),
            generation=body.get('generation'),
            fencing=body.get('fencing'),
            sender=request.header('X-Sender'),
            status=answer.status,
            highest=self.highest_fencing_token,
            checks_fencing=self.spec.checks_fencing,
        )
        if self.faults.consume('lose_reply') is not None:
            raise standin.DropConnection
        return answer

    def process(self, body):
        """Reject a command, or execute it.

        :returns: the HTTP response
        :raises KeyError, ValueError: the command is malformed
        """
        command_id = str(body['id'])
        if body.get('kind') not in KINDS:
            raise ValueError(f'kind must be one of {", ".join(KINDS)}')
        if command_id in self.seen_ids:
            return standin.json_answer(202, {'id': command_id})
        fencing = int(body.get('fencing') or 0)
        if self.spec.checks_fencing and fencing < self.highest_fencing_token:
            return standin.error_answer(
                409,
                'stale_fencing',
                'another sender holds the lease; send no more commands',
                highest=self.highest_fencing_token,
            )
        expires_in_s = body.get('expires_in_s')
        if expires_in_s is not None and float(expires_in_s) <= 0:
            return standin.error_answer(409, 'expired', 'send a new command')
        if self.is_changing():
            return standin.error_answer(
                409, 'changing', 'retry after the change in progress'
            )
        self.highest_fencing_token = max(self.highest_fencing_token, fencing)
        self.record_id(command_id)
        self.generation = int(body.get('generation') or 0)
        self.execute(body)
        return standin.json_answer(202, {'id': command_id})

    def record_id(self, command_id):
        """Store a command id, so that a duplicate has no effect."""
        self.last_command_id = command_id
        self.seen_ids[command_id] = None
        if len(self.seen_ids) > MAX_COMMAND_IDS:
            del self.seen_ids[next(iter(self.seen_ids))]

    def execute(self, body):
        """Start the change that the command requests."""
        match body.get('kind'):
            case 'role':
                self.change_role(body['role'])
            case 'load':
                self.loading_model = body['model']
                gevent.spawn_later(self.spec.load_s, self.finish_load)
            case _:
                if body['model'] in self.models:
                    self.models.remove(body['model'])
                self.ledger.write('unloaded', model=body['model'])

    def change_role(self, role):
        """Start a role change, unless the engine has the role already."""
        if role == self.model.role:
            self.ledger.write('role_kept', role=role)
            return
        before = self.model.role
        self.model.set_role(role, time.monotonic())
        self.ledger.write('change_begun', role=role, before=before)
        if self.faults.consume('fail_change') is not None:
            self.model.target_role = before
        if self.faults.consume('crash_in_change') is not None:
            half_s = self.model.spec.role_change_s / 2
            gevent.spawn_later(half_s, self.crash)
        self.wake.set()

    def crash(self):
        """End the process in the middle of a role change."""
        self.ledger.write('crash', id='', running=[])
        standin.crash()

    def record_role_change(self, role):
        """Record the end of a role change."""
        self.ledger.write('change_done', role=role)

    def finish_load(self):
        """Add the loaded model to those that the engine runs."""
        if self.loading_model not in self.models:
            self.models.append(self.loading_model)
        self.ledger.write('loaded', model=self.loading_model)
        self.loading_model = ''
