"""Attributes of packages whose modules are imported on first use."""

from collections.abc import Callable
from importlib import import_module
from typing import Any

__all__ = ["deferred_attributes"]


def deferred_attributes(package: str, modules: dict[str, str]) -> Callable[[str], Any]:
    """Return a ``__getattr__`` of a package that imports some attributes on first use.

    Instances import only what they run: the daemon for profiles, the checks of its
    settings and their libraries are no part of a routed instance.

    Parameters
    ----------
    package : str
        Name of the package.
    modules : dict
        Module that defines the attribute, by the attribute's name.
    """

    def get_attribute(name: str) -> Any:
        if name not in modules:
            raise AttributeError(f"module {package!r} has no attribute {name!r}")
        return getattr(import_module(modules[name]), name)

    return get_attribute
