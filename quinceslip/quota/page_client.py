"""HTTP client that fetches a controller's view of the quota tree page by page."""

import http.client
from typing import Any
from urllib.parse import quote

import msgspec

from quinceslip.protocol.settings import SettingsError, split_address

#: per request
TIMEOUT_S = 5.0


def fetch(address: str) -> dict[str, Any]:
    """Fetch all pages from a controller and merge them into one; raises SettingsError if a request fails."""
    try:
        host, port = split_address(address)
    except ValueError as error:
        raise SettingsError(f"--from {address}: {error}") from error
    connection = http.client.HTTPConnection(host, port, timeout=TIMEOUT_S)
    try:
        return _fetch_pages(connection, address)
    except (OSError, http.client.HTTPException, msgspec.DecodeError) as error:
        raise SettingsError(f"--from {address}: {error}") from error
    finally:
        connection.close()


def _fetch_pages(connection: http.client.HTTPConnection, address: str) -> dict[str, Any]:
    levels: list[dict[str, Any]] = []
    after = ""
    # Bound: the number of levels; each page continues after the last level of the page before.
    while True:
        page = _fetch_page(connection, address, after)
        levels += page["levels"]
        if not page["more"] or not page["levels"]:
            return {**page, "levels": levels}
        after = levels[-1]["level"]


def _fetch_page(connection: http.client.HTTPConnection, address: str, after: str) -> dict[str, Any]:
    connection.request("GET", f"/quota?after={quote(after)}")
    response = connection.getresponse()
    body = response.read()
    if response.status == http.HTTPStatus.NOT_FOUND:
        raise SettingsError(f"--from {address}: quotas are not enabled on this controller")
    if response.status != http.HTTPStatus.OK:
        raise SettingsError(f"--from {address}: unexpected HTTP status {response.status}; try again later")
    return msgspec.json.decode(body, type=dict[str, Any])
