"""Starts an instance from a checkout, without installing the packages of the workspace."""

import pathlib
import sys

_ROOT = pathlib.Path(__file__).resolve().parent.parent

sys.path.insert(0, str(_ROOT / 'packages/fescuequay-core'))
sys.path.insert(0, str(_ROOT / 'packages/fescuequay-entry'))
sys.path.insert(0, str(_ROOT / 'platform'))

from fescuequay_platform.cmdline import main  # noqa: E402 -- the import path must be set first

main()
