"""A model server refuses a request, and sends some refusals twice."""

import asyncio
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import standins  # noqa: E402

HOSTS = 3
STABLE_S = 3.0
#: Requests a second, of all clients.
RATE = 30
#: How often the disruptions come; how long a server is faulty, when another
#: one's handles begin to lapse meanwhile, and the pause after both.
TIMES = 6
FAULTY_S = 5.0
LAPSES_AFTER_S = 1.5
PAUSE_S = 4.0
#: Largest share of its answers that the faulty server sends twice.
TWICE_SHARE = 0.03
PROMISES = (408, 421, 429, 503)


async def send(record, hosts, name, answers, number):
    """Send one request that may run at most once."""
    request_id = standins.new_id()
    record.add('sent', id=request_id, to=name)
    headers = standins.request_headers(request_id, 2000) | {
        'X-Model': 'm',
        'X-Token-Counts': '9190,2',
        'X-Prompt-Prefix': f'a1:2520,b{number % 40:x}:3780,c{number:x}:2890',
    }
    status, _, _ = await standins.call(
        hosts.front(name), 'POST', '/review/1', headers, b'lease', 2.5
    )
    answers[request_id] = status
    record.add('answered', id=request_id, status=status)


async def usual_requests(record, hosts, answers):
    """Send the requests, each to the next host."""
    number = 0
    tasks = set()
    while True:
        name = hosts.names[number % HOSTS]
        number += 1
        task = asyncio.create_task(send(record, hosts, name, answers, number))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(1 / RATE)


async def play(record, trouble):
    """Return 1 if the rule was broken, 0 if it held."""
    net = standins.free_net()
    store = standins.Store(f'{net}.2.1:8142')
    await store.start()
    service = {
        'name': 'llm',
        'health_path': '/health',
        'max_conns': 180,
        'engine': {
            'slots': 16,
            'kv_tokens': 1531691,
            'token_kv_bytes': 163840,
            'link_mbps': 10000000.0,
            'kv_hold_s': 5.0,
            'stage_switch_s': 3.0,
            'models': [{'name': 'm'}],
        },
    }
    routes = [
        standins.route(
            'review',
            'streaming',
            'llm',
            sticky=True,
            timeout_ms=2000,
            target_latency_ms=150,
            gap_aim_ms=150,
        )
    ]
    store.put('op/config', standins.configuration(1, routes, [service]))
    peers = {}
    runs = {}
    plain_add = record.add

    def add(what, **fields):
        if what == 'runs':
            runs[fields['id']] = runs.get(fields['id'], 0) + 1
        plain_add(what, **fields)

    record.add = add
    stages = ('prefill', 'prefill', 'decode')
    engines = [
        standins.Engine(
            store,
            record,
            'llm',
            f'{net}.3.{number}:8000',
            f'zone-{number % 2}',
            stage,
            peers,
        )
        for number, stage in enumerate(stages, 1)
    ]
    for engine in engines:
        await engine.start()
    hosts = standins.Hosts(HOSTS, store.address, net)
    answers = {}
    try:
        for name in hosts.names:
            hosts.start(name)
        if not await hosts.wait_ready():
            record.add('not_run', why='a host is not ready')
            return 2
        usual = asyncio.create_task(usual_requests(record, hosts, answers))
        await asyncio.sleep(STABLE_S + 9.0)
        for number in range(TIMES):
            record.add('disruption', number=number, trouble=trouble)
            engines[2].send_twice(TWICE_SHARE if trouble else 0.0)
            await asyncio.sleep(LAPSES_AFTER_S)
            engines[0].lapses = trouble
            await asyncio.sleep(FAULTY_S - LAPSES_AFTER_S)
            engines[0].lapses = False
            engines[2].send_twice(0.0)
            await asyncio.sleep(PAUSE_S)
        usual.cancel()
        await asyncio.sleep(2.5)
    finally:
        hosts.end()
        for engine in engines:
            engine.stop()
        await store.stop()
    return judge(record, answers, runs)


def judge(record, answers, runs):
    """Return 1 if a request ran though the answer promises that it did not."""
    broken = [
        request_id
        for request_id, status in answers.items()
        if status in PROMISES and request_id in runs
    ]
    twice = [request_id for request_id, count in runs.items() if count > 1]
    for request_id in broken:
        record.add('broken', id=request_id, status=answers[request_id])
    statuses = {}
    for status in answers.values():
        statuses[status] = statuses.get(status, 0) + 1
    text = (
        f'{len(answers)} requests, answered {statuses}; {len(broken)} were '
        f'promised not to run and ran, {len(twice)} ran twice'
    )
    record.add('result', text=text)
    print(text)
    if not runs:
        return 2
    return 1 if broken or twice else 0


# With TROUBLE=0 all goes on without the disruption.
standins.main(play, FOLDER, os.environ.get('TROUBLE', '1') != '0')
