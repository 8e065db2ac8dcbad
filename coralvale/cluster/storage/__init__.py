"""Durable storage: the replicated log, the view with its vote, and the snapshot."""
