from __future__ import annotations

from behave import then
from hypothesis import given, settings
from hypothesis import strategies as st

from features.support.raft_schedule import KINDS, Action, run_schedule

WAITS = (0, 3, 5, 8, 20, 100, 400, 1500)
ACTIONS = st.lists(
    st.builds(
        Action,
        st.sampled_from(KINDS),
        st.integers(0, 20),
        st.integers(0, 100),
        st.sampled_from(WAITS),
    ),
    min_size=5,
    max_size=60,
)


@then("{count:d} random raft schedules break no promise")
def step_random_schedules(context, count):
    @settings(max_examples=count)
    @given(st.integers(0, 2**32), st.sampled_from((3, 5, 7)), ACTIONS)
    def keeps_promises(seed, size, actions):
        run_schedule(seed, size, actions)

    keeps_promises()
