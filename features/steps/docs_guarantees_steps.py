from __future__ import annotations

import re
from pathlib import Path

from behave import then

ROOT = Path(__file__).resolve().parents[2]


@then("each feature named by docs/GUARANTEES.md exists")
def step_named_features(context):
    page = (ROOT / "docs" / "GUARANTEES.md").read_text()
    rows = [line for line in page.splitlines() if line.startswith("| ") and "`" in line]
    named = {name for row in rows for name in re.findall(r"`([a-z_]+)`", row)}
    existing = {path.stem for path in (ROOT / "features").glob("*.feature")}
    assert len(named) > 15
    assert named <= existing, named - existing
