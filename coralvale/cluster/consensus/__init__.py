"""Consensus: one replicated, totally ordered log among the gateways that have disks."""
