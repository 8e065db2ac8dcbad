"""The configuration: its model, its checks, changes by name, lookup by prefix."""
