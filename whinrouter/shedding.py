"""How much of the work asked for is let in while servers are overloaded, and which; no clock, no I/O.

Overload shows in a balancer's own answers. Each late one cuts the share of the work that is let in, each in
time lets it grow again. What is let in of that share is taken in the order of worth for work, by parts: a
part is a class, within its tenants' shares or beyond them.
"""

from __future__ import annotations

from random import Random

from whinrouter.interface import SECOND, Request, RequestClass, Settings

SHED_TIME_CONSTANT = SECOND // 2  # late answers for this long leave about a third of the share that is let in
MAX_RESULT_SPAN = (
    SECOND // 4
)  # an answer speaks for the time since the one before it, but for no longer than this
ALLOWANCE_BURST_SECONDS = 5  # seconds of its share that a tenant may save up

TrafficPart = tuple[str, bool]  # a class, and whether beyond its tenant's share


class LoadShedder:
    """The state of one balancer; it has an entry for each class and tenant of the settings."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._announced_classes = {request_class.name for request_class in settings.classes}
        self._class_worths: dict[str, float] = {}  # of a request, by class
        self._request_counts: dict[TrafficPart, int] = {}  # requests
        self._offered_work: dict[TrafficPart, float] = {}  # work asked for
        self._tenant_credit = {
            tenant: (allowance * ALLOWANCE_BURST_SECONDS, 0)
            for tenant, allowance in settings.allowances.items()
        }
        self.admitted_share = 1.0  # of the work asked for that is let in
        self._last_result_at = 0  # when an answer last moved it

    def with_settings(self, settings: Settings) -> LoadShedder:
        """The state of one with other settings: the share stays, and so does what known classes asked for."""
        fresh = LoadShedder(settings)
        fresh.admitted_share, fresh._last_result_at = self.admitted_share, self._last_result_at
        for part in (part for part in self._request_counts if part[0] in fresh._announced_classes):
            fresh._request_counts[part], fresh._offered_work[part] = (
                self._request_counts[part],
                self._offered_work[part],
            )
            fresh._class_worths[part[0]] = self._class_worths[part[0]]
        for tenant in fresh._tenant_credit.keys() & self._tenant_credit.keys():
            fresh._tenant_credit[tenant] = self._tenant_credit[tenant]
        return fresh

    def export_state(self) -> tuple[float, int]:
        """The share that is let in, and when an answer last moved it."""
        return self.admitted_share, self._last_result_at

    def restore_state(self, admitted_share: float, last_result_at: int) -> None:
        self.admitted_share, self._last_result_at = admitted_share, last_result_at

    def should_shed(
        self,
        event: Request,
        request_class: RequestClass,
        cost: float,
        now: int,
        has_no_feedback: bool,
        random: Random,
    ) -> bool:
        """Count a request, and say whether it is turned away; `blind`: nothing is out that could tell."""
        part = request_class.name, self._exceeds_allowance(event, now)
        self._class_worths[request_class.name] = request_class.worth
        self._request_counts[part] = self._request_counts.get(part, 0) + 1
        self._offered_work[part] = self._offered_work.get(part, 0.0) + cost
        if self.admitted_share == 1 or (has_no_feedback and now >= self._last_result_at + SHED_TIME_CONSTANT):
            return False
        return random.random() >= self._admission_probability(part)

    def record_result(self, in_time: bool, now: int) -> None:
        """An answer came, in time or late.

        Signs are weighed by time, not counted: one balancer that sees all and one of hundreds react alike.
        """
        previous, self._last_result_at = (
            self._last_result_at or now,
            now,
        )  # the first sign speaks for no time at all
        weight = min(now - previous, MAX_RESULT_SPAN) / SHED_TIME_CONSTANT
        self.admitted_share = (
            min(1.0, self.admitted_share + weight) if in_time else self.admitted_share * (1 - weight)
        )

    def _exceeds_allowance(self, event: Request, now: int) -> bool:
        """Whether it is beyond its tenant's share, as far as this balancer's part of that tells."""
        if event.tenant not in self._tenant_credit:
            return False
        rate = self._settings.allowances[event.tenant]
        credit, updated_at = self._tenant_credit[event.tenant]
        credit = min(rate * ALLOWANCE_BURST_SECONDS, credit + rate * (now - updated_at) / SECOND)
        self._tenant_credit[event.tenant] = max(0.0, credit - (not event.is_retry)), now
        return credit < 1

    def _admission_probability(self, part: TrafficPart) -> float:
        """The share of a part's requests that is let in."""
        work_before = 0.0
        for group in self._priority_groups():
            work = sum(self._offered_work[other] for other in group)
            if part in group:
                return (self.admitted_share * sum(self._offered_work.values()) - work_before) / work
            work_before += work
        return 1.0

    def _priority_groups(self) -> list[list[TrafficPart]]:
        """The parts in the order in which they are let in; those of one group are let in alike."""
        worth = {part: self._total_worth(part) for part in self._request_counts}

        def value(group: list[TrafficPart], bonus: float = 0.0) -> float:
            return (bonus + sum(worth[part] for part in group)) / sum(
                self._offered_work[part] for part in group
            )

        worst, bonus = self._worst_served(worth), self._settings.worst_class_weight * sum(worth.values())
        groups = [([part], value([part])) for part in worth if part not in worst]
        if worst:
            groups.append((worst, value(worst, bonus)))
        return [group for group, _ in sorted(groups, key=lambda entry: -entry[1])]

    def _worst_served(self, worth: dict[TrafficPart, float]) -> list[TrafficPart]:
        """The classes that are the worst served together; none where the worst counts for nothing.

        To let in the least is worth what that class is, and what the worst class counts for itself, until it
        is the least no longer: then the next stands beside it. What is beyond shares is in no such class.
        """
        bonus = self._settings.worst_class_weight * sum(worth.values())
        candidates = [part for part in worth if part[0] in self._announced_classes and not part[1]]
        candidates.sort(key=lambda part: worth[part] / self._offered_work[part])
        worst: list[TrafficPart] = []
        worst_worth, worst_work = bonus, 0.0
        for part in candidates if bonus else ():
            if worst and worst_worth / worst_work <= worth[part] / self._offered_work[part]:
                break
            worst.append(part)
            worst_worth, worst_work = worst_worth + worth[part], worst_work + self._offered_work[part]
        return worst

    def _total_worth(self, part: TrafficPart) -> float:
        worth_factor = self._settings.over_allowance_worth if part[1] else 1
        return self._class_worths[part[0]] * worth_factor * self._request_counts[part]
