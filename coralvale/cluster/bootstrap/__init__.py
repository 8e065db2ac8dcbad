"""Duties that one gateway does."""
