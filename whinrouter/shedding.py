"""How much of the work asked for is let in while servers are overloaded, and which; no clock, no I/O.

Overload shows in a balancer's own answers. Each late one cuts the share of the work that is let in, each in
time lets it grow again. What is let in of that share is taken in the order of worth for work, by parts: a
part is a class, within its tenants' shares or beyond them.
"""

from __future__ import annotations

from random import Random

from whinrouter.interface import SECOND, Request, RequestClass, Settings

SHED_TIME = SECOND // 2  # late answers for this long leave about a third of the share that is let in
SIGN = SECOND // 4  # an answer speaks for the time since the one before it, but for no longer than this
SAVED = 5  # seconds of its share that a tenant may save up

Part = tuple[str, bool]  # a class, and whether beyond its tenant's share


class Shedding:
    """The state of one balancer; it has an entry for each class and tenant of the settings."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._announced = {kind.name for kind in settings.classes}
        self._worths: dict[str, float] = {}  # of a request, by class
        self._seen: dict[Part, int] = {}  # requests
        self._asked: dict[Part, float] = {}  # work asked for
        self._credit = {tenant: (allowance * SAVED, 0) for tenant, allowance in settings.allowances.items()}
        self.share = 1.0  # of the work asked for that is let in
        self._last_sign = 0  # when an answer last moved it

    def retuned(self, settings: Settings) -> Shedding:
        """The state of one with other settings: the share stays, and so does what known classes asked for."""
        fresh = Shedding(settings)
        fresh.share, fresh._last_sign = self.share, self._last_sign
        for part in (part for part in self._seen if part[0] in fresh._announced):
            fresh._seen[part], fresh._asked[part] = self._seen[part], self._asked[part]
            fresh._worths[part[0]] = self._worths[part[0]]
        for tenant in fresh._credit.keys() & self._credit.keys():
            fresh._credit[tenant] = self._credit[tenant]
        return fresh

    def state(self) -> tuple[float, int]:
        """The share that is let in, and when an answer last moved it."""
        return self.share, self._last_sign

    def resume(self, share: float, signed: int) -> None:
        self.share, self._last_sign = share, signed

    def turns_away(
        self, event: Request, kind: RequestClass, cost: float, now: int, blind: bool, random: Random
    ) -> bool:
        """Count a request, and say whether it is turned away; `blind`: nothing is out that could tell."""
        part = kind.name, self._beyond(event, now)
        self._worths[kind.name] = kind.worth
        self._seen[part] = self._seen.get(part, 0) + 1
        self._asked[part] = self._asked.get(part, 0.0) + cost
        if self.share == 1 or (blind and now >= self._last_sign + SHED_TIME):
            return False
        return random.random() >= self._let_in(part)

    def sign(self, in_time: bool, now: int) -> None:
        """An answer came, in time or late.

        Signs are weighed by time, not counted: one balancer that sees all and one of hundreds react alike.
        """
        since, self._last_sign = self._last_sign or now, now  # the first sign speaks for no time at all
        weight = min(now - since, SIGN) / SHED_TIME
        self.share = min(1.0, self.share + weight) if in_time else self.share * (1 - weight)

    def _beyond(self, event: Request, now: int) -> bool:
        """Whether it is beyond its tenant's share, as far as this balancer's part of that tells."""
        if event.tenant not in self._credit:
            return False
        rate = self._settings.allowances[event.tenant]
        credit, since = self._credit[event.tenant]
        credit = min(rate * SAVED, credit + rate * (now - since) / SECOND)
        self._credit[event.tenant] = max(0.0, credit - (not event.retry)), now
        return credit < 1

    def _let_in(self, part: Part) -> float:
        """The share of a part's requests that is let in."""
        above = 0.0
        for group in self._groups():
            work = sum(self._asked[other] for other in group)
            if part in group:
                return (self.share * sum(self._asked.values()) - above) / work
            above += work
        return 1.0

    def _groups(self) -> list[list[Part]]:
        """The parts in the order in which they are let in; those of one group are let in alike."""
        worth = {part: self._worth(part) for part in self._seen}

        def value(group: list[Part], more: float = 0.0) -> float:
            return (more + sum(worth[part] for part in group)) / sum(self._asked[part] for part in group)

        least, more = self._least(worth), self._settings.worst_class * sum(worth.values())
        groups = [([part], value([part])) for part in worth if part not in least]
        if least:
            groups.append((least, value(least, more)))
        return [group for group, _ in sorted(groups, key=lambda entry: -entry[1])]

    def _least(self, worth: dict[Part, float]) -> list[Part]:
        """The classes that are the worst served together; none where the worst counts for nothing.

        To let in the least is worth what that class is, and what the worst class counts for itself, until it
        is the least no longer: then the next stands beside it. What is beyond shares is in no such class.
        """
        more = self._settings.worst_class * sum(worth.values())
        inside = [part for part in worth if part[0] in self._announced and not part[1]]
        inside.sort(key=lambda part: worth[part] / self._asked[part])
        least: list[Part] = []
        gain, work = more, 0.0
        for part in inside if more else ():
            if least and gain / work <= worth[part] / self._asked[part]:
                break
            least.append(part)
            gain, work = gain + worth[part], work + self._asked[part]
        return least

    def _worth(self, part: Part) -> float:
        share = self._settings.over_share_worth if part[1] else 1
        return self._worths[part[0]] * share * self._seen[part]
