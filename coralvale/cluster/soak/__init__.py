"""The soak test: runs a cluster of real processes under faults, records a history, and checks rules on it."""
