"""Start an entry instance from a checkout, without installing it."""

# The module `signal` takes longer to load than a signal may wait.
import _signal as signal

# A request to stop waits until the program obeys signals.
signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGTERM, signal.SIGINT))
# The settings are read at the start anyway; a request to read them again that
# comes before the program can take it must not end it. The others have no
# meaning here, and would end it too.
for _ignored in (
    signal.SIGHUP,
    signal.SIGUSR1,
    signal.SIGUSR2,
    signal.SIGALRM,
):
    signal.signal(_ignored, signal.SIG_IGN)

import gc  # noqa: E402
import sys  # noqa: E402
from pathlib import Path  # noqa: E402

# What is loaded stays; `spare_loaded_objects` ends the pause.
gc.disable()
sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'src'))

from cartdale.platform.main import main  # noqa: E402

main()
