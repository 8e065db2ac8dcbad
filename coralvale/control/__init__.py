"""The control service: roster, drains and quotas handed to other proxies through xDS v3 and RLQS.

`stream`, `roster`, `snapshots`, `drains` and `quotas` decide and do no I/O; `resources` and `wire` turn types
to protobuf and back; `store` keeps a file; `service` carries out. docs/design/control.md says why.
"""
