"""Zone reports in a large fleet: one sum per zone instead of a gossip message from each gateway."""
