"""HTTP/2 to hosts (RFC 9113): many requests over few connections, with exact reports of those not run."""
