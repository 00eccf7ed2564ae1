"""Tests of sassafraspin."""
