"""The server and the faults that all stand-ins share."""

import http.client
import io
import json
import os
import tempfile
import unittest

from magnoliadyke.lab import standin


class FaultsTest(unittest.TestCase):
    def test_a_fault_ends_with_its_time_or_count(self):
        faults = standin.Faults()
        faults.set('slow', {'for_s': 0})
        self.assertIsNone(faults.get('slow'))
        faults.set('lose_reply', {'count': 2})
        taken = [faults.consume('lose_reply') is not None for _ in range(3)]
        self.assertEqual([True, True, False], taken)


class LedgerTest(unittest.TestCase):
    def test_rows_outlive_the_process(self):
        with tempfile.TemporaryDirectory() as directory:
            path = os.path.join(directory, 'ledger')
            standin.Ledger(path).write('run', id='a')
            standin.Ledger(path).write('run', id='b')
            with open(path) as file:
                rows = [json.loads(line) for line in file]
        self.assertEqual(['a', 'b'], [row['id'] for row in rows])


class ServerTest(unittest.TestCase):
    def call(self, handle):
        """Answer of a handler, through the application."""
        server = standin.Server('127.66.2.1:7900', handle)
        self.addCleanup(server.stop)
        environ = {
            'REQUEST_METHOD': 'GET',
            'PATH_INFO': '/',
            'wsgi.input': io.BytesIO(),
            'lab.handler': self,
        }
        heads = []
        body = server.application(environ, lambda *head: heads.append(head))
        return heads, b''.join(body)

    def test_bad_requests_are_told_what_is_missing(self):
        def handle(request):
            return request.json()['id']

        heads, body = self.call(handle)
        self.assertEqual('400 Bad Request', heads[0][0])
        self.assertIn(b"'id' is missing", body)

    def test_a_dropped_connection_has_no_head(self):
        def handle(request):
            raise standin.DropConnection

        self.close_connection = False
        heads, body = self.call(handle)
        self.assertEqual(([], b''), (heads, body))
        self.assertTrue(self.close_connection)

    def test_it_serves_over_http(self):
        address = '127.66.2.2:7900'
        server = standin.Server(
            address, lambda request: standin.json_answer(200, request.path)
        )
        server.start()
        self.addCleanup(server.stop)
        connection = http.client.HTTPConnection('127.66.2.2', 7900, timeout=5)
        self.addCleanup(connection.close)
        connection.request('GET', '/a%20b')
        self.assertEqual(b'"/a b"', connection.getresponse().read())
