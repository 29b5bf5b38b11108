"""Admin route of the burn report, summed over all hosts."""

import dataclasses

from magnoliadyke.core import burn
from magnoliadyke import fleetqueries

__all__ = ['BurnResource', 'collect', 'render_text']


class BurnResource:
    """Burn rates by customer and window.

    :param node: the :class:`magnoliadyke.node.Node`
    """

    def __init__(self, node):
        self.node = node

    def on_get(self, request, response):
        """Respond with the report.

        With the query parameter ``scope=host`` the response has the counts of
        this host alone.
        """
        if request.get_param('scope') == 'host':
            response.media = _local_counts(self.node)
            return
        response.media = collect(
            self.node, fleetqueries.operator_token(request)
        )


def collect(node, token):
    """Sum the counts of all hosts and evaluate the burn rates.

    :param node: the :class:`magnoliadyke.node.Node` that serves the request
    :param token: the operators' token, for requests to the other hosts
    :returns: the report; ``missing`` lists the hosts that did not respond
    """
    own = _local_counts(node)
    others = fleetqueries.query_other_hosts(
        node, token, '/admin/burn?scope=host'
    )
    host_reports = [
        own,
        *(part for part in others.values() if part is not None),
    ]
    missing = [host for host, part in others.items() if part is None]
    snapshots = [_decode(part['counts']) for part in host_reports]
    view = node.configuration.views.last
    objectives = {
        name: row.met_share
        for name, row in (view.customers if view else {}).items()
    }
    reach_s = max(part['covered_s'] for part in host_reports)
    customers = burn.evaluate(burn.merge(snapshots), objectives, reach_s)
    report = {
        'customers': [_customer(customer) for customer in customers],
        'hosts': [part['host'] for part in host_reports],
        'missing': missing,
        'covered_s': reach_s,
    }
    return report | {'text': render_text(report)}


def _local_counts(node):
    snapshot = node.metrics.burn_snapshot()
    return {
        'host': node.host,
        'covered_s': round(node.metrics.covered_s(), 1),
        'counts': {
            customer: {
                str(window_s): [counts.total, *counts.causes]
                for window_s, counts in windows.items()
            }
            for customer, windows in snapshot.items()
        },
    }


def _decode(counts):
    return {
        customer: {
            int(window_s): burn.Counts(total, tuple(causes))
            for window_s, (total, *causes) in windows.items()
        }
        for customer, windows in counts.items()
    }


def _customer(customer):
    longest = customer.windows[-1]
    return dataclasses.asdict(customer) | {'causes': longest.causes}


def render_text(report):
    """Format a report as text.

    :param report: the report without its text, see :func:`collect`
    """
    lines = [
        f'burn rates over {len(report["hosts"])} hosts, counted for up to '
        f'{report["covered_s"]:.0f} s; at a rate of 1 the error budget lasts '
        'exactly for its period'
    ]
    if report['missing']:
        lines.append('no response from ' + ', '.join(report['missing']))
    for customer in report['customers']:
        lines += ['', *_customer_lines(customer)]
    return '\n'.join(lines)


def _customer_lines(customer):
    yield f'{customer["name"]}: objective {customer["objective"]:.2%} good'
    yield '  window       rate     bad   total  causes'
    for window in customer['windows']:
        causes = ', '.join(
            f'{name} {count}'
            for name, count in window['causes'].items()
            if count
        )
        yield (
            f'  {_duration(window["window_s"]):<8}'
            f'{window["burn_rate"]:9.2f}{window["bad"]:8}'
            f'{window["total"]:8}  {causes or "-"}'
        )
    for alert in customer['alerts']:
        yield (
            f'  {alert["severity"].upper()}: rate over '
            f'{alert["threshold"]:.1f} in {_duration(alert["long_s"])} and '
            f'{_duration(alert["short_s"])}, main cause {alert["cause"]}'
        )


def _duration(seconds):
    for unit, size in (('d', 86400), ('h', 3600), ('min', 60)):
        if seconds >= size:
            return f'{seconds // size} {unit}'
    return f'{seconds} s'
