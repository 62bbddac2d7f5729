"""Extracts the attribute docstrings of a class from its source."""

from __future__ import annotations

import ast
import inspect
import textwrap
from itertools import pairwise
from typing import Any


def attribute_docs(cls: type[Any]) -> dict[str, str]:
    """Return the docstring of each attribute, joined to one line.

    Attributes inherited from base classes defined in ``alderhatch`` are included.
    """
    docs: dict[str, str] = {}
    for base in reversed(cls.__mro__[:-1]):
        if base.__module__.startswith("alderhatch"):
            docs |= _own_docs(base)
    return docs


def _own_docs(cls: type[Any]) -> dict[str, str]:
    tree = ast.parse(textwrap.dedent(inspect.getsource(cls)))
    body = tree.body[0].body if isinstance(tree.body[0], ast.ClassDef) else []
    docs: dict[str, str] = {}
    for attribute, docstring in pairwise(body):
        if not isinstance(attribute, ast.AnnAssign) or not isinstance(attribute.target, ast.Name):
            continue
        if isinstance(docstring, ast.Expr) and isinstance(docstring.value, ast.Constant):
            docs[attribute.target.id] = " ".join(str(docstring.value.value).split())
    return docs
