"""The cluster: the whole gateway, with its own knowledge of hosts, nodes and configuration
(docs/design/cluster.md)."""
