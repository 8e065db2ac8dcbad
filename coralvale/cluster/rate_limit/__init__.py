"""Distributed rate limiting of tenants: token shares, usage reports and leak rates."""
