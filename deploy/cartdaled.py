"""Start an entry instance from a checkout, without installing it."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'src'))

from cartdale.platform.main import main  # noqa: E402

main()
