"""A laboratory: a whole platform on a virtual clock, experiments as files, reports one can look at.

The real decisions of `coralvale.Gateway` are played, by the actions they return, against a model of the
platform that knows the truth. `coralvale lab --help` is the way in; `docs/design/lab.md` says what the
model can tell.
"""
