"""A journal of attempts that must not run twice: what was sent where, how it ended, what must not be sent again.

`model`, `frames`, `journal` and `query` decide and do no I/O: files come as an argument, so that a test can stop
them at any operation. docs/design/attempts.md holds the ways weighed.
"""
