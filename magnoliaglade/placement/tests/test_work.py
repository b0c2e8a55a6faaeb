import pytest

from magnoliaglade import placement
from magnoliaglade.types import JobId, QueueName

QUEUE = QueueName("proofs")


def observed(*works, **parameters):
    estimator = placement.WorkEstimator(**parameters)
    return estimator.partial_fit(
        placement.WorkObservation(QUEUE, JobId(job), core_s)
        for job, core_s in works
    )


class TestWorkEstimator:
    # Guards against values that depend on jobs long gone, or on how often a job
    # that waits is seen.

    @pytest.mark.parametrize(
        ("works", "mean_core_s"),
        [
            ([], 0.0),
            ([("a", 2.0), ("b", 4.0)], 3.0),
            ([("a", 2.0), ("a", 6.0), ("b", 4.0)], 5.0),
            ([("a", 90.0), ("b", 2.0), ("c", 4.0), ("d", 6.0)], 4.0),
        ],
    )
    def test_mean_is_that_of_recent_jobs(self, works, mean_core_s):
        estimator = observed(*works, max_jobs=3)
        assert estimator.mean_core_s(QUEUE) == pytest.approx(mean_core_s)

    def test_queue_without_work_has_average_jobs(self):
        estimator = observed(("a", 0.0))
        queries = [(QUEUE, 0.0), (QueueName("other"), 5.0)]
        assert estimator.predict(queries) == [1.0, 1.0]

    @pytest.mark.parametrize(
        ("ratio", "value"), [(0.0, 0.3), (1.0, 1.0), (2.0, 1.7), (100.0, 4.0)]
    )
    def test_value_grows_with_the_work_up_to_a_limit(self, ratio, value):
        assert placement.job_value(ratio) == pytest.approx(value)
