"""Command accounts, which lists the accounts of a configuration file.

API keys are shown by their fingerprints only, as gateways show them.
"""

from auburnroad_client.commands import routes
from auburnroad_client import exit_codes
from auburnroad_client import options as client_options
from auburnroad_client import output
from auburnroad_gateway.accounts import registry
from auburnroad_gateway.model import configuration

Options = client_options.Options


async def show_accounts(options: Options, path: str) -> output.Report:
    """Show the accounts of a configuration with their key fingerprints.

    Args:
      options: Flags of the command.
      path: File with the configuration.

    Returns:
      A table.

    Raises:
      NotFoundError: If the file doesn't exist.
      BadInputError: If the file has no valid configuration, or gateways would
        not put it in force because of its accounts.
    """
    current = routes.read_configuration(path)
    try:
        registry.AccountRegistry(current)
    except registry.InvalidAccountsError as error:
        raise exit_codes.BadInputError(
            f'{path}: {error}', 'give each key to one account', []
        ) from error
    if current.accounts is None:
        return output.Report([], 'no accounts: callers need no keys')
    rows = [_build_row(account) for account in current.accounts]
    shown = [{**row, 'keys': ' '.join(row['keys'])} for row in rows]
    text = output.build_table(shown) if shown else 'an empty list of accounts'
    return output.Report(rows, text)


def _build_row(account: configuration.Account) -> dict:
    return {
        'account': account.name,
        'priority': account.priority,
        'keys': [registry.fingerprint(key) for key in account.keys],
    }
