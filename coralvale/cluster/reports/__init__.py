"""Reports of zones in a large fleet: one sum for each zone in place of a word of each gateway."""
