"""Starts the router as it runs on the users' platform."""

import gc
import signal

# Changed settings end a process by default. They are read anew from time to time, so that one
# signal missed while the program loads loses nothing.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
# Collecting garbage while modules load finds none, and took a fifth of the time of a start.
gc.disable()

from coltsfootfront.platform.program import main  # noqa: E402 - what stands above comes first

# What the modules made stays for good and need not be looked through again.
gc.freeze()
gc.enable()

if __name__ == "__main__":
    main()
