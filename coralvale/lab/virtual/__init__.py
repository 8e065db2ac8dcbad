"""The gateway's own node and sockets' code on virtual time, with a network in memory."""
