"""Starts the router as it runs on the users' platform."""

import signal

# Changed settings end a process by default. They are read anew from time to time, so that one
# signal missed while the program loads loses nothing.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from coltsfootfront.platform.program import main  # noqa: E402 - the signal must not wait for it

if __name__ == "__main__":
    main()
