"""Shared health: what all gateways find of a copy, and what each concludes of it."""
