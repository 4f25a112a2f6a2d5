"""Starts an instance from a checkout, where the workspace's packages are not installed."""

import os
import pathlib
import sys

_ROOT = pathlib.Path(__file__).resolve().parent.parent

sys.path.insert(0, str(_ROOT / 'packages/fescuequay-core'))
sys.path.insert(0, str(_ROOT / 'packages/fescuequay-entry'))
sys.path.insert(0, str(_ROOT / 'platform'))

# No connection here uses TLS, and the HTTP library reads all certificate authorities of the machine when imported.
os.environ['SSL_CERT_FILE'] = os.devnull

from fescuequay_platform.cmdline import main  # noqa: E402 -- the path must be set first

main()
