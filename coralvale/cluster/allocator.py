"""How the C library's allocator returns memory to the system."""

from __future__ import annotations

import ctypes

M_MMAP_THRESHOLD = -3  # the parameter of mallopt(3)
MAPPED_BYTES = 32 * 1024  # from which an allocation is a mapping of its own


def return_large_allocations() -> bool:
    """Has large allocations returned to the system as they are freed; False where the C library has no choice.

    By default glibc raises its threshold up to 32 MB as it meets large allocations: pieces of bodies that are
    gone stay in its heap between small objects that are not.
    """
    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    return mallopt is not None and bool(mallopt(M_MMAP_THRESHOLD, MAPPED_BYTES))
