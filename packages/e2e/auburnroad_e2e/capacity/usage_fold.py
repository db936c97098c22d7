"""Measures the fold of the usage records of a large deployment.

    python -m auburnroad_e2e.capacity.usage_fold

The figures depend on the machine, so that nothing is asserted.
"""

import time

import fire
import msgspec

from auburnroad_gateway.usage import fold
from auburnroad_gateway.usage import records

HOSTS = 300
ACCOUNTS = 75


def main(hosts: int = HOSTS, accounts: int = ACCOUNTS) -> None:
    """Fold a record of each slot of each host, and sum one window.

    Args:
      hosts: Number of hosts.
      accounts: Number of accounts with a request at each host.
    """
    counts = {f'account-{number:02}': 1 for number in range(accounts)}
    values = [
        (
            f'host-{host}',
            msgspec.msgpack.encode(
                fold.UsageRecord(
                    window,
                    {f'{host:032x}': fold.Entry(9, True, counts)},
                )
            ),
        )
        for host in range(hosts)
        for window in range(records.SLOTS)
    ]
    folded = fold.UsageFold()
    started = time.perf_counter()
    for host, value in values:
        folded.apply(
            host, msgspec.msgpack.decode(value, type=fold.UsageRecord)
        )
    folded_at = time.perf_counter()
    total = folded.sum_counts(0)
    summed_at = time.perf_counter()
    size = sum(len(value) for _, value in values)
    print(
        f'{hosts} hosts, {accounts} accounts: {len(values)} records,'
        f' {size / len(values):.0f} bytes each, {size / 1e6:.2f} MB;'
        f' folded in {(folded_at - started) * 1000:.0f} ms;'
        f' one window summed in {(summed_at - folded_at) * 1000:.1f} ms'
        f' ({sum(total.values())} requests)'
    )


if __name__ == '__main__':
    fire.Fire(main)
