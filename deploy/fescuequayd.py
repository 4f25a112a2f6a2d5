"""Starts an instance from a checkout, without installing the packages of the workspace."""

import os
import pathlib
import sys

_ROOT = pathlib.Path(__file__).resolve().parent.parent

sys.path.insert(0, str(_ROOT / 'packages/fescuequay-core'))
sys.path.insert(0, str(_ROOT / 'packages/fescuequay-entry'))
sys.path.insert(0, str(_ROOT / 'platform'))

# No connection uses TLS, and the HTTP library would load all certificate authorities of the machine on import.
os.environ['SSL_CERT_FILE'] = os.devnull

from fescuequay_platform.cmdline import main  # noqa: E402 -- the import path must be set first

main()
