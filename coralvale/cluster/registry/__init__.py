"""The registry of hosts."""
