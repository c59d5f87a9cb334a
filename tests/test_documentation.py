"""The examples in docstrings run and give the results that they show."""

import doctest
import importlib
import pkgutil

import pytest

import wigeonfront

MODULES = [
    module.name
    for module in pkgutil.walk_packages(wigeonfront.__path__, "wigeonfront.")
    if not module.name.endswith("__main__")
]
EMBEDDABLE = [name for name in MODULES if name.startswith("wigeonfront.coordination.")]


@pytest.mark.parametrize("name", MODULES)
def test_the_examples_of_a_module_pass(name):
    assert doctest.testmod(importlib.import_module(name)).failed == 0


@pytest.mark.parametrize("name", EMBEDDABLE)
def test_a_module_that_others_can_embed_has_an_example(name):
    found = doctest.DocTestFinder().find(importlib.import_module(name))
    assert any(docstring.examples for docstring in found)
