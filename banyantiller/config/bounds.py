"""Checks single values against the option that declares them."""

import re
from typing import Any

from banyantiller.config import checks
from banyantiller.config.options import Option
from banyantiller.config.problems import suggestion


def find_error(value: Any, option: Option) -> str:
    """Returns the error of a scalar under an option, or an empty text."""
    if isinstance(value, str):
        return _find_text_error(value, option)
    if isinstance(value, bool):
        return ""
    unit = f" {option.unit}" if option.unit else ""
    if option.low is not None and value < option.low:
        return f"{value} is below {option.low:g}{unit}."
    if option.high is not None and value > option.high:
        return f"{value} is above {option.high:g}{unit}."
    return ""


def _find_text_error(value: str, option: Option) -> str:
    if option.choices and value not in option.choices:
        allowed = ", ".join(option.choices)
        near = suggestion(value, option.choices)
        return f"'{value}' is not one of {allowed}.{near}"
    if option.pattern and not re.fullmatch(option.pattern, value):
        return f"'{value}' does not match the form {option.pattern}."
    error = checks.CHECKS[option.check](value) if option.check else ""
    return f"'{value}' {error}." if error else ""
