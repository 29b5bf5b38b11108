"""Model of hosts that tell each other what crashed endpoints.

It drives :mod:`magnoliadyke.core.crashcauses`.  Run as a program it compares
ways to decide what is barred: ``python -m magnoliadyke.lab.crashmodel``.
"""

from collections.abc import Collection
import heapq
import itertools
import math
import multiprocessing
import random
from typing import Callable
from typing import NamedTuple

from magnoliadyke.core import crashcauses

__all__ = ['ROUTE', 'WAYS', 'Fleet', 'Rates', 'main']

#: Software of all endpoints.
SOFTWARE = 'model v1'
#: Time that a run takes until it is answered or its endpoint crashes, in
#: seconds.
RUN_S = 0.05
#: Size of the model, if no other is given.
HOSTS = 4
ENDPOINTS = 6
RESTART_S = 1.0
#: Time from a crash until its hosts see it, in seconds.
DETECTION_S = 0.002
#: Range of the time that a message takes, in seconds.
DELAY_S = (0.001, 0.003)
STEP_S = 0.02
#: Steps between two repetitions of what hosts know.
REPEAT_STEPS = 25
#: How long a host is cut off from the others, in seconds.
CUT_S = 2.0
#: Number of parts that sound requests choose from, the first ones more often.
SOUND_PARTS = 20


def _part(name: str) -> crashcauses.Cause:
    return crashcauses.Cause(True, name.encode())


#: Part that all prompts begin with.
ROUTE = _part('route')


class _Run(NamedTuple):
    """A run under way at an endpoint."""

    host: int
    causes: tuple[crashcauses.Cause, ...]
    sent_s: float


class Rates(NamedTuple):
    """How often something happens, per second.

    :param guilty: requests with a part that crashes endpoints
    :param crashes: crashes of other causes, of one or more endpoints at once
    :param sound: requests without such a part
    :param cuts: cuts of a host from all others
    :param starts: kills of a host, which starts again at once
    """

    guilty: float = 0.0
    crashes: float = 0.0
    sound: float = 40.0
    cuts: float = 0.0
    starts: float = 0.0


class Fleet:
    """Hosts that tell each other of crashes by messages that may be lost.

    :param seed: seed of all that is drawn
    :param guilty: parts that crash endpoints
    :param loss: share of messages that are lost
    :param decide: class that decides what is barred
    :ivar messages: messages on their way, as (due, number, host, function)
    :ivar runs: runs under way by endpoint, the oldest first
    :ivar cut_until_s: until when each host is cut off from the others
    :ivar ended: number of endpoints that a guilty part ended, by part
    :ivar served: number of sound requests that were answered
    :ivar refused: number of sound requests that were refused
    """

    def __init__(
        self,
        seed: int,
        guilty: frozenset[crashcauses.Cause],
        loss: float,
        hosts: int = HOSTS,
        endpoints: int = ENDPOINTS,
        decide: type[crashcauses.CrashCauses] = crashcauses.CrashCauses,
    ) -> None:
        self.rng = random.Random(seed)
        self.now_s = 10.0
        self.loss = loss
        self.guilty = guilty
        self.decide = decide
        self.hosts = [self._new_host(hosts) for _ in range(hosts)]
        self.cut_until_s = [0.0] * hosts
        self.starts = [0] * endpoints
        self.up_from_s = [0.0] * endpoints
        self.runs: list[list[_Run]] = [[] for _ in range(endpoints)]
        self.messages: list[tuple[float, int, int, Callable]] = []
        self.numbers = itertools.count()
        self.ended = dict.fromkeys(guilty, 0)
        self.served = self.refused = 0

    def _new_host(self, hosts: int) -> crashcauses.CrashCauses:
        made = self.decide()
        made.hosts = hosts
        return made

    def play(self, seconds: float, rates: Rates) -> None:
        """Play a span of time."""
        actions = (
            (rates.guilty, self._send_guilty),
            (rates.sound, self._send_sound),
            (rates.crashes, self._crash_some),
            (rates.cuts, self._cut_host),
            (rates.starts, self._restart_host),
        )
        for step in range(int(seconds / STEP_S)):
            self._pass_time(STEP_S)
            for rate, act in actions:
                if self.rng.random() < rate * STEP_S:
                    act()
            if step % REPEAT_STEPS == 0:
                self._repeat()

    def has_barred(self, cause: crashcauses.Cause) -> bool:
        """Return whether a host bars a cause."""
        return any(cause in bar for own in self.hosts for bar in own.bars)

    # Messages.

    def _tell(self, sender: int, receive: Callable) -> None:
        for host in range(len(self.hosts)):
            lost = self.rng.random() < self.loss or any(
                self.cut_until_s[each] > self.now_s for each in (sender, host)
            )
            if host != sender and not lost:
                due_s = self.now_s + self.rng.uniform(*DELAY_S)
                message = (due_s, next(self.numbers), host, receive)
                heapq.heappush(self.messages, message)

    def _tell_states(
        self, sender: int, states: list[crashcauses.CauseState]
    ) -> None:
        def receive(causes: crashcauses.CrashCauses, now_s: float) -> None:
            for state in states:
                causes.merge(state, now_s)

        if states:
            self._tell(sender, receive)

    def _repeat(self) -> None:
        """Hosts repeat what they know, and clear what others suspect."""
        for host, own in enumerate(self.hosts):
            self._tell_states(host, own.states(8))
            states = own.untold_answers(list(own.records))
            own.record_told(states)
            self._tell_states(host, states)

    # Time.

    def _pass_time(self, for_s: float) -> None:
        """Let messages arrive and runs end in their order."""
        until_s = self.now_s + for_s
        while True:
            message_s = self.messages[0][0] if self.messages else math.inf
            end_s, endpoint = min(
                (
                    (runs[0].sent_s + RUN_S, number)
                    for number, runs in enumerate(self.runs)
                    if runs
                ),
                default=(math.inf, 0),
            )
            if min(message_s, end_s) > until_s:
                break
            self.now_s = max(self.now_s, min(message_s, end_s))
            if message_s <= end_s:
                _, _, host, receive = heapq.heappop(self.messages)
                receive(self.hosts[host], self.now_s)
            else:
                self._finish(endpoint)
        self.now_s = until_s

    def _finish(self, endpoint: int) -> None:
        """The oldest run of an endpoint ends, and maybe the endpoint."""
        run = self.runs[endpoint][0]
        guilty = self.guilty.intersection(run.causes)
        if guilty:
            for cause in guilty:
                self.ended[cause] += 1
            self._crash(endpoint)
            return
        del self.runs[endpoint][0]
        self.served += 1
        own = self.hosts[run.host]
        own.record_answer(run.causes, SOFTWARE, self.now_s)
        states = own.untold_answers(run.causes)
        own.record_told(states)
        self._tell_states(run.host, states)

    def _crash(self, endpoint: int) -> None:
        """An endpoint ends with all that runs there."""
        name = f'e{endpoint}~{self.starts[endpoint]}'
        at_s = self.now_s + DETECTION_S
        self.starts[endpoint] += 1
        self.up_from_s[endpoint] = self.now_s + RESTART_S
        broken, self.runs[endpoint] = self.runs[endpoint], []
        for run in broken:
            own = self.hosts[run.host]
            own.record_broken_run(run.causes, name, SOFTWARE, run.sent_s, at_s)
            crash = crashcauses.Crash(at_s, SOFTWARE, run.sent_s)
            suspected = own.uncleared(run.causes, SOFTWARE, at_s)
            crashes = dict.fromkeys(suspected, crash)

            def receive(
                causes: crashcauses.CrashCauses,
                now_s: float,
                crashes: dict = crashes,
            ) -> None:
                causes.record_crashes(crashes, name, now_s)

            self._tell(run.host, receive)

    # What happens.

    def _send(self, parts: tuple[crashcauses.Cause, ...]) -> None:
        """A request comes to a host, and waits for a verdict there."""
        host = self.rng.randrange(len(self.hosts))
        own_content = b'r%d' % next(self.numbers)
        causes = (*parts, crashcauses.Cause(False, own_content))
        verdict = self.hosts[host].verdict(causes, SOFTWARE, self.now_s)
        if isinstance(verdict, crashcauses.Settling):
            self._pass_time(verdict.wait_s + 1e-6)
            verdict = self.hosts[host].verdict(causes, SOFTWARE, self.now_s)
        if isinstance(verdict, crashcauses.Barred):
            states = self.hosts[host].start_trial(causes, self.now_s)
            if not states:
                self.refused += self.guilty.isdisjoint(causes)
                return
            self._tell_states(host, states)
        up = [
            number
            for number, up_s in enumerate(self.up_from_s)
            if up_s <= self.now_s
        ]
        if up:
            run = _Run(host, causes, self.now_s)
            self.runs[self.rng.choice(up)].append(run)

    def _send_guilty(self) -> None:
        if self.guilty:
            self._send((ROUTE, self.rng.choice(sorted(self.guilty))))

    def _send_sound(self) -> None:
        number = min(self.rng.randrange(SOUND_PARTS) for _ in range(2))
        self._send((ROUTE, _part(f's{number}')))

    def _crash_some(self) -> None:
        """Endpoints end for a reason of their own, at one moment."""
        count = self.rng.choice((1, 1, 2, len(self.runs)))
        for endpoint in self.rng.sample(range(len(self.runs)), count):
            if self.up_from_s[endpoint] <= self.now_s:
                self._crash(endpoint)

    def _cut_host(self) -> None:
        host = self.rng.randrange(len(self.hosts))
        self.cut_until_s[host] = self.now_s + CUT_S

    def _restart_host(self) -> None:
        host = self.rng.randrange(len(self.hosts))
        self.hosts[host] = self._new_host(len(self.hosts))


class _Simple(crashcauses.CrashCauses):
    """Bars each cause by itself, by a test of its crashes."""

    clears = True

    def _counts(self, cause, crash, answers) -> bool:
        return not self.clears or super()._counts(cause, crash, answers)

    def _update(self, now_s: float) -> None:
        self._expire(now_s)
        bars = {}
        for cause, record in self.records.items():
            counted = self._counted(cause, record, self.answers)
            if self._bars(cause, counted, now_s):
                bar = frozenset((cause,))
                known = self.bars.get(bar)
                since_s = known.since_s if known else now_s
                bars[bar] = crashcauses.Bar(bar, since_s, False)
        self.bars = bars

    def _bars(self, cause, counted: Collection, now_s: float) -> bool:
        return len(counted) >= crashcauses.MIN_CRASHES


class _Count(_Simple):
    """Counts crashes; answers clear nothing."""

    clears = False


class _Intersection(_Simple):
    """Bars what was present at all crashes and is not cleared."""

    def _bars(self, cause, counted: Collection, now_s: float) -> bool:
        return len(counted) >= 2 and len(counted) >= len(self.crashed_s)


class _LikelihoodRatio(_Simple):
    """Bars what is a thousand times likelier to crash than other runs."""

    def _bars(self, cause, counted: Collection, now_s: float) -> bool:
        if len(counted) < 2:
            return False
        since_s = min(crash.at_s for crash in counted.values()) - 1.0
        broken = sum(run.at_s >= since_s for run in self.broken_runs)
        answered = self.answers_since(SOFTWARE, since_s, self.own_answered)
        chance = (broken + 1) / (broken + answered + 2)
        return len(counted) * math.log(1 / chance) >= math.log(1000)


#: Ways to decide, by name.
WAYS = {
    'count': _Count,
    'count since the last answer': _Simple,
    'intersection': _Intersection,
    'likelihood ratio': _LikelihoodRatio,
    'chosen': crashcauses.CrashCauses,
}
#: Sizes as (hosts, endpoints, sound requests per second).
SIZES = ((4, 6, 40.0), (16, 60, 45.0))
CASES = {
    'one guilty part, 1.5/s': (1, Rates(1.5, 0.2)),
    'two guilty parts, 1.5/s': (2, Rates(1.5, 0.2)),
    'four guilty parts, 5/s': (4, Rates(5.0, 0.2)),
    'one, cuts and starts': (1, Rates(1.5, 0.2, cuts=0.2, starts=0.1)),
    'none guilty, 1 crash/s': (0, Rates(0.0, 1.0)),
    'none guilty, 3 crashes/s': (0, Rates(0.0, 3.0)),
}


def _play_case(arguments: tuple) -> tuple[int, float, bool]:
    way, size, case, seed = arguments
    hosts, endpoints, sound = size
    count, rates = CASES[case]
    guilty = frozenset(_part(f'g{n}') for n in range(count))
    fleet = Fleet(seed, guilty, 0.05, hosts, endpoints, WAYS[way])
    fleet.play(15.0, rates._replace(sound=sound))
    barred = any(own.bars for own in fleet.hosts)
    asked = max(1, fleet.refused + fleet.served)
    return max(fleet.ended.values(), default=0), fleet.refused / asked, barred


def main(seeds: int = 20) -> None:
    """Print a table of ways, sizes and cases."""
    for size in SIZES:
        for case in CASES:
            for way in WAYS:
                work = [(way, size, case, seed) for seed in range(seeds)]
                with multiprocessing.Pool(4) as pool:
                    found = pool.map(_play_case, work)
                ended = [each[0] for each in found]
                print(
                    f'| {size[0]}/{size[1]} | {case} | {way} '
                    f'| {sum(ended) / seeds:.1f} | {max(ended)} '
                    f'| {sum(each[1] for each in found) / seeds:.3f} '
                    f'| {sum(each[2] for each in found)} of {seeds} |',
                    flush=True,
                )


if __name__ == '__main__':
    main()
