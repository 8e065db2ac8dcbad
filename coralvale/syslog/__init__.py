"""Final answers as syslog messages (RFC 5424).

`messages` writes and reads them, `queue`, `delivery`, `spool`, `framing` and `sampling` decide what becomes
of them, `search` what is asked of files of them; none of these opens a socket or asks the time.
`transports`, `service` and `main` carry out.
"""
