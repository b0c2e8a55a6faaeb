"""What the kernel allows the process, and what the process uses."""

import os
import resource

_MB = 1_000_000


def descriptor_limit() -> int:
    """Returns how many descriptors the process may open; 0 if not limited."""
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return 0 if limit == resource.RLIM_INFINITY else limit


def machine_memory_mb() -> int:
    """Returns the memory of the machine in MB."""
    return os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE") // _MB
