"""Journal of attempts that must not run twice: where each was sent, how it ended, which must not be resent.

`model`, `frames`, `journal` and `query` do no I/O of their own: files are passed as an argument, so that
a test can interrupt them at any operation. docs/design/attempts.md compares the alternatives.
"""
