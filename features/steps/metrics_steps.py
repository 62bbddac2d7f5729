from __future__ import annotations

from behave import given, then, when

from alderhatch.metric_catalogue import Metric
from alderhatch.metrics import Metrics


def _samples(context):
    page = context.metrics.render()
    assert page.content_type.startswith("text/plain; version=0.0.4")
    lines = [line for line in page.body.decode().splitlines() if line and line[0] != "#"]
    return {line.rsplit(" ", 1)[0]: float(line.rsplit(" ", 1)[1]) for line in lines}


@given('metrics of a process named "{name}"')
def step_metrics(context, name):
    context.metrics = Metrics(name)


@when("these metric updates are made")
def step_updates(context):
    for row in context.table:
        metric = Metric[row["metric"]]
        labels = [label.strip() for label in row["labels"].split(",") if label.strip()]
        value = float(row["value"])
        match row["update"]:
            case "inc":
                context.metrics.inc(metric, *labels, by=value)
            case "set":
                context.metrics.set(metric, value, *labels)
            case "observe":
                context.metrics.observe(metric, value, *labels)


@when("the metrics page is rendered once")
def step_read_before(context):
    context.metrics.render()


@when("requests of {count:d} different rules are counted in the metrics")
def step_many_rules(context, count):
    for number in range(count):
        context.metrics.inc(Metric.ENTRY_REQUESTS, f"rule-{number}", "answered")


@when("the value of a metric source grows between two pages")
def step_source(context):
    sent = iter((5, 8))

    def copy_in():
        context.metrics.set(Metric.ENTRY_SHARD_REQUESTS, next(sent))

    context.metrics.add_source(copy_in)
    context.first_samples = _samples(context)


@then("the second metrics page shows the newer value")
def step_second_page(context):
    name = 'alderhatch_entry_shard_requests_total{process="control-1"}'
    assert context.first_samples[name] == 5
    assert _samples(context)[name] == 8


@then("the metrics page has these samples")
def step_samples(context):
    found = _samples(context)
    for row in context.table:
        assert abs(found[row["sample"]] - float(row["value"])) < 1e-9, (row["sample"], found)


@then("the metrics page shows the CPU time and the memory of the process")
def step_process(context):
    found = _samples(context)
    assert found['alderhatch_process_cpu_seconds_total{process="entry-1"}'] > 0
    assert found['alderhatch_process_max_resident_bytes{process="entry-1"}'] > 1024 * 1024


@then('the metrics page has {count:d} samples of "{name}"')
def step_count(context, count, name):
    found = [sample for sample in _samples(context) if sample.startswith(name + "{")]
    assert len(found) == count, len(found)


@then("a metric update with too few labels raises an error that names the labels")
def step_labels(context):
    try:
        context.metrics.inc(Metric.ENTRY_REQUESTS, "routine")
    except ValueError as exc:
        assert "outcome" in str(exc)
        return
    raise AssertionError("expected a ValueError")
