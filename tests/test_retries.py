"""Tests of retry budgets."""

from magnoliadyke.core import retries


def test_retries_stay_a_share_of_requests():
    # Every endpoint fails every request. Without a budget each would be
    # tried three times and the load would triple.
    budgets = retries.RetryBudgets()
    for _ in range(1000):
        budgets.deposit('lease', 0.1)
        budgets.withdraw('lease', 1)
        budgets.withdraw('lease', 2)
    assert budgets.retries <= 0.1 * 1000 + retries.INITIAL_RETRIES


def test_a_job_has_a_last_attempt_and_customers_their_own_budget():
    budgets = retries.RetryBudgets()
    assert not budgets.withdraw('lease', retries.MAX_ATTEMPTS)
    while budgets.withdraw('lease', 1):
        pass
    assert budgets.withdraw('portal', 1)
