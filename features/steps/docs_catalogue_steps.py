from __future__ import annotations

import re
from pathlib import Path

from behave import then

from alderhatch.log_events import LogEvent
from alderhatch.metric_catalogue import Metric
from tools.write_catalogues import pages

KNOWN_RANGES = (1000, 2000, 3000, 4000, 5000)
LINK = re.compile(r"\]\(([^)#\s]+)(?:#[^)]*)?\)")


@then('the catalogue page "{name}" equals the output of the generator')
def step_page(context, name):
    expected = {path.name: text for path, text in pages().items()}[name]
    actual = Path("docs", name).read_text()
    assert actual == expected, f"docs/{name} is out of date: run make catalogues and commit it"


@then("no two log events have the same number and each is in a known range")
def step_numbers(context):
    numbers = [event.number for event in LogEvent]
    assert len(set(numbers)) == len(numbers), sorted(numbers)
    assert all(number // 1000 * 1000 in KNOWN_RANGES for number in numbers)


@then("each metric of the catalogue is used in the code")
def step_metrics_used(context):
    code = "\n".join(
        path.read_text()
        for path in Path("src/alderhatch").rglob("*.py")
        if path.name != "metric_catalogue.py"
    )
    unused = [metric.name for metric in Metric if f"Metric.{metric.name}" not in code]
    assert unused == [], unused


@then("each relative link in the documentation points to a file that exists")
def step_links(context):
    broken_links = []
    doc_paths = [*Path("docs").rglob("*.md"), *Path(".").glob("*.md")]
    for path in doc_paths:
        for target in LINK.findall(path.read_text()):
            if "://" not in target and not (path.parent / target).exists():
                broken_links.append(f"{path}: {target}")
    assert broken_links == [], broken_links
