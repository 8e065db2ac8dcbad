"""The platform: what gateways, hosts, the counter, discovery and clients do, on one queue of events."""
