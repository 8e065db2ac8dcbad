"""The first start of a system: which gateway creates the core."""
