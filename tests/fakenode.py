"""A node without sockets, for tests of the admin listener."""

import collections
import pathlib
import types

from falcon import testing

from magnoliadyke import admin
from magnoliadyke import clock as clocks
from magnoliadyke import configuration
from magnoliadyke.core import membership
from magnoliadyke.core import snapshot
from magnoliadyke.core import table
from magnoliadyke import dispatch
from magnoliadyke import duties
from magnoliadyke import gossip
from magnoliadyke import mailbox
from magnoliadyke import metrics
from magnoliadyke import settings as settings_module

DALA = pathlib.Path(__file__).parents[1] / 'examples' / 'dala.json'
TOKEN = 'demo-admin-token'
HOST = 'entry-1'
ENGINE = 'lease-model-1'
HEADERS = {'Authorization': f'Bearer {TOKEN}'}


class Answers:
    """Stands for a task: answers each kind of message as it was told."""

    def __init__(self):
        self.answers = {}
        self.asked = []

    def ask(self, message, timeout_s):
        self.asked.append(message)
        answer = self.answers[type(message)]
        if isinstance(answer, BaseException):
            raise answer
        return answer


def settings():
    """Return the settings of the Dala sample deployment."""
    return settings_module.load(DALA)


def make():
    """Return a node whose tasks answer as told."""
    node = types.SimpleNamespace(
        settings=settings(),
        host=HOST,
        incarnation=7,
        clock=clocks.ManualClock(),
        status=types.SimpleNamespace(takes_work=True),
        configuration=Answers(),
        duties=Answers(),
        keyvalue=types.SimpleNamespace(
            last_answer_s=999.0,
            counts=collections.Counter(get=3),
            failures=collections.Counter(),
        ),
    )
    node.metrics = metrics.Metrics(node.settings, node.host, node.clock)
    customers = {'lease': table.CustomerRow(met_share=0.95)}
    node.configuration.views = mailbox.Topic(
        table.View(12, customers, {}, {}, {})
    )
    node.configuration.documents = mailbox.Topic(
        types.SimpleNamespace(document=None)
    )
    node.configuration.permits = mailbox.Topic(configuration.WorkPermit(True))
    member = membership.Member(
        HOST, 7, '127.0.0.1', 7080, 7082, 'alm-medeu', table_revision=12
    )
    node.gossip = types.SimpleNamespace(
        members=mailbox.Topic(membership.MembersView({HOST: member})),
        standings=mailbox.Topic(gossip.Standing(0.0)),
    )
    node.dispatcher = Answers()
    node.dispatcher.demand = mailbox.Topic(dispatch.Demands({}))
    node.dispatcher.answers[dispatch.TakeSnapshot] = snapshot.Snapshot(
        {ENGINE: snapshot.EndpointSnapshot('up', 'decode', 3, 1, 0.5)},
        {'lease': snapshot.CustomerSnapshot(1, 2)},
    )
    engine = duties.EngineStatus(ENGINE, 'decode', 'prefill', 3, True, 999.0)
    change = (1.7e9, ENGINE, 'prefill')
    node.duties.answers[duties.ShowPoolStatuses] = {
        'lease-model': duties.PoolStatus(
            'lease-model', HOST, 5, (engine,), (change,)
        )
    }
    return node


def client(node):
    """Return a client of the node's admin routes that has the token."""
    return testing.TestClient(admin.create_application(node), headers=HEADERS)
