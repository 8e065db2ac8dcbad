"""Hard ceilings shared by several gateways, which move unused rate among them through a shared counter.

The ceilings hold whatever the counter does. `model` and `escrow` make the decisions and do no I/O.
docs/design/allowance.md compares the alternatives and proves the bound.
"""
