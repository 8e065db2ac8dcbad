"""A ledger for billing: use by station, plan, class and period, exported once and only once.

`model` has the records, `book` and `export` decide, `log` keeps what happened on a disk; `service` carries out
beside a gateway's node, `main` for people.
"""
