"""A usage ledger for billing: use by station, plan, class and period, exported exactly once.

`model` defines the records, `book` and `export` decide, `log` stores the records on disk; `service` runs
the ledger next to a gateway's node, `main` is the command.
"""
