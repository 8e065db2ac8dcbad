"""Routing of requests: route, key, rate limit, instance, retries, and what an error may promise."""
