"""Sockets: clients, hosts, operator, peers. They carry out and decide nothing."""
