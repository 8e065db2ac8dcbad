"""Allowance moved between gateways through the shared counter, safe whatever becomes of the counter.

`model` and `escrow` decide and do no I/O. docs/design/allowance.md holds the ways weighed and the proof.
"""
