"""Randomized soak test: real processes, injected faults and checked invariants."""

from sassafraspin.soak.model import SoakReport, SoakSettings, Violation
from sassafraspin.soak.plan import plan_faults
from sassafraspin.soak.runner import run_soak

__all__ = ["SoakReport", "SoakSettings", "Violation", "plan_faults", "run_soak"]
