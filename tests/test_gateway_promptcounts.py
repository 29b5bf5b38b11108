"""What a host counts and logs of prompts by their size."""

import logbook
import pytest

from tests import gatewayworld


@pytest.fixture
def world():
    with gatewayworld.world() as made:
        made.configure()
        yield made


def ask(world, request_id, tokens):
    return world.ask(
        '/chat/x', request_id=request_id, **gatewayworld.prompt((1, tokens))
    )


def test_prompts_are_counted_by_size_and_outcome(world):
    world.endpoint('d0', 'model', 'decode')
    node = world.node()
    assert ask(world, 'r1', 300).status == 200
    counts = node.placement_service.outcomes
    ((route, tokens, outcome),) = counts
    assert tokens == '512'
    assert outcome in ('in time', 'late')
    text = node.metrics.answer(b'GET', b'/metrics').body.decode()
    assert f'outcome="{outcome}",route="{route}",tokens="512"' in text


def test_refusal_names_the_times_that_decided_it(world):
    world.endpoint('p0', 'model', 'prefill')
    node = world.node()
    handler = logbook.TestHandler()
    with handler.applicationbound():
        assert ask(world, 'r1', 300).status == 503
    lines = [each.message for each in handler.records]
    (refused,) = (each for each in lines if 'event=prompt_refused' in each)
    (told,) = (each for each in lines if 'event=not_placed' in each)
    job = next(each for each in refused.split() if each.startswith('job='))
    assert job in told.split()
    for name in ('wait_ms=', 'need_ms=', 'left_ms='):
        assert name in refused
    ((route, tokens, outcome),) = node.placement_service.outcomes
    assert (tokens, outcome) == ('512', 'refused')
    reasons = node.placement_service.refusals
    assert [each[2] for each in reasons] == ['512']
