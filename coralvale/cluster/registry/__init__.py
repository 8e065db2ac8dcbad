"""Which hosts there are, by life."""
