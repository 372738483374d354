"""Start the quinceslip command line with the libraries that the build installed in target/deps."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent / "target" / "deps"))

from quinceslip.cli import main

if __name__ == "__main__":
    sys.exit(main())
