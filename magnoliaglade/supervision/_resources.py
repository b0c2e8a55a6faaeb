"""What the kernel allows the process, and what the process uses."""

import os
import pathlib
import resource

_MB = 1_000_000
_STATM_PATH = pathlib.Path("/proc/self/statm")


def descriptor_limit() -> int:
    """Returns how many descriptors the process may open; 0 if not limited."""
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return 0 if limit == resource.RLIM_INFINITY else limit


def machine_memory_mb() -> int:
    """Returns the memory of the machine in MB."""
    return os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE") // _MB


def resident_bytes() -> int:
    """Returns the memory that the process uses; 0 if it is not known."""
    try:
        pages = int(_STATM_PATH.read_text().split()[1])
    except (OSError, ValueError, IndexError):
        return 0
    return pages * os.sysconf("SC_PAGE_SIZE")
