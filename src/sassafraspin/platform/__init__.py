"""Adapter for the users' platform: decodes its settings and messages.

The names that the platform uses on the wire appear only in this package.
"""

from sassafraspin.platform.main import main

__all__ = ["main"]
