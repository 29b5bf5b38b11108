"""Magnoliadyke serves language models and plain services to customers.

Usage:
  magnoliadyke node SETTINGS --host=NAME
  magnoliadyke check SETTINGS [options]
  magnoliadyke hosts [options]
  magnoliadyke call model MODEL PROMPT [--max-tokens=N] [--stream] [options]
  magnoliadyke call service NAME METHOD PATH [BODY] [options]
  magnoliadyke table show [SHEET] [options]
  magnoliadyke table get CELL [options]
  magnoliadyke table set (CELL VALUE)... [options]
  magnoliadyke table unset CELL... [options]
  magnoliadyke table import FILE [options]
  magnoliadyke table export SHEET [options]
  magnoliadyke table history [--limit=N] [options]
  magnoliadyke table override [EDIT] [options]
  magnoliadyke status [options]
  magnoliadyke roles [options]
  magnoliadyke drain (host | endpoint) NAME [--undo] [options]
  magnoliadyke report burn [--plot=FILE] [options]
  magnoliadyke platform [SETTINGS] [--check]
  magnoliadyke explain ID LOGFILE...
  magnoliadyke lab VERB [ARGS...]
  magnoliadyke --help | --version

Options:
  --settings=FILE   Settings file of the deployment; its hosts are tried in
                    turn.  Default: the variable MAGNOLIADYKE_SETTINGS.
  --admin=IP:PORT   Use only the admin listener at this address.
  --json            Print JSON.
  --operator=NAME   Operator recorded in the history of the table
                    [default: the login name].
  --base=REVISION   Table revision that the edit is based on; a conflict is
                    reported for each cell that was changed since then.
  --wait=SECONDS    Maximum time to wait until an edit is in force
                    [default: 10].
  --host=NAME       Name, in the settings, of the host to run.
  --entry=IP:PORT   Fetch the list of hosts from the host at this address.
  --priority=WORD   urgent, normal or background [default: normal].
  --once            The call is not idempotent: never run it a second time.
  --timeout=SECONDS  Deadline of a call [default: 120].
  --max-tokens=N    Maximum length of the answer, in tokens [default: 256].
  --stream          Print the answer while it is generated.
  --limit=N         Maximum number of edits to show [default: 20].
  --undo            End the drain, so that new requests are accepted again.
  --check           Check the settings of a node on the platform and exit.
  --plot=FILE       Also draw the burn rates, as a PNG file.
  -h --help         Show this text.
  --version         Show the version.

Commands:
  node      Run the node of one host.
  check     Check a settings file and list all of its problems.
  hosts     List the hosts that accept calls.
  call      Send a request to a model or to a plain service.
  table     Show and edit the table, which holds the settings that can be
            changed at run time.  A cell is SHEET/ROW/COLUMN.
  status    Show hosts, endpoints, customers and leases.
  roles     Show the role, prefill or decode, of each engine.
  drain     Send no new requests to a host or an endpoint.
  report    Show error budget burn rates by customer.
  platform  Run a node on the prepared platform, or check its settings.
  explain   Show what the logs of the hosts say about a request id.
  lab       Run a stand-in or an experiment; 'lab --help' lists them.

Secrets are read from the environment: MAGNOLIADYKE_TOKEN (or the path of a
file in MAGNOLIADYKE_TOKEN_FILE) for operators, MAGNOLIADYKE_KEY for callers.

Exit status: 0 success; 1 refused, or problems found; 2 usage error; 3 no
host or store answered; 4 conflict with another operator's edit; 5 edit
accepted or staged, but not yet in force on all hosts; 6 the call was not
executed; 7 unknown whether the call was executed.

Examples:
  magnoliadyke check examples/dala.json
  magnoliadyke node examples/dala.json --host entry-1
  magnoliadyke table set customers/portal/weight 3 --settings dala.json
  magnoliadyke table export customers > customers.csv
  magnoliadyke drain endpoint lease-model-2
  magnoliadyke call model lease-model 'When does lease 17 end?' --stream
  magnoliadyke call service portal POST /notices '{"flat": 4}' --once
  magnoliadyke report burn --json --admin 127.0.1.1:7081
  magnoliadyke explain 9c41d07be2a35f68 logs/*.log
"""

import dataclasses
import json
import os
import sys
from typing import Any
from typing import Callable
from typing import Mapping
from typing import Sequence
from typing import TextIO

import docopt

import magnoliadyke
from magnoliadyke import adminclient
from magnoliadyke import client
from magnoliadyke.core import outcomes
from magnoliadyke import errors
from magnoliadyke import labverbs
from magnoliadyke import porcelain
from magnoliadyke import render

__all__ = ['main']

EXIT_OK = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_UNAVAILABLE = 3
EXIT_CONFLICT = 4
EXIT_NOT_IN_FORCE = 5
EXIT_NOT_RUN = 6
EXIT_UNKNOWN = 7
EXIT_INTERRUPTED = 130

DEFAULT_OPERATOR = 'the login name'

Args = Mapping[str, Any]


def main(argv: Sequence[str]) -> int:
    """Parse a command line and run its command.

    :param argv: the arguments, without the program's name.
    :returns: the exit status.
    """
    try:
        return _run(list(argv))
    except docopt.DocoptExit as error:
        return _fail(
            EXIT_USAGE,
            'the arguments match none of these usage patterns\n'
            f'{error.usage.strip()}\nTry: magnoliadyke --help',
        )
    except errors.UsageError as error:
        return _fail(EXIT_USAGE, str(error))
    except errors.SettingsError as error:
        return _fail(EXIT_REFUSED, str(error))
    except (errors.HostUnreachable, errors.StoreUnavailable) as error:
        return _fail(EXIT_UNAVAILABLE, str(error))
    except adminclient.EditConflict as error:
        return _fail(
            EXIT_CONFLICT, f'{error}\n{render.conflicts(error.conflicts)}'
        )
    except errors.AdminRefused as error:
        refused = EXIT_UNAVAILABLE if error.status == 503 else EXIT_REFUSED
        return _fail(refused, str(error))
    except errors.MagnoliadykeError as error:
        return _fail(EXIT_REFUSED, str(error))
    except KeyboardInterrupt:
        return EXIT_INTERRUPTED
    except BrokenPipeError:
        # The reader of the pipe, such as head, has exited.  Standard output
        # is redirected to avoid a second error when Python flushes it.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return EXIT_OK


def _run(argv: list[str]) -> int:
    # Lab programs parse their own arguments, which the usage patterns above
    # do not cover.
    if argv[:1] == ['lab'] and len(argv) > 1 and not _is_help_flag(argv[1]):
        return porcelain.lab(argv[1:])
    if argv[:1] == ['lab']:
        return _list_lab_programs()
    args = docopt.docopt(__doc__, argv, version=magnoliadyke.__version__)
    for words, command in COMMANDS.items():
        if all(args[part] for part in words.split()):
            return command(args)
    raise errors.UsageError(
        'the arguments name no command', "see 'magnoliadyke --help'"
    )


def _is_help_flag(argument: str) -> bool:
    return argument in ('-h', '--help')


def _list_lab_programs() -> int:
    rows = sorted(labverbs.VERBS.items())
    width = max(len(name) for name, _ in rows)
    print('Programs of the lab: magnoliadyke lab VERB [ARGS...]')
    for name, purpose in rows:
        print(f'  {name.ljust(width)}  {purpose}')
    return EXIT_OK


def _node(args: Args) -> int:
    return porcelain.node(args['SETTINGS'], args['--host'])


def _check(args: Args) -> int:
    problems = porcelain.check(args['SETTINGS'])
    if args['--json']:
        _print_json({'problems': [item._asdict() for item in problems]})
    elif problems:
        for problem in problems:
            print(problem, file=sys.stderr)
        print(f'problems: {len(problems)}', file=sys.stderr)
    else:
        print('no problems')
    return EXIT_REFUSED if problems else EXIT_OK


def _hosts(args: Args) -> int:
    found = [host._asdict() for host in porcelain.hosts(_caller(args))]
    return _show(args, found, render.hosts)


def _call_model(args: Args) -> int:
    options = _call_options(args)
    streams = args['--stream'] and not args['--json']
    printer = _StreamPrinter()
    if streams:
        options['on_text'] = printer.print_text
    outcome = porcelain.call_model(
        _caller(args),
        args['MODEL'],
        args['PROMPT'],
        int(_parse_number(args, '--max-tokens')),
        **options,
    )
    match outcome:
        case outcomes.Answered() if streams:
            print()
            return EXIT_OK
    return _show_outcome(args, outcome)


def _call_service(args: Args) -> int:
    outcome = porcelain.call_service(
        _caller(args),
        args['NAME'],
        args['METHOD'],
        args['PATH'],
        args['BODY'] or '',
        **_call_options(args),
    )
    status = _show_outcome(args, outcome)
    match outcome:
        case outcomes.Answered(finish_reason=code) if not code.startswith('2'):
            return _fail(EXIT_REFUSED, f'the service answered {code}')
    return status


class _StreamPrinter:
    """Prints an answer while it is streamed."""

    def __init__(self):
        self.printed = 0

    def print_text(self, text: str, offset: int) -> None:
        """Print a piece of the answer.

        :param text: the piece.
        :param offset: its offset in the answer, in output tokens; a second
            piece at offset 0 means that the answer is generated again.
        """
        if offset == 0 and self.printed:
            print('\n[answer restarted]')
        self.printed += len(text)
        print(text, end='', flush=True)


def _show_outcome(args: Args, outcome: outcomes.Outcome) -> int:
    status, outcome_name = OUTCOMES[type(outcome)]
    if args['--json']:
        _print_json({'outcome': outcome_name, **dataclasses.asdict(outcome)})
        return status
    match outcome:
        case outcomes.Answered(text=text):
            print(text)
            return status
        case outcomes.NotRun(reason, remedy, retry_after_s):
            again = f'; retry after {retry_after_s:g} s'
        case _:
            reason, remedy, again = outcome.reason, outcome.remedy, ''
    shown = outcome_name.replace('_', ' ')
    return _fail(status, f'{shown}: {reason}; {remedy}{again}')


def _table_show(args: Args) -> int:
    answer = porcelain.table_show(_admin(args), args['SHEET'] or '')
    return _show(args, answer, render.table)


def _table_get(args: Args) -> int:
    value = porcelain.table_get(_admin(args), args['CELL'][0])
    return _show(args, value, _format_value)


def _table_set(args: Args) -> int:
    cells = {}
    for cell, text in zip(args['CELL'], args['VALUE'], strict=True):
        if cell in cells:
            raise errors.UsageError(
                f'{cell} is set twice', 'keep one of the values'
            )
        cells[cell] = porcelain.parse_value(cell, text)
    result = porcelain.table_set(_admin(args), cells, **_edit_options(args))
    return _show_edit(args, result)


def _table_unset(args: Args) -> int:
    result = porcelain.table_unset(
        _admin(args), args['CELL'], **_edit_options(args)
    )
    return _show_edit(args, result)


def _table_import(args: Args) -> int:
    options = _edit_options(args)
    if options['base_revision'] is None:
        del options['base_revision']
    result = porcelain.table_import(_admin(args), args['FILE'], **options)
    return _show_edit(args, result)


def _table_export(args: Args) -> int:
    if args['--json']:
        return _table_show(args)
    sys.stdout.write(porcelain.table_export(_admin(args), args['SHEET']))
    return EXIT_OK


def _table_history(args: Args) -> int:
    limit = int(_parse_number(args, '--limit'))
    entries = porcelain.table_history(_admin(args), limit)
    return _show(args, entries, render.history)


def _table_override(args: Args) -> int:
    result = porcelain.table_override(
        _admin(args), args['EDIT'] or '', _operator(args)
    )
    return _show_edit(args, result)


def _status(args: Args) -> int:
    return _show(args, porcelain.status(_admin(args)), render.status)


def _roles(args: Args) -> int:
    return _show(args, porcelain.roles(_admin(args)), render.roles)


def _drain(args: Args) -> int:
    result = porcelain.drain(
        _admin(args),
        'host' if args['host'] else 'endpoint',
        args['NAME'],
        args['--undo'],
        _operator(args),
    )
    return _show_edit(args, result)


def _report_burn(args: Args) -> int:
    report = porcelain.report_burn(_admin(args))
    if args['--plot']:
        porcelain.plot_burn(report, args['--plot'])
    return _show(args, report, render.burn)


#: Exit status and JSON name of each outcome of a call.
OUTCOMES = {
    outcomes.Answered: (EXIT_OK, 'answered'),
    outcomes.NotRun: (EXIT_NOT_RUN, 'not_run'),
    outcomes.Unknown: (EXIT_UNKNOWN, 'unknown'),
    outcomes.Rejected: (EXIT_REFUSED, 'rejected'),
}


def _platform(args: Args) -> int:
    problems = porcelain.platform(args['SETTINGS'], args['--check'])
    for problem in problems:
        print(problem, file=sys.stderr)
    return EXIT_REFUSED if problems else EXIT_OK


def _explain(args: Args) -> int:
    found = porcelain.explain(args['ID'], args['LOGFILE'])
    if not found.lines:
        return _fail(
            EXIT_REFUSED,
            f'no line of {len(args["LOGFILE"])} log file(s) has request id '
            f'{args["ID"]!r}; check the id, and name the log files of all '
            'hosts',
        )
    print('state changes shortly before and during the request:')
    for line in found.beliefs:
        print(f'  {line.text}')
    print('log lines of the request:')
    for line in found.lines:
        print(f'  {line.text}')
    return EXIT_OK


#: Handler of each command, by the words of the command line that select it.
COMMANDS: dict[str, Callable[[Args], int]] = {
    'node': _node,
    'check': _check,
    'hosts': _hosts,
    'platform': _platform,
    'explain': _explain,
    'call model': _call_model,
    'call service': _call_service,
    'table show': _table_show,
    'table get': _table_get,
    'table set': _table_set,
    'table unset': _table_unset,
    'table import': _table_import,
    'table export': _table_export,
    'table history': _table_history,
    'table override': _table_override,
    'status': _status,
    'roles': _roles,
    'drain': _drain,
    'report burn': _report_burn,
}


def _admin(args: Args) -> adminclient.AdminClient:
    return porcelain.admin_client(
        args['--settings'] or os.environ.get('MAGNOLIADYKE_SETTINGS', ''),
        args['--admin'] or '',
        porcelain.read_token(),
    )


def _caller(args: Args) -> client.Client:
    return porcelain.caller_client(
        args['--settings'] or os.environ.get('MAGNOLIADYKE_SETTINGS', ''),
        args['--entry'] or '',
        os.environ.get('MAGNOLIADYKE_KEY', ''),
    )


def _call_options(args: Args) -> dict[str, Any]:
    return {
        'priority': args['--priority'],
        'repeatable': not args['--once'],
        'deadline_s': _parse_number(args, '--timeout'),
    }


def _edit_options(args: Args) -> dict[str, Any]:
    base = args['--base']
    return {
        'operator': _operator(args),
        'base_revision': None
        if base is None
        else int(_parse_number(args, '--base')),
        'wait_s': _parse_number(args, '--wait'),
    }


def _operator(args: Args) -> str:
    given = args['--operator']
    return '' if given == DEFAULT_OPERATOR else given


def _parse_number(args: Args, option: str) -> float:
    try:
        value = float(args[option])
    except ValueError:
        value = -1.0
    if not 0 <= value < float('inf'):
        raise errors.UsageError(
            f'{option}={args[option]} is not a valid number',
            'write a number of 0 or more',
        )
    return value


def _show(args: Args, answer: Any, text: Callable[[Any], str]) -> int:
    if args['--json']:
        _print_json(answer)
    else:
        print(text(answer))
    return EXIT_OK


def _show_edit(args: Args, result: porcelain.EditResult) -> int:
    if args['--json']:
        _print_json({**result.body, 'state': result.state})
    else:
        print(render.edit(result.state, result.body))
    return (
        EXIT_OK
        if result.state in ('in_force', 'unchanged')
        else EXIT_NOT_IN_FORCE
    )


def _format_value(value: Any) -> str:
    return value if isinstance(value, str) else json.dumps(value)


def _print_json(answer: Any) -> None:
    json.dump(answer, sys.stdout, indent=2)
    sys.stdout.write('\n')


def _fail(status: int, message: str, stream: TextIO | None = None) -> int:
    print(f'magnoliadyke: {message}', file=stream or sys.stderr)
    return status
