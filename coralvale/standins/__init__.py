"""Stand-ins for all that a gateway or the control service meets, on loopback sockets.

Tests, the demo and the benchmarks share them. They are written from the protocol's description and import
nothing of what they test, so that a mistake there is not made twice.
"""
