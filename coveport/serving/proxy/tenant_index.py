"""Finds the tenant of a request by its API key, and applies the tenant's settings to a route.

This module does no I/O and reads no clock.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Final

from coveport.serving.model.configuration import Route, Tenant
from coveport.serving.proxy.headers import Headers
from coveport.serving.wire.names import Header

# Home regions of a request that no region may serve: no region has an empty name.
NO_REGION: Final = frozenset({""})


@dataclass(frozen=True, slots=True)
class TenantIndex:
    """The tenants of one configuration, by API key.

    The duration of a lookup reveals nothing about the keys, even for a nearly correct key: Python's hash of
    strings is keyed by a random secret of the process.
    """

    tenants_by_key: dict[str, Tenant]

    @classmethod
    def from_tenants(cls, tenants: Iterable[Tenant]) -> TenantIndex:
        """Index the tenants of a configuration."""
        return cls({key: tenant for tenant in tenants for key in tenant.api_keys})

    def find(self, headers: Headers) -> Tenant | None:
        """Return the tenant of a request; None unless the request has exactly one API key, of a tenant."""
        keys = headers.get(Header.API_KEY, ())
        return self.tenants_by_key.get(keys[0]) if len(keys) == 1 else None

    def admits(self, route: Route, headers: Headers, tenant: Tenant | None) -> bool:
        """Return whether a route admits a request: with a tenant or, if it is public, without an API key."""
        return tenant is not None or (route.is_public and not any(headers.get(Header.API_KEY, ())))


def route_for_tenant(route: Route, tenant: Tenant | None) -> Route:
    """Return the route with the tenant's priority and the home regions that both of them allow."""
    if tenant is None:
        return route
    priority = route.priority if tenant.priority is None else tenant.priority
    home_regions = _common_regions(route.home_regions, tenant.home_regions)
    if priority == route.priority and home_regions == route.home_regions:
        return route
    return replace(route, priority=priority, home_regions=home_regions)


def _common_regions(first: frozenset[str], second: frozenset[str]) -> frozenset[str]:
    """Return the regions that both sets allow; an empty set allows any region."""
    if not first or not second:
        return first or second
    return first & second or NO_REGION
