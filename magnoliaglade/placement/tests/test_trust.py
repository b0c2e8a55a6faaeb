from magnoliaglade import placement
from magnoliaglade.placement import Evidence, Observation
from magnoliaglade.types import JobId, WorkerId

WORKER = WorkerId("w")


def observe(trust, evidence, job="j", at_s=0.0):
    trust.partial_fit(
        [
            Observation(
                worker=WORKER, job=JobId(job), evidence=evidence, at_s=at_s
            )
        ]
    )


class TestTrust:
    def test_failures_of_two_jobs_quarantine_a_worker(self):
        # Guards against a worker that looks healthy but fails every run.
        trust = placement.TrustEstimator()
        observe(trust, Evidence.FAILURE, "a")
        assert not trust.is_quarantined(WORKER, 0.0)
        observe(trust, Evidence.FAILURE, "b", 0.5)
        assert trust.is_quarantined(WORKER, 0.5)

    def test_failures_of_one_job_do_not_quarantine_a_worker(self):
        # Guards against a faulty job that quarantines one worker after another.
        trust = placement.TrustEstimator()
        for at_s in range(5):
            observe(trust, Evidence.FAILURE, "a", float(at_s))
        assert not trust.is_quarantined(WORKER, 5.0)

    def test_one_stall_quarantines_a_worker(self):
        trust = placement.TrustEstimator()
        observe(trust, Evidence.STALL)
        assert trust.is_quarantined(WORKER, 0.0)

    def test_suspicion_decays_over_time(self):
        trust = placement.TrustEstimator()
        observe(trust, Evidence.STALL)
        assert not trust.is_quarantined(WORKER, 8.0)

    def test_success_reduces_suspicion(self):
        trust = placement.TrustEstimator()
        observe(trust, Evidence.FAILURE, "a")
        observe(trust, Evidence.SUCCESS, "b")
        observe(trust, Evidence.FAILURE, "c")
        assert not trust.is_quarantined(WORKER, 0.0)
