"""Run a daemon from the source tree, without installing the package."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from sassafraspin.platform import main  # noqa: E402

if __name__ == "__main__":
    main()
