"""A session as text, without what differs between two runs.

Times, ids, addresses and the choice of replica are replaced by their kinds;
equal bytes stay comparable, since a session says itself whether two answers
were the same.
"""

import re

from auburnroad_core.http import client
from auburnroad_core.http import messages
from auburnroad_core import registry
from auburnroad_e2e import cluster as clusters

SESSIONS = registry.Registry('session')

TIMEOUT_SECONDS = 20.0
HIDDEN_HEADERS = ('content-length', 'transfer-encoding', 'connection')
PATTERNS = (
    (r'[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}', '<uuid>'),
    (r'\b[0-9a-f]{32}\b', '<id>'),
    (r'\b\d{1,3}(\.\d{1,3}){3}(:\d+)?\b', '<address>'),
    (r'/\S*/answers[a-z-]*\.json', '<answers>'),
    (r'\b\d{13}\b', '<ms>'),
    (r'\d{4}-\d\d-\d\d[ T]\d\d:\d\d:\d\d(\.\d+)?(Z|\+00:00)?', '<time>'),
    (r'\b(drafter-llm|notes-portal)-\d+\b', r'\1-<n>'),
)


def normalise(text: str) -> str:
    """Replace what differs between two runs.

    Args:
      text: A part of a session.

    Returns:
      The text with kinds in place of values.
    """
    for pattern, kind in PATTERNS:
        text = re.sub(pattern, kind, text)
    return '\n'.join(line.rstrip() for line in text.splitlines())


class Transcript:
    """Collects what was asked and what was answered."""

    __slots__ = ('cluster', '_parts')

    def __init__(self, cluster: clusters.Cluster):
        self.cluster = cluster
        self._parts: list[str] = []

    @property
    def text(self) -> str:
        """The session so far, normalised."""
        return normalise('\n\n'.join(self._parts)) + '\n'

    def add(self, text: str) -> None:
        """Add a part of the session."""
        self._parts.append(text)

    async def ask(self, entry: int, request: messages.Request) -> bytes:
        """Ask an entry and write down question and answer.

        Args:
          entry: Number of the entry.
          request: The question.

        Returns:
          The answer's body.
        """
        question = f'> {request.method} {request.target}'
        for name in ('idempotency-key', 'prefer'):
            if name in request.headers:
                question += f'\n> {name}: {request.headers[name]}'
        if request.body:
            question += f'\n> {request.body.decode()}'
        self.add(question)
        address = self.cluster.entries[entry]
        response = await self.cluster.http.fetch(
            address, request, TIMEOUT_SECONDS
        )
        self.add(f'< {response.status}{_show_headers(response)}')
        return response.body

    async def ask_plainly(self, entry: int, request) -> None:
        """Ask an entry and write the answer's body down as it is."""
        self.add((await self.ask(entry, request)).decode())

    async def run_client(self, *arguments: str) -> str:
        """Run the operators' client and write down what it printed.

        Args:
          arguments: Its command line.

        Returns:
          What it printed.
        """
        status, printed = await self.cluster.try_client(*arguments)
        self.add(f'$ auburnroad {" ".join(arguments)}')
        self.add(f'{printed.rstrip()}\n[exit {status}]')
        return printed


def build_request(
    method: str, target: str, value: object = None, **headers: str
) -> messages.Request:
    """Build a request of a session.

    Args:
      method: Method in upper case.
      target: Path with its query.
      value: Body for JSON, or None.
      headers: Further headers, with underscores in place of hyphens.

    Returns:
      The request.
    """
    named = {name.replace('_', '-'): text for name, text in headers.items()}
    return client.build_json_request(method, target, value, named)


def _show_headers(response: messages.Response) -> str:
    shown = sorted(
        (name, value)
        for name, value in response.headers.items()
        if name not in HIDDEN_HEADERS
    )
    return ''.join(f'\n< {name}: {value}' for name, value in shown)
