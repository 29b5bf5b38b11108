"""Creates, connects and runs the components of a host on the platform."""

import random
import secrets
import signal
import time

import gevent
from gevent import event

from magnoliadyke import app
from magnoliadyke import clock as clocks
from magnoliadyke.core import backoffs
from magnoliadyke.core import balance
from magnoliadyke.core import catalog
from magnoliadyke.core import endpointlimits as core_limits
from magnoliadyke.core import hostselection
from magnoliadyke.core import retrybudget
from magnoliadyke.core import routes
from magnoliadyke.core import shutdown
from magnoliadyke.gateway import autoscaling
from magnoliadyke.gateway import callerwaits
from magnoliadyke.gateway import confirming
from magnoliadyke.gateway import crash_codec
from magnoliadyke.gateway import crashreports
from magnoliadyke.gateway import departures
from magnoliadyke.gateway import duty_codec
from magnoliadyke.gateway import endpointlimits
from magnoliadyke.gateway import exchange
from magnoliadyke.gateway import follower
from magnoliadyke.gateway import ingress
from magnoliadyke.gateway import keymirror
from magnoliadyke.gateway import leadership
from magnoliadyke.gateway import limit_codec
from magnoliadyke.gateway import members
from magnoliadyke.gateway import metricscollector
from magnoliadyke.gateway import observation_codec
from magnoliadyke.gateway import observationexchange
from magnoliadyke.gateway import pace_codec
from magnoliadyke.gateway import pacereports
from magnoliadyke.gateway import path_codec
from magnoliadyke.gateway import paths
from magnoliadyke.gateway import peerstate
from magnoliadyke.gateway import placement_codec
from magnoliadyke.gateway import placementservice
from magnoliadyke.gateway import relaying
from magnoliadyke.gateway import smallserver
from magnoliadyke.gateway import stages
from magnoliadyke.gateway import stream_codec
from magnoliadyke.gateway import streambackups
from magnoliadyke.gateway import streamrecords
from magnoliadyke.gateway import upstream
from magnoliadyke.gateway import usageduty
from magnoliadyke import logs
from magnoliadyke.platform import cloud
from magnoliadyke.platform import codec
from magnoliadyke.platform import directory
from magnoliadyke.platform import engines
from magnoliadyke.platform import records
from magnoliadyke.platform import settings as node_settings
from magnoliadyke.platform import store as platform_store

__all__ = ['Node']

LOG = logs.get('node')

#: Names of the singleton tasks that the settings can enable.
USAGE = 'usage_report'
SCALING = 'autoscale'
#: Usage windows if no usage has to be reported.
DEFAULT_USAGE_WINDOWS = usageduty.UsageSettings(60.0, 60.0)
MAINTENANCE_INTERVAL_S = 0.5
RELAY_TOKEN_BYTES = 12
#: Maximum time to live of a directory response, in seconds.  It is also how
#: long callers may still connect to a host after it has announced that it
#: stops.
DIRECTORY_TTL_S = 2.0


class RecordDecoder(keymirror.Decoder):
    """Decodes the platform's store entries."""

    configuration_key = records.CONFIGURATION_KEY
    endpoint_prefix = records.ENDPOINT_PREFIX

    def configuration(
        self, value: bytes
    ) -> routes.Configuration | catalog.UnusableRecord:
        """Decode the configuration entry."""
        return records.decode_configuration(value)

    def endpoint(
        self, key: str, value: bytes
    ) -> catalog.Endpoint | catalog.UnusableRecord:
        """Decode an endpoint's entry."""
        return records.decode_endpoint(key, value)


class Node:
    """One host on the platform.

    :param settings: settings of this host
    :param rng: source of randomness for all components
    :ivar stopping: set once the host has received a signal to stop
    :ivar own_record: entry of this host in the store and in gossip
    """

    def __init__(
        self,
        settings: node_settings.NodeSettings,
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.rng = rng
        self.stopping = event.Event()
        self.metrics = metricscollector.MetricsCollector(clock)
        self.catalog = catalog.Catalog()
        self.store = platform_store.PlatformStore(settings.store, clock)
        self.upstream = upstream.Upstream(clock)
        self.balancer = balance.Balancer(settings.failure_domain, rng)
        self.budgets = retrybudget.Budgets(
            settings.retry_ratio,
            settings.retry_extra,
            settings.retry_window_s,
            clock.now_s(),
        )
        self.own_record = self._own_record()
        first_port = settings.peer_ports[0]
        self.members = members.Members(
            self.own_record, self.store, clock, rng, settings.link_mbps
        )
        pacers = core_limits.new_pacers(rng)
        self.placement_service = placementservice.PlacementService(
            settings.ip,
            first_port + 1,
            self.catalog,
            clock,
            rng,
            settings.link_mbps,
            pacers,
        )
        self.leadership = leadership.Leadership(
            self.own_record,
            self.members,
            self.placement_service,
            self.store,
            settings.min_lease_s,
            settings.order_gap_s,
            self._broadcast,
            clock,
            rng,
        )
        self.stages = stages.Stages(
            settings.name,
            self.leadership,
            self.placement_service,
            self.catalog,
            engines.PlatformEngines(),
            clock,
        )
        self.limits = endpointlimits.EndpointLimits(
            pacers, self.members, self.placement_service, clock, rng
        )
        self.departures = departures.Departures(
            self.catalog, self.placement_service, clock
        )
        self.observations = observationexchange.ObservationExchange(
            (self.own_record.host, self.own_record.incarnation),
            self.balancer,
            self.catalog,
            self.members,
            self.placement_service,
            clock,
            rng,
        )
        self.usage, self.fleet = self._duties()
        self.waits = callerwaits.CallerWaits(
            self.store, self.catalog, self.members, clock, rng
        )
        decoder = RecordDecoder()
        mirror = keymirror.KeyMirror(
            decoder,
            self.catalog,
            {
                members.HOST_PREFIX: members.HostListener(self.members),
                leadership.LEADER_KEY: self.leadership,
                usageduty.REPORTS_KEY: self.usage,
                usageduty.ERA_KEY: self.usage,
                autoscaling.FLEET_PREFIX: self.fleet,
                callerwaits.WAITS_KEY: self.waits,
            },
            self.upstream.drop_endpoint,
            clock,
            settings.drain_s,
        )
        self.follower = follower.Follower(
            settings.name,
            self.store,
            mirror,
            clock,
            rng,
            min(settings.drain_s, settings.configuration_s),
            self.members,
        )
        self.store.era_changed = self.follower.era_changed
        self.members.on_peer_position = self.follower.record_peer_position
        self.members.send_updates = self.placement_service.send
        self.members.demand = self.placement_service.demand
        self.follower.is_always_watcher = lambda: (
            self.placement_service.leading
        )
        self.leadership.contact = self.follower
        self.confirming = confirming.ConfigurationConfirmer(
            settings.revoke_s,
            settings.configuration_s,
            self.catalog,
            decoder,
            self.store,
            self.follower,
            self.members,
            self.placement_service,
            clock,
            rng,
        )
        self.confirming.is_first_start = settings.first_start
        mirror.listeners[confirming.ERA_KEY] = self.confirming
        self.members.accepts_requests = self.confirming.can_serve_all_routes
        self.follower.on_full_read = self._record_full_read
        self.follower.not_relayed = frozenset((usageduty.REPORTS_KEY,))
        self.paths = paths.PathMonitor(
            settings.ip,
            self.upstream,
            self.catalog,
            self.members,
            self.placement_service,
            clock,
            rng,
        )
        self.relayer = relaying.Relayer(
            settings.name, first_port + 1, self.paths, self.members, clock
        )
        self.crashreports = crashreports.CrashReporter(
            self.catalog,
            self.members,
            self.placement_service,
            self.follower.store_contact,
            clock,
            rng,
        )
        self.streams = streamrecords.StreamRecords(
            self.catalog,
            self.members,
            self.placement_service,
            self.waits,
            clock,
            rng,
        )
        self.paces = pacereports.PaceReporter(self.placement_service, clock)
        self.paces.broadcast = self._broadcast
        self.streams.list_age_s = self.follower.list_age_s
        self.streams.read_latest = self.follower.read_latest
        if settings.first_start:
            self.streams.history.restart(float('-inf'))
        self.placement_service.broadcast = self._broadcast
        self.limits.broadcast = self._broadcast
        self.departures.broadcast = self._broadcast
        self.placement_service.listeners = {
            crash_codec.CrashReport: self.crashreports.handle_report,
            crash_codec.CauseStates: self.crashreports.handle_states,
            placement_codec.LeaderAnnouncement: (
                self.leadership.handle_announcement
            ),
            placement_codec.KeyUpdates: self.follower.apply_updates,
            duty_codec.ConfirmationRequest: self.confirming.handle_request,
            duty_codec.ConfirmationReply: self.confirming.handle_reply,
            duty_codec.Usage: self.usage.handle_usage,
            duty_codec.WallTime: self.usage.handle_wall_time,
            limit_codec.LimitUpdate: self.limits.handle_update,
            limit_codec.Leaving: self.departures.handle,
            limit_codec.PermitRequest: self.limits.handle_request,
            limit_codec.PermitReply: self.limits.handle_reply,
            pace_codec.LearnedPaces: self.paces.handle_learned,
            pace_codec.PaceReport: self.paces.handle_report,
            observation_codec.ObservationReport: self.observations.handle,
            path_codec.PathQuery: self.paths.handle_query,
            path_codec.PathReply: self.paths.handle_reply,
            stream_codec.StreamRecords: self.streams.handle_records,
            stream_codec.StreamQuery: self.streams.handle_query,
            stream_codec.StreamReply: self.streams.handle_reply,
        }
        parts = exchange.Parts(
            clock,
            codec.PlatformCodec(),
            self.catalog,
            self.upstream,
            self.balancer,
            self.budgets,
            self.placement_service,
            self.crashreports,
            backoffs.Backoffs(),
            self.limits,
            self.departures,
            rng,
            self.usage.record_start,
            self.paths,
            self.relayer,
            self.streams,
            self.paces,
            streambackups.StreamBackups(
                self.catalog, engines.PlatformEngines(), clock
            ),
        )
        self.ingress = ingress.Ingress(
            settings.callers,
            f'{settings.ip}:{first_port + 1}',
            self.own_record.relay_token,
            parts,
            self.metrics.record,
            self.metrics.registry.record_early,
            self.confirming.is_proof_valid,
            self.confirming.prove_for_denial,
            self.follower.is_behind,
            clock,
            rng,
        )
        self.leadership.engines_cut_off_s = self.paths.engines_cut_off_s
        self.crashreports.on_barred = self.ingress.refuse_barred
        self.paths.is_stopping = lambda: self.ingress.shutdown is not None
        self.paths.relayed = self.ingress.relayed
        self.metrics.sources = metricscollector.MetricSources(
            self.catalog,
            self.confirming,
            self.fleet,
            self.follower,
            self.ingress,
            self.limits,
            self.members,
            self.observations,
            self.placement_service,
            self.store,
            self.upstream,
            self.usage,
        )
        self.directory_ttl_s = min(DIRECTORY_TTL_S, settings.directory_ttl_s)
        answers = directory.Directory(
            self.members.addresses, self._is_ready, self.directory_ttl_s
        )
        self.application = app.Application(clock)
        state_address = f'{settings.ip}:{first_port}'
        metrics_address = f'{settings.ip}:{settings.metrics_port}'
        for component in (
            self.placement_service,
            self.members,
            peerstate.StateServer(state_address, self.follower.state),
            self.follower,
            self.leadership,
            self.limits,
            self.departures,
            self.observations,
            self.paths,
            self.streams,
            self.paces,
            self.crashreports,
            self.confirming,
            self.stages,
            self.usage,
            self.fleet,
            smallserver.SmallServer(settings.readiness, answers.readiness),
            smallserver.SmallServer(settings.directory, answers.resolve),
            smallserver.SmallServer(metrics_address, self.metrics.answer),
            self.ingress,
        ):
            self.application.add(component)

    def _own_record(self) -> members.HostRecord:
        settings = self.settings
        return members.HostRecord(
            host=settings.name,
            incarnation=int(self.clock.wall_s() * 1000),
            address=settings.ip,
            callers=settings.callers,
            gossip_port=settings.peer_ports[0],
            failure_domain=settings.failure_domain,
            capacity=leadership.placement_capacity(
                settings.cores, settings.link_mbps
            ),
            relay_token=secrets.token_urlsafe(RELAY_TOKEN_BYTES),
            prompts_s=hostselection.serving_capacity(
                settings.cores, settings.core_speed, settings.link_mbps
            ),
        )

    def _duties(
        self,
    ) -> tuple[usageduty.UsageDuty, autoscaling.AutoscalingDuty]:
        """Create the singleton tasks; those not enabled make no calls."""
        asked = self.settings.duties
        names = () if asked is None else asked.names
        calls = None if asked is None else cloud.PlatformCalls(asked.address)
        usage_settings = DEFAULT_USAGE_WINDOWS
        if asked is not None:
            usage_settings = usageduty.UsageSettings(
                asked.usage_window_s, asked.usage_due_s
            )
        usage = usageduty.UsageDuty(
            (self.own_record.host, self.own_record.incarnation),
            usage_settings,
            self.leadership,
            self.members,
            self.placement_service,
            self.store,
            calls if USAGE in names else None,
            self.clock,
        )
        fleet = autoscaling.AutoscalingDuty(
            self.leadership,
            self.placement_service,
            self.catalog,
            self.store,
            calls if SCALING in names else None,
            self.clock,
        )
        return usage, fleet

    def _broadcast(self, message: placement_codec.Message) -> None:
        for address in self.members.reachable_addresses():
            self.placement_service.send(address, message)

    def _record_full_read(self, asked_s: float) -> None:
        self.confirming.record_full_read(asked_s)
        self.usage.record_read()

    def _is_ready(self) -> bool:
        return (
            not self.stopping.is_set()
            and self.catalog.configuration is not None
            and bool(self.catalog.endpoints)
            and self.confirming.can_serve_all_routes()
        )

    def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then drain and stop."""
        gevent.signal_handler(signal.SIGTERM, self.stopping.set)
        gevent.signal_handler(signal.SIGINT, self.stopping.set)
        gevent.signal_handler(signal.SIGHUP, self._reload)
        self.application.start()
        LOG.event(
            'started',
            host_name=self.settings.name,
            first_start=self.settings.first_start,
            callers=self.settings.callers,
            process_ms=round(time.process_time() * 1000),
        )
        maintenance = gevent.spawn(self._run_maintenance)
        self.stopping.wait()
        maintenance.kill()
        self._drain()
        self.ingress.log_running()
        self.application.stop(shutdown.STOP_S)
        self.store.close()
        LOG.event('stopped')

    def _reload(self) -> None:
        """Read the settings again; open listeners keep their addresses."""
        try:
            self.settings = node_settings.load(self.settings.path)
        except node_settings.errors.SettingsError as error:
            LOG.error_event('settings_refused', error)
            return
        LOG.event('settings_reloaded')

    def _run_maintenance(self) -> None:
        ticks = 0
        while True:
            self.clock.sleep(MAINTENANCE_INTERVAL_S)
            ticks += 1
            self.divide_by_hosts()
            self.upstream.trim()
            self.relayer.connections.trim()
            listed = set(self.catalog.endpoints)
            self.balancer.drop_unlisted(listed)
            self.limits.remove_unlisted(listed)
            self.upstream.reachability.remove_unlisted(listed)
            if ticks % 10 == 0:
                self.metrics.log()

    def divide_by_hosts(self) -> None:
        """Divide what all hosts may use together by their present number.

        A host that gossip does not reach may still use its part, so what an
        endpoint enforces is divided among the hosts that the store lists too.
        """
        alive = self.members.count()
        listed = self.members.listed_count()
        self.placement_service.hosts = alive
        self.crashreports.causes.hosts = alive
        self.upstream.hosts = max(alive, listed)
        self.budgets.set_hosts(
            listed, self.members.is_listed(), self.clock.now_s()
        )

    def _drain(self) -> None:
        """Leave the system without aborting requests.

        Callers stop using this host once their cached directory responses
        expire.  Until then this host serves one request per connection;
        afterwards it accepts only requests that end before its process does.
        """
        course = shutdown.Shutdown(
            self.clock.now_s(), self.settings.stop_s, self.directory_ttl_s
        )
        LOG.event('stopping', open=self.ingress.open_requests)
        self.ingress.drain(course)
        self.members.leave()
        self.leadership.resign()
        self._wait_until(course.refuses_from_s, False)
        self.ingress.refuse_waiting()
        self._wait_until(course.closes_s, False)
        self.ingress.close_idle()
        self._wait_until(course.ends_s, True)
        self.ingress.interrupt_all()
        self._wait_until(course.exits_s, True)

    def _wait_until(self, until_s: float, may_end: bool) -> None:
        while self.clock.now_s() < until_s:
            # Sleep before the check: a connection that was just accepted may
            # not be counted yet.
            self.clock.sleep(0.05)
            if may_end and not self.ingress.connections:
                return
