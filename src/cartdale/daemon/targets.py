"""Derive routing targets from the declarations in force."""

from cartdale.declarations.types import Declarations, UpstreamKind
from cartdale.routing.types import EngineView, ServiceView, TargetsChanged


def derive_targets(declared: Declarations) -> TargetsChanged:
    """Return the services and engines that routing chooses from."""
    services = tuple(
        ServiceView(
            name=name,
            upstreams=service.upstreams,
            policy=service.policy,
            weights=service.weights,
            queue=service.queue,
        )
        for name, service in declared.services.items()
        if service.kind is UpstreamKind.ENGINE
    )
    engines = tuple(
        EngineView(
            upstream=name,
            memory_tokens=upstream.memory_tokens,
            draining=upstream.draining,
        )
        for name, upstream in declared.upstreams.items()
        if upstream.kind is UpstreamKind.ENGINE
    )
    return TargetsChanged(services, engines)
