"""Describe the system for operators, as one instance sees it."""

from cartdale.configuration.driver import Configurator
from cartdale.daemon.group import InstanceGroup
from cartdale.daemon.upstreams import EnginePool
from cartdale.membership.types import MemberNews, MemberStatus
from cartdale.operators.types import (
    EngineStatus,
    InstanceStatus,
    SystemStatus,
)
from cartdale.routing.types import EngineView
from cartdale.store.etcd import EtcdStore

_SILENT = 'silent'


def describe_system(
    configurator: Configurator,
    group: InstanceGroup,
    pool: EnginePool,
    store: EtcdStore,
) -> SystemStatus:
    """Return revisions, instances, upstreams and calls to the store."""
    state = configurator.state
    engines = tuple(
        _describe_engine(view, excluded=pool.is_excluded(view))
        for view in pool.list_views()
    )
    return SystemStatus(
        revision=state.revision,
        target=state.target,
        instances=_describe_instances(group),
        engines=engines,
        store_calls_by_path=dict(store.calls_by_path),
    )


def _describe_instances(group: InstanceGroup) -> tuple[InstanceStatus, ...]:
    state = group.membership.state
    alive = {news.name for news in group.membership.alive()}
    described = [_describe_instance(state.own, state.own.status)]
    for name, member in sorted(state.members_by_name.items()):
        status: str = member.news.status
        if name not in alive and status == MemberStatus.LIVE:
            status = _SILENT
        described.append(_describe_instance(member.news, status))
    return tuple(described)


def _describe_instance(news: MemberNews, status: str) -> InstanceStatus:
    return InstanceStatus(
        name=news.name,
        failure_domain=news.failure_domain,
        state=status,
        revision=news.revision,
        took_ms=news.took_ms,
    )


def _describe_engine(view: EngineView, *, excluded: bool) -> EngineStatus:
    report = view.report
    return EngineStatus(
        upstream=view.upstream,
        running=report.running if report else 0,
        waiting=report.waiting if report else 0,
        used_tokens=report.used_tokens if report else 0,
        memory_tokens=view.memory_tokens,
        draining=view.draining,
        excluded=excluded,
    )
