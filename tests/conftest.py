"""Settings that all tests share."""

import gevent.monkey

gevent.monkey.patch_all()

import hypothesis  # noqa: E402

# The same verdict in every run: examples are derived from the test alone,
# and a slow machine must not fail a test.
hypothesis.settings.register_profile(
    'ci',
    derandomize=True,
    deadline=None,
    database=None,
    print_blob=False,
    suppress_health_check=list(hypothesis.HealthCheck),
)
hypothesis.settings.load_profile('ci')
