"""The operator's file: settings of what is beyond the platform, off unless they are named."""

from coralvale.operator.model import (
    Allowance,
    Attempts,
    Authoriser,
    AuthoriserTls,
    Control,
    ControlAuthorisation,
    ControlLimits,
    ControlQuotas,
    ControlTls,
    Ledger,
    LedgerTls,
    Operator,
    OperatorError,
    Receiver,
    Syslog,
)
from coralvale.operator.read import read_operator

__all__ = [
    "Allowance",
    "Attempts",
    "Authoriser",
    "AuthoriserTls",
    "Control",
    "ControlAuthorisation",
    "ControlLimits",
    "ControlQuotas",
    "ControlTls",
    "Ledger",
    "LedgerTls",
    "Operator",
    "OperatorError",
    "Receiver",
    "Syslog",
    "read_operator",
]
