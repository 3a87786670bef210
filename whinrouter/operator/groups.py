"""Warnings about keyed classes whose group is not known of the hosts. No I/O.

A keyed request that may have run is repeated only at a host of the same group. Hosts of which the attribute
is not known share their record of keys with themselves alone, so that such a request is never repeated there.
"""

from __future__ import annotations

from collections.abc import Sequence

from whinrouter.operator.findings import Finding
from whinrouter.operator.host_lines import HostLine
from whinrouter.operator.loading import Loaded
from whinrouter.operator.model import Effect, Group


def group_warnings(loaded: Loaded, hosts: Sequence[HostLine]) -> list[Finding]:
    """Return a warning for each keyed class whose group some of these hosts lack.

    A warning does not refuse a configuration: nothing runs twice by it.
    """
    warnings = []
    for index, request_class in enumerate(loaded.model.request_class):
        lacking = _hosts_without(request_class.group, hosts)
        if request_class.effect is not Effect.KEYED or len(hosts) < 2 or not lacking:
            continue
        attribute = request_class.group.value
        reason = (
            f"The record of keys is shared by the hosts of a {attribute}, and {len(lacking)} of {len(hosts)} "
            f"hosts have no {attribute} ({lacking[0].address}): what may have run there is not sent again."
        )
        todo = f'Give each host its {attribute} in a host file, or set group to "all" if all hosts share it.'
        warnings.append(
            Finding(
                loaded.locate(("class", index, "group")),
                f"class.{request_class.name}.group",
                "unknown-group",
                reason,
                todo,
            )
        )
    return warnings


def _hosts_without(group: Group, hosts: Sequence[HostLine]) -> list[HostLine]:
    if group is Group.ALL:
        return []
    return [host for host in hosts if (not host.zone if group is Group.ZONE else host.cell is None)]
