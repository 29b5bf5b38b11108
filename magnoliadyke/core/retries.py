"""Budget of second attempts, for each customer.

Every request adds its customer's ``retry_share`` to the budget and every
second attempt takes one off.  Retries can't grow faster than the load: when
endpoints fail one after another, a node that retried without end would
multiply the load exactly when there is least to serve it.
"""

__all__ = ['RetryBudgets']

#: Attempts of one job, the first included.
MAX_ATTEMPTS = 3
#: Most retries that a quiet time can save up.
MAX_SAVED_RETRIES = 20.0
#: What a customer begins with, so that its first failures are retried.
INITIAL_RETRIES = 2.0


class RetryBudgets:
    """Budgets of all customers on this node."""

    def __init__(self):
        self.saved = {}
        self.requests = 0
        self.retries = 0

    def deposit(self, customer, retry_share):
        """Account a first attempt."""
        self.requests += 1
        saved = self.saved.get(customer, INITIAL_RETRIES)
        self.saved[customer] = min(MAX_SAVED_RETRIES, saved + retry_share)

    def withdraw(self, customer, attempts):
        """Ask for one more attempt of a job.

        :param attempts: attempts that the job has had
        :returns: whether it may go on
        """
        saved = self.saved.get(customer, INITIAL_RETRIES)
        if saved < 1.0 or attempts >= MAX_ATTEMPTS:
            return False
        self.saved[customer] = saved - 1.0
        self.retries += 1
        return True
