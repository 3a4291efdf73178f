"""Start the program on a network that loses paths to upstreams when told.

``python cut_program.py FILE``: run by the soak, as the program itself is. The
file is that of ``cut_network.py``.
"""

import signal
import sys
from pathlib import Path

# As the program does, before a request to read its settings can end it.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
_ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(_ROOT))
sys.path.insert(0, str(_ROOT / 'src'))

from cartdale.platform.main import main  # noqa: E402
from tests.fault_soak.cut_network import Cuts, install  # noqa: E402

if __name__ == '__main__':
    install(Cuts(Path(sys.argv[1])))
    main()
