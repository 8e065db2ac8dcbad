"""A request's way: route, key, restrictor, host, tries, what may be promised."""
