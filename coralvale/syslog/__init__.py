"""Final answers as syslog messages (RFC 5424).

`messages` writes and reads them and does no I/O. Transports, the queue and the search are still to come.
"""
