"""Locks, leader election, counters, keys and watches for applications, on top of the replicated log."""
