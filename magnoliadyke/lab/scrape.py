"""Cost of a metrics scrape by the number of customers.

Usage: ``python -m magnoliadyke.lab.scrape SETTINGS``
"""

import sys
import time
import tracemalloc
import typing

import gevent

from magnoliadyke import clock as clocks
from magnoliadyke.core import burn
from magnoliadyke import metrics as metrics_module
from magnoliadyke import settings as settings_module

__all__ = ['Scrape', 'main', 'measure']

SIZES = (2, 30, 90, 270)
TIMINGS = burn.Timings(0.3, 0.05, 0.01)


class Scrape(typing.NamedTuple):
    """Cost of one metrics scrape.

    :param customers: number of customers with metrics
    :param state_bytes: memory of the counters
    :param text_bytes: size of the rendered page
    :param render_s: time to render the page
    :param longest_block_s: longest time for which rendering kept all other
        greenlets from running
    """

    customers: int
    state_bytes: int
    text_bytes: int
    render_s: float
    longest_block_s: float


class BlockingWatcher:
    """Greenlet that measures how long it is kept from running."""

    def __init__(self):
        self.longest_block_s = 0.0
        self.greenlet = gevent.spawn(self.run)
        gevent.sleep(0)

    def run(self):
        """Yield in an endless loop and record the longest wait."""
        while True:
            start_s = time.perf_counter()
            gevent.sleep(0)
            self.longest_block_s = max(
                self.longest_block_s, time.perf_counter() - start_s
            )


def measure(settings, customers: int) -> Scrape:
    """Record one request per customer, then render the metrics.

    :param settings: settings of any deployment
    :param customers: number of customers
    """
    clock = clocks.SystemClock()
    metrics = metrics_module.Metrics(settings, settings.hosts[0].name, clock)
    tracemalloc.start()
    for number in range(customers):
        metrics.record_request_end(f'c{number}', 'answered', TIMINGS, 9, 9)
    state_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    watcher = BlockingWatcher()
    start_s = time.perf_counter()
    text = metrics.render_prometheus()
    render_s = time.perf_counter() - start_s
    watcher.greenlet.kill()
    return Scrape(
        customers, state_bytes, len(text), render_s, watcher.longest_block_s
    )


def main(argv: list[str]) -> int:
    """Print the cost for each number of customers.

    :param argv: path of the settings file
    :returns: exit status
    """
    settings = settings_module.load(argv[0])
    for customers in SIZES:
        scrape = measure(settings, customers)
        print(
            f'{scrape.customers:4} customers: '
            f'{scrape.state_bytes / 1000:6.0f} KB of state, '
            f'{scrape.text_bytes / 1000:4.0f} KB of text in '
            f'{scrape.render_s * 1000:4.0f} ms, '
            f'longest block {scrape.longest_block_s * 1000:3.0f} ms'
        )
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
