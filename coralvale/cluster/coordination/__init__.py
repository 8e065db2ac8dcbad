"""Locks, elections, numbers, keys and watches for applications, over the replicated log."""
