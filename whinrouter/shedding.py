"""Load shedding: how much of the offered work is admitted under overload, and which; no clock, no I/O.

Overload shows in a balancer's own answers: each late answer cuts the admitted share of the work, each answer
in time raises it. Requests are admitted up to that share, in the order of worth per work. For this the
traffic is divided into parts: each class within its tenants' allowances, and each class beyond them.
"""

from __future__ import annotations

from random import Random

from whinrouter.interface import SECOND, Request, RequestClass, Settings

SHED_TIME_CONSTANT = SECOND // 2  # late answers over this time leave about a third of the admitted share
# An answer is weighted by the time since the previous answer, but by no more than this.
MAX_RESULT_SPAN = SECOND // 4
ALLOWANCE_BURST_SECONDS = 5  # a tenant may accumulate this many seconds of its allowance

TrafficPart = tuple[str, bool]  # a class, and whether the request exceeds its tenant's allowance


class LoadShedder:
    """The load shedder of one balancer; its memory is bounded by the classes and tenants of the settings."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._announced_classes = {request_class.name for request_class in settings.classes}
        self._class_worths: dict[str, float] = {}  # worth of one request
        self._request_counts: dict[TrafficPart, int] = {}
        self._offered_work: dict[TrafficPart, float] = {}
        # By tenant, the requests left within the allowance and the moment of that count.
        self._tenant_credit = {
            tenant: (allowance * ALLOWANCE_BURST_SECONDS, 0)
            for tenant, allowance in settings.allowances.items()
        }
        self.admitted_share = 1.0  # of the offered work
        self._last_result_at = 0  # moment at which an answer last changed the share

    def with_settings(self, settings: Settings) -> LoadShedder:
        """Return a load shedder with other settings.

        It keeps the admitted share, the offered work of known classes and the credit of known tenants.
        """
        successor = LoadShedder(settings)
        successor.admitted_share, successor._last_result_at = self.admitted_share, self._last_result_at
        for part in (part for part in self._request_counts if part[0] in successor._announced_classes):
            successor._request_counts[part], successor._offered_work[part] = (
                self._request_counts[part],
                self._offered_work[part],
            )
            successor._class_worths[part[0]] = self._class_worths[part[0]]
        for tenant in successor._tenant_credit.keys() & self._tenant_credit.keys():
            successor._tenant_credit[tenant] = self._tenant_credit[tenant]
        return successor

    def export_state(self) -> tuple[float, int]:
        """Return the admitted share and the moment of its last change."""
        return self.admitted_share, self._last_result_at

    def restore_state(self, admitted_share: float, last_result_at: int) -> None:
        """Take over the exported state of another load shedder."""
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
        """Count a request and return whether to refuse it.

        `has_no_feedback`: no request is pending whose answer could change the admitted share.
        """
        part = request_class.name, self._exceeds_allowance(event, now)
        self._class_worths[request_class.name] = request_class.worth
        self._request_counts[part] = self._request_counts.get(part, 0) + 1
        self._offered_work[part] = self._offered_work.get(part, 0.0) + cost
        if self.admitted_share == 1 or (has_no_feedback and now >= self._last_result_at + SHED_TIME_CONSTANT):
            return False
        return random.random() >= self._admission_probability(part)

    def record_result(self, in_time: bool, now: int) -> None:
        """Adjust the admitted share by an answer in time, or by one that was late or missing.

        Results are weighted by time, not by number: so a balancer with all of the traffic and one of hundreds
        react alike.
        """
        previous, self._last_result_at = self._last_result_at or now, now  # the first result has no weight
        weight = min(now - previous, MAX_RESULT_SPAN) / SHED_TIME_CONSTANT
        self.admitted_share = (
            min(1.0, self.admitted_share + weight) if in_time else self.admitted_share * (1 - weight)
        )

    def _exceeds_allowance(self, event: Request, now: int) -> bool:
        """Whether a request exceeds this balancer's part of its tenant's allowance; retries use no credit."""
        if event.tenant not in self._tenant_credit:
            return False
        rate = self._settings.allowances[event.tenant]
        credit, updated_at = self._tenant_credit[event.tenant]
        credit = min(rate * ALLOWANCE_BURST_SECONDS, credit + rate * (now - updated_at) / SECOND)
        self._tenant_credit[event.tenant] = max(0.0, credit - (not event.is_retry)), now
        return credit < 1

    def _admission_probability(self, part: TrafficPart) -> float:
        """Return the probability with which a part's request is admitted; it may lie outside of 0 to 1."""
        work_before = 0.0
        for group in self._priority_groups():
            work = sum(self._offered_work[other] for other in group)
            if part in group:
                return (self.admitted_share * sum(self._offered_work.values()) - work_before) / work
            work_before += work
        return 1.0

    def _priority_groups(self) -> list[list[TrafficPart]]:
        """Return the parts in the order of their admission; those of one group are admitted alike."""
        worth = {part: self._total_worth(part) for part in self._request_counts}

        def worth_per_work(group: list[TrafficPart], bonus: float = 0.0) -> float:
            return (bonus + sum(worth[part] for part in group)) / sum(
                self._offered_work[part] for part in group
            )

        worst, bonus = self._worst_served(worth), self._settings.worst_class_weight * sum(worth.values())
        groups = [([part], worth_per_work([part])) for part in worth if part not in worst]
        if worst:
            groups.append((worst, worth_per_work(worst, bonus)))
        return [group for group, _ in sorted(groups, key=lambda entry: -entry[1])]

    def _worst_served(self, worth: dict[TrafficPart, float]) -> list[TrafficPart]:
        """Return the classes that share the worst service; none if the worst class has no weight.

        Admitting the worst-served class is worth that class itself and the weight of the worst class, until
        it is no longer the worst: then the next one joins it. Requests beyond an allowance belong to no such
        class.
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
        """Return the worth of all requests of a part so far."""
        worth_factor = self._settings.over_allowance_worth if part[1] else 1
        return self._class_worths[part[0]] * worth_factor * self._request_counts[part]
