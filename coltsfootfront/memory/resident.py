"""Resident memory of the process, as the operating system counts it."""

import ctypes
import os
from abc import ABC, abstractmethod

STATM_PATH = "/proc/self/statm"
STATM_BYTES = 128
RESIDENT_FIELD = 1


class ResidentMemory(ABC):
    """Tells how much memory a process holds, whatever holds it."""

    @abstractmethod
    def start(self) -> None:
        """Prepare for readings.

        :raises OSError: if the figure cannot be read.
        """

    @abstractmethod
    def close(self) -> None:
        """Release what `start` has taken."""

    @abstractmethod
    def read_bytes(self) -> int:
        """Resident memory in bytes.

        :raises OSError: if the figure cannot be read.
        """

    @abstractmethod
    def trim(self) -> None:
        """Return freed memory that the allocator keeps to the operating system."""


class ProcessMemory(ResidentMemory):
    """Resident memory of this process."""

    __slots__ = ("_descriptor", "_page_bytes", "_trim")

    def __init__(self) -> None:
        self._descriptor = -1
        self._page_bytes = os.sysconf("SC_PAGE_SIZE")
        # An extension of the GNU C library.
        self._trim = getattr(ctypes.CDLL(None), "malloc_trim", None)

    def start(self) -> None:
        # Kept open, as a shortage of descriptors must not prevent a reading.
        self._descriptor = os.open(STATM_PATH, os.O_RDONLY | os.O_CLOEXEC)

    def close(self) -> None:
        if self._descriptor >= 0:
            os.close(self._descriptor)
            self._descriptor = -1

    def read_bytes(self) -> int:
        fields = os.pread(self._descriptor, STATM_BYTES, 0).split()
        return int(fields[RESIDENT_FIELD]) * self._page_bytes

    def trim(self) -> None:
        if self._trim is not None:
            self._trim(0)
