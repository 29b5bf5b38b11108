"""Tests of magnoliadyke.responsestream: callers that read or send slowly."""

import re

import gevent
from gevent import socket

from tests import requestpath

FAST = {'prefill_s_per_token': 1e-5, 'decode_base_s': 0.0002}


def send(bench, body, length=None):
    """Send a completion request by hand; return the socket."""
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    connection.connect(bench.address())
    head = (
        'POST /v1/completions HTTP/1.1\r\nHost: x\r\n'
        f'Authorization: Bearer {requestpath.KEY}\r\n'
        f'Content-Length: {length or len(body)}\r\n'
        'Connection: close\r\n\r\n'
    )
    connection.sendall(head.encode() + body)
    return connection


def work(tokens):
    return (
        b'{"model":"lease-model","prompt":"p answer-tokens:%d",'
        b'"max_tokens":100000,"stream":true}' % tokens
    )


def test_a_slow_reader_gets_its_whole_answer():
    """The caller's buffers fill up; the node waits and goes on."""
    with requestpath.Bench(speeds=FAST) as bench:
        connection = send(bench, work(3000))
        gevent.sleep(1.0)
        answer = b''
        while True:
            data = connection.recv(5000)
            if not data:
                break
            answer += data
        assert answer.endswith(b'[DONE]\n\n\r\n0\r\n\r\n')
        text = b''.join(re.findall(rb'"text":"([^"]*)"', answer))
        assert text.decode() == requestpath.answer_of(3000)


def test_a_caller_that_stops_reading_is_cut_off():
    """A caller reads nothing more and keeps its connection open.

    Without a bound its answer would stay in memory for good.
    """
    with requestpath.Bench(speeds=FAST) as bench:
        limits = bench.settings.limits._replace(write_stall_s=0.3)
        front = bench.nodes['host-1'].callers
        front.settings = bench.settings._replace(limits=limits)
        connection = send(bench, work(6000))
        gevent.sleep(0.3)
        for _ in range(100):
            if not front.subscribers:
                break
            gevent.sleep(0.1)
        assert not front.subscribers
        connection.close()


def test_a_caller_that_stops_sending_is_cut_off():
    with requestpath.Bench() as bench:
        limits = bench.settings.limits._replace(read_s=0.2)
        front = bench.nodes['host-1'].callers
        front.settings = bench.settings._replace(limits=limits)
        connection = send(bench, work(3)[:20], 500)
        assert b'body_too_slow' in connection.recv(5000)


def test_a_body_that_is_too_large_is_rejected_unread():
    with requestpath.Bench() as bench:
        connection = send(bench, b'{', 10 << 30)
        assert b'body_too_large' in connection.recv(5000)
