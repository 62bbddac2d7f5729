from __future__ import annotations

from pathlib import Path

from behave import then

from bench.capacity_goals import Goal, goals
from bench.capacity_sums import Slopes
from bench.slope import fit_slope


@then("a capacity slope through 1, 3 and 6 at the values 12, 16 and 22 is 10 + 2 x")
def step_slope(context):
    slope = fit_slope("line", "us", "item", (1, 3, 6), (12, 16, 22))
    assert abs(slope.base - 10) < 1e-9 and abs(slope.slope - 2) < 1e-9, slope
    assert abs(slope.fit - 1) < 1e-9 and abs(slope.at(100) - 210) < 1e-9, slope


@then("a capacity slope through two points is rejected")
def step_two_points(context):
    try:
        fit_slope("line", "us", "item", (1, 2), (1, 2))
    except ValueError:
        return
    raise AssertionError("expected ValueError for a slope through two points")


@then("docs/CAPACITY.md lists the limits of the capacity benchmark, each with the right verdict")
def step_goal_lines(context):
    slope = fit_slope("line", "us", "item", (1, 2, 3), (1, 2, 3))
    expected = [goal.name for goal in goals(Slopes(*[slope] * len(Slopes._fields)), 1.0)]
    lines = Path("docs/CAPACITY.md").read_text().splitlines()
    goal_lines = [line.split() for line in lines if line.startswith("goal ")]
    assert [fields[1] for fields in goal_lines] == expected, (goal_lines, expected)
    for fields in goal_lines:
        verdict = "met" if float(fields[2]) <= float(fields[3]) else "missed"
        assert fields[4] == verdict, fields


@then('a capacity goal of {value} against 1.0 is "{verdict}"')
def step_verdict(context, value, verdict):
    assert str(Goal("some-limit", float(value), 1.0)).endswith(f" {verdict}")
