"""Builds the trees that are compared.

A tree is written NAME=REVISION, with any number of changes behind plus signs:
NAME=REVISION+PATCH for a patch file, and NAME=REVISION+mutation:MUTATION or
NAME=REVISION+ablation:ABLATION for a mechanism that is switched off as
packages/e2e/mutations or packages/e2e/ablations say.
"""

import pathlib
import subprocess

import msgspec

from auburnroad_core import errors
from auburnroad_e2e import known_red
from auburnroad_e2e import mutations

ABLATIONS = known_red.ROOT / 'packages' / 'e2e' / 'ablations'


class TreeError(errors.AuburnroadError):
    """A tree that can't be built."""


class Ablation(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A mechanism of the gateway's decisions, and how it is switched off.

    Attributes:
      name: Short name.
      does: What the mechanism does.
      edits: Edits that switch it off.
    """

    name: str
    does: str
    edits: list[mutations.Edit]


class Tree(msgspec.Struct, frozen=True):
    """A revision of the project with changes.

    Attributes:
      name: Name of the tree.
      revision: Revision as git names it.
      changes: Paths of patches, and names of mutations and ablations with
        their prefix.
    """

    name: str
    revision: str
    changes: tuple[str, ...] = ()


def parse_tree(text: str) -> Tree:
    """Parse a tree as it is written on the command line.

    Raises:
      TreeError: If the text names no revision.
    """
    name, _, rest = text.partition('=')
    revision, *changes = rest.split('+')
    if not name or not revision:
        raise TreeError(f'{text!r} is not NAME=REVISION[+CHANGE...]')
    return Tree(name, revision, tuple(changes))


def build_tree(
    tree: Tree, repository: pathlib.Path, directory: pathlib.Path
) -> pathlib.Path:
    """Clone the repository and make the changes, unless that was done.

    Args:
      tree: The tree.
      repository: The repository.
      directory: Where trees are.

    Returns:
      Directory of the tree.

    Raises:
      TreeError: If git refuses, or an ablation is unknown.
      mutations.MutationError: If a mutation is unknown, or an edit does not
        fit.
    """
    built = directory / tree.name
    if built.exists():
        return built
    unfinished = directory / f'{tree.name}.part'
    directory.mkdir(parents=True, exist_ok=True)
    _run_git(directory, 'clone', '--quiet', str(repository), unfinished.name)
    _run_git(unfinished, 'checkout', '--quiet', tree.revision)
    for change in tree.changes:
        edits = _find_edits(change)
        for edit in edits:
            path = unfinished / 'packages' / edit.file
            path.write_text(mutations.mutate(path.read_text(), edit))
        if not edits:
            _run_git(unfinished, 'apply', str(pathlib.Path(change).resolve()))
    unfinished.rename(built)
    return built


def load_ablations() -> dict[str, Ablation]:
    """Read the ablations by name."""
    return {
        ablation.name: ablation
        for path in sorted(ABLATIONS.glob('*.json'))
        for ablation in msgspec.json.decode(
            path.read_bytes(), type=list[Ablation]
        )
    }


def _find_edits(change: str) -> list[mutations.Edit]:
    """Find the edits of a mutation or ablation; none of a patch."""
    kind, _, name = change.partition(':')
    if kind == 'mutation':
        (mutation,) = mutations.load_mutations((name,))
        return mutation.edits
    if kind == 'ablation':
        known = load_ablations()
        if name not in known:
            raise TreeError(f'unknown ablation {name!r}')
        return known[name].edits
    return []


def _run_git(directory: pathlib.Path, *arguments: str) -> None:
    done = subprocess.run(
        ['git', *arguments], cwd=directory, capture_output=True, text=True
    )
    if done.returncode:
        raise TreeError(f'git {arguments[0]}: {done.stderr.strip()}')
