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


@then("a capacity slope through two points is refused")
def step_two_points(context):
    try:
        fit_slope("line", "us", "item", (1, 2), (1, 2))
    except ValueError:
        return
    raise AssertionError("two points were taken for a slope")


@then("docs/CAPACITY.md shows the same limits as the capacity bench, each with a verdict")
def step_goal_lines(context):
    slope = fit_slope("line", "us", "item", (1, 2, 3), (1, 2, 3))
    wanted = [goal.name for goal in goals(Slopes(*[slope] * len(Slopes._fields)), 1.0)]
    lines = Path("docs/CAPACITY.md").read_text().splitlines()
    shown = [line.split() for line in lines if line.startswith("goal ")]
    assert [words[1] for words in shown] == wanted, (shown, wanted)
    for words in shown:
        verdict = "met" if float(words[2]) <= float(words[3]) else "missed"
        assert words[4] == verdict, words


@then('a capacity goal of {value} against 1.0 is "{verdict}"')
def step_verdict(context, value, verdict):
    assert str(Goal("some-limit", float(value), 1.0)).endswith(f" {verdict}")
