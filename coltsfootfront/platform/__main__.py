"""Starts the router as it runs on the users' platform."""

import gc
import signal

# SIGHUP announces changed settings; its default action would end the process. The settings file is
# also polled, so a signal that is ignored while modules load loses no change.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
# Garbage collection during the imports frees nothing and takes a fifth of the start-up time.
gc.disable()

from coltsfootfront.platform.program import main  # noqa: E402 - needs the set-up above

# Module-level objects live as long as the process, so later collections skip them.
gc.freeze()
gc.enable()

if __name__ == "__main__":
    main()
