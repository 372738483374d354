"""Fetches the tree as a controller sees it, page by page, over HTTP."""

import http.client
from typing import Any
from urllib.parse import quote

import msgspec

from quinceslip.protocol.settings import SettingsError, split_address

#: for each request
TIMEOUT_S = 5.0


def fetch(address: str) -> dict[str, Any]:
    """All pages of a controller's answer as one; raises SettingsError for an address that gives none."""
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
    # Bound: the levels of the tree; each page has some that come after those before it.
    while True:
        page = _fetch_page(connection, address, after)
        levels += page["levels"]
        if not page["more"] or not page["levels"]:
            return {**page, "levels": levels}
        after = levels[-1]["level"]


def _fetch_page(connection: http.client.HTTPConnection, address: str, after: str) -> dict[str, Any]:
    connection.request("GET", f"/quota?after={quote(after)}")
    answer = connection.getresponse()
    body = answer.read()
    if answer.status == http.HTTPStatus.NOT_FOUND:
        raise SettingsError(f"--from {address}: this controller has no quotas switched on")
    if answer.status != http.HTTPStatus.OK:
        raise SettingsError(f"--from {address}: answered {answer.status}; try again later")
    return msgspec.json.decode(body, type=dict[str, Any])
