"""Tests of sassafraspin."""

from loguru import logger

logger.remove()
