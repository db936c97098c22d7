"""Fingerprints that tell which client attempts belong to one request.

The id of a request is new for each client attempt, so that it can't tell that
a request comes again. Its method, host, target and body can. The address that
it comes from can't: a caller may have several.
"""

import xxhash

from auburnroad_core.http import messages


def build_fingerprint(request: messages.Request) -> str:
    """Build the fingerprint of a caller's request.

    Args:
      request: Request as the caller sent it.

    Returns:
      A hash of 128 bits in hexadecimal, equal for all client attempts of the
      same request at all gateways.
    """
    digest = xxhash.xxh3_128()
    for part in (
        request.method,
        request.headers.get('host', ''),
        request.target,
    ):
        digest.update(f'{len(part)}:{part}'.encode())
    digest.update(request.body)
    return digest.hexdigest()
