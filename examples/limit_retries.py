"""Retries within a budget, with full jitter, on a virtual clock."""

import random

from magnoliaglade import clock as clock_lib
from magnoliaglade import requests


def main() -> None:
    """Prints how many of 200 failed requests are tried again."""
    clock = clock_lib.ManualClock()
    budget = requests.RetryBudget(clock=clock)
    rng = random.Random(1)
    retried = 0
    for _ in range(200):
        budget.note_request()
        if budget.try_spend():
            retried += 1
            requests.backoff_s(0, rng=rng)
    print(f"{retried} of 200 requests are tried again")


if __name__ == "__main__":
    main()
