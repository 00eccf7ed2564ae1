"""Adapter of the users' platform: decodes its settings and messages, and no more.

Every name that the platform uses on the wire stands in this package only.
"""

from sassafraspin.platform.main import main

__all__ = ["main"]
