"""A new version adds a route that is split between two services."""

import asyncio
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import standins  # noqa: E402

HOSTS = 3
STABLE_S = 3.0
APPLY_S = 2.0
#: Requests a second to each of the two routes, and for how long.
RATE = 10
FOR_S = 20.0
FIRST = 'review'
ADDED = 'added'
#: Weights of the model service and of the plain one in the added route.
SPLIT = (10, 90)
MIN_REQUESTS = 20
MIN_SHARE = 0.25


class StreamingServer(standins.Server):
    """A plain server that answers with a stream of events."""

    async def run(self, target, request_id, body):
        """Run a request."""
        await asyncio.sleep(0.02)
        return b'id: 1\ndata: yes\n\n'

    def answer_headers(self):
        """Return further headers of its answers."""
        return {'Content-Type': 'text/event-stream'}


async def send(record, hosts, name, route, number, answers):
    """Send one request with a prompt."""
    request_id = standins.new_id()
    target = f'/{route}/1'
    record.add('sent', id=request_id, target=target, to=name)
    headers = standins.request_headers(request_id, 2000) | {
        'X-Model': 'm',
        'X-Token-Counts': '9190,2',
        'X-Prompt-Prefix': f'a1:2520,b{number % 40:x}:3780,c{number:x}:2890',
    }
    status, _, _ = await standins.call(
        hosts.front(name), 'POST', target, headers, b'lease', 2.5
    )
    answers.append(status)
    record.add('answered', id=request_id, status=status)


async def send_to_both(record, hosts, answers):
    """Send requests to both routes, each to the next host."""
    tasks = []
    for number in range(round(RATE * FOR_S)):
        name = hosts.names[number % HOSTS]
        for route in (FIRST, ADDED):
            tasks.append(
                asyncio.create_task(
                    send(record, hosts, name, route, number, answers[route])
                )
            )
        await asyncio.sleep(1 / RATE)
    await asyncio.gather(*tasks)


async def play(record, trouble):
    """Return 1 if the rule was broken, 0 if it held."""
    net = standins.free_net()
    store = standins.Store(f'{net}.2.1:8142')
    await store.start()
    model_service = {
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
    plain_service = {
        'name': 'portal',
        'health_path': '/health',
        'max_conns': 110,
    }
    services = [model_service, plain_service]
    usual = {
        'sticky': True,
        'timeout_ms': 2000,
        'target_latency_ms': 150,
        'gap_aim_ms': 150,
    }
    first = standins.route(FIRST, 'streaming', 'llm', **usual)
    if trouble:
        added = standins.route(ADDED, 'streaming', None, **usual)
        del added['service']
        added['traffic_split'] = [
            {'service': 'llm', 'weight': SPLIT[0]},
            {'service': 'portal', 'weight': SPLIT[1]},
        ]
    else:
        added = standins.route(ADDED, 'streaming', 'portal', **usual)
    store.put('op/config', standins.configuration(3, [first], services))
    peers = {}
    servers = [
        standins.Engine(
            store,
            record,
            'llm',
            f'{net}.3.{number}:8000',
            f'zone-{number % 2}',
            stage,
            peers,
        )
        for number, stage in enumerate(('prefill', 'prefill', 'decode'), 1)
    ]
    servers += [
        StreamingServer(
            store,
            record,
            'portal',
            f'{net}.4.{number}:8000',
            f'zone-{number % 2}',
        )
        for number in (1, 2, 3)
    ]
    for server in servers:
        await server.start()
    hosts = standins.Hosts(HOSTS, store.address, net)
    answers = {FIRST: [], ADDED: []}
    try:
        for name in hosts.names:
            hosts.start(name)
        if not await hosts.wait_ready():
            record.add('not_run', why='a host is not ready')
            return 2
        await asyncio.sleep(STABLE_S + 2.0)
        routes = [first, added]
        store.put('op/config', standins.configuration(7, routes, services))
        record.add('config', version=7, added=added)
        await asyncio.sleep(APPLY_S + STABLE_S)
        await send_to_both(record, hosts, answers)
    finally:
        hosts.end()
        for server in servers:
            server.stop()
        await store.stop()
    return judge(record, answers)


def judge(record, answers):
    """Return 1 if the added route is served too seldom, else 0."""
    shares = {}
    for route, statuses in answers.items():
        counts = {each: statuses.count(each) for each in sorted(set(statuses))}
        shares[route] = statuses.count(200) / max(1, len(statuses))
        record.add('result', route=route, answers=counts)
        print(f'{route}: {len(statuses)} requests, answered {counts}')
    if len(answers[ADDED]) < MIN_REQUESTS or not shares[FIRST]:
        return 2
    return 1 if shares[ADDED] < MIN_SHARE * shares[FIRST] else 0


# With TROUBLE=0 all goes on without the disruption.
standins.main(play, FOLDER, os.environ.get('TROUBLE', '1') != '0')
