"""External authorisation: a station's own service allows or denies its requests (envoy.service.auth.v3).

`checks` decides and does no I/O; `wire` reads and writes the messages; `service` asks over gRPC.
docs/design/authorisation.md weighs the ways.
"""
