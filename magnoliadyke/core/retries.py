"""Retry budgets of the customers on one node.

Every request adds its customer's ``retry_share`` to the budget and every
retry takes one.  So retries stay a fixed share of the load: while endpoints
fail one after another, unlimited retries would multiply the load just when
the least capacity is left.
"""

__all__ = ['RetryBudgets']

#: Maximum attempts of one job, the first included.
MAX_ATTEMPTS = 3
#: Maximum retries that a customer can save up.
MAX_SAVED_RETRIES = 20.0
#: Initial budget of a customer, so that its first failures are retried.
INITIAL_RETRIES = 2.0


class RetryBudgets:
    """Retry budgets of all customers on this node.

    :ivar saved: retries left, by customer
    """

    def __init__(self):
        self.saved = {}
        self.requests = 0
        self.retries = 0

    def deposit(self, customer, retry_share):
        """Record a first attempt, which adds to the budget.

        :param retry_share: retries that each request allows
        """
        self.requests += 1
        saved = self.saved.get(customer, INITIAL_RETRIES)
        self.saved[customer] = min(MAX_SAVED_RETRIES, saved + retry_share)

    def withdraw(self, customer, attempts):
        """Take one retry from a customer's budget, if any is left.

        :param attempts: attempts that the job has had
        :returns: whether the job may be retried
        """
        saved = self.saved.get(customer, INITIAL_RETRIES)
        if saved < 1.0 or attempts >= MAX_ATTEMPTS:
            return False
        self.saved[customer] = saved - 1.0
        self.retries += 1
        return True
