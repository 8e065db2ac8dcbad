"""Final answers as syslog messages (RFC 5424).

`messages` writes and reads them, `queue` holds what waits for a receiver; neither does I/O. Transports, the
spool, the hook in the node and the search are still to come.
"""
