"""Tests of the benchmark of replica reads."""

from benchmarks import bench_replica_reads


def test_run_reports_reads_of_both_kinds_of_callers():
    """Guards against a benchmark that breaks when the fault simulation changes."""
    report = bench_replica_reads.run_lag(1, 0.0, load_seconds=6.0)
    assert report["violations"] == []
    assert report["reads"]["page.reader.bounded"]["count"] > 0
    assert report["reads"]["order.writer.session"]["count"] > 0
