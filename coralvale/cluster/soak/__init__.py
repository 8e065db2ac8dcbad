"""The soak: a cluster of real processes under faults, its history, and rules checked against that history."""
