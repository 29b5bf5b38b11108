"""The host list shows what was true some seconds ago."""

import json
import unittest

from magnoliadyke.lab import hostlist
from magnoliadyke.lab import standin


class HostListTest(unittest.TestCase):
    def hosts(self, stand_in):
        request = standin.Request('GET', '/hosts', {}, {}, b'')
        rows = json.loads(stand_in.handle(request).body)['hosts']
        return {row['host']: row['state'] for row in rows}

    def test_a_change_shows_after_the_lag(self):
        row = {'host': 'a', 'state': 'live', 'address': '127.0.0.1'}
        for lag_s, shown in ((60.0, 'live'), (0.0, 'leaving')):
            stand_in = hostlist.HostListStandIn(hostlist.Spec([row], lag_s))
            stand_in.update_row({'host': 'a', 'state': 'leaving'})
            self.assertEqual({'a': shown}, self.hosts(stand_in))
