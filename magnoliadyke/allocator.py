"""Settings of the memory allocator of the C library."""

import ctypes

__all__ = ['return_freed_memory']

#: Parameter of glibc's mallopt: size from which an allocation is mapped by
#: itself, in bytes.  A value that is set is not raised by later frees.
M_MMAP_THRESHOLD = -3
MMAP_THRESHOLD_BYTES = 131072


def return_freed_memory() -> bool:
    """Have large allocations returned to the system when they are freed.

    Otherwise buffers that grow beside each other leave gaps of up to twice
    their size.

    :returns: whether the C library has such a setting
    """
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except AttributeError:
        return False
    return bool(mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES))
