"""The docstrings that stand right under the attributes of a class."""

from __future__ import annotations

import ast
import inspect
import textwrap
from itertools import pairwise
from typing import Any


def attribute_docs(owner: type[Any]) -> dict[str, str]:
    """Return for each attribute the text under it, in one line.

    Attributes of the classes that ``owner`` inherits from are included.
    """
    found: dict[str, str] = {}
    for part in reversed(owner.__mro__[:-1]):
        if part.__module__.startswith("alderhatch"):
            found |= _own_docs(part)
    return found


def _own_docs(owner: type[Any]) -> dict[str, str]:
    tree = ast.parse(textwrap.dedent(inspect.getsource(owner)))
    body = tree.body[0].body if isinstance(tree.body[0], ast.ClassDef) else []
    found: dict[str, str] = {}
    for attribute, text in pairwise(body):
        if not isinstance(attribute, ast.AnnAssign) or not isinstance(attribute.target, ast.Name):
            continue
        if isinstance(text, ast.Expr) and isinstance(text.value, ast.Constant):
            found[attribute.target.id] = " ".join(str(text.value.value).split())
    return found
