"""Settings of a gateway process, as read from its settings file."""

import msgspec

# Names of the duties in the settings.
USAGE_REPORT = 'usage_report'
AUTOSCALE = 'autoscale'
# Reads for records that have to be known within a bound wait for a quarter of
# it, so that another read can still be in time after two that were lost.
POLLS_PER_BOUND = 4


class Bounds(msgspec.Struct, frozen=True):
    """Time limits of the deployment, set by its operators.

    Attributes:
      grace_s: Seconds from SIGTERM until the process is killed.
      configuration_ms: Milliseconds from the acknowledgement of a
        configuration within which it has to be in force.
      drain_ms: Milliseconds from the acknowledgement of a replica's leave
        within which requests to it have to end.
      lease_ms: Milliseconds within which holders of a duty must not take
        turns, so that one comes back after another.
      read_life_s: Seconds after the submission during which a batch is
        readable.
      strict_revocation: Whether a gateway that can't read the operators'
        topic refuses requests with API keys, which may have been removed.
      revocation_ms: Milliseconds without a read of the operators' topic after
        which a gateway refuses these requests.
      fencing: Whether the platform refuses calls with a lower fencing token
        than it has seen for the duty.
      thaw_ms: Milliseconds after a suspension of the process in which it must
        not call the platform's API.
      report_window_s: Length of a window of the usage report in seconds.
      usage_tolerance: Permitted error of each count of the usage report, as a
        share of the count.
      usage_late_s: Seconds after the end of a window by which its report is
        due.
    """

    grace_s: float = 8.0
    configuration_ms: int = 2000
    drain_ms: int = 2000
    lease_ms: int = 3000
    read_life_s: float = 120.0
    strict_revocation: bool = False
    revocation_ms: int = 5000
    fencing: bool = False
    thaw_ms: int = 300
    report_window_s: float = 5.0
    usage_tolerance: float = 0.05
    usage_late_s: float = 10.0

    def __post_init__(self):
        """Refuse windows without a length."""
        if self.report_window_ms <= 0:
            raise ValueError('report_window_s must be above zero')

    @property
    def configuration_poll_ms(self) -> int:
        """Milliseconds that a read waits for a new configuration."""
        return self.configuration_ms // POLLS_PER_BOUND

    @property
    def drain_poll_ms(self) -> int:
        """Milliseconds that a read waits for a new registration."""
        return self.drain_ms // POLLS_PER_BOUND

    @property
    def report_window_ms(self) -> int:
        """Length of a window of the usage report in milliseconds."""
        return round(self.report_window_s * 1000)


class Cloud(msgspec.Struct, frozen=True):
    """The platform's own API, which one host at a time calls for a duty.

    Attributes:
      address: 'IP:port' of the API; empty if there is none, and no duty.
      duties: Names of the duties that the gateways have.
      duty_per_s: Maximum rate of the calls of all gateways together.
    """

    address: str = ''
    duties: tuple[str, ...] = ()
    duty_per_s: float = 50.0

    def __post_init__(self):
        """Refuse a rate at which no call could ever be sent."""
        if self.duty_per_s <= 0:
            raise ValueError('duty_per_s must be above zero')

    def has_duty(self, name: str) -> bool:
        """Tell whether the gateways have a duty."""
        return bool(self.address) and name in self.duties


class LogLimits(msgspec.Struct, frozen=True):
    """Limits of the log service.

    Attributes:
      record_bytes: Maximum size of one record.
      call_bytes: Maximum size of all records of one append.
      reads_per_second: Maximum rate of reads of all hosts together.
    """

    record_bytes: int = 262144
    call_bytes: int = 2097152
    reads_per_second: float = 2000.0


class Settings(msgspec.Struct, frozen=True):
    """Settings of one gateway.

    Attributes:
      name: Name of the host, unique in the deployment.
      host: IP address for other gateways.
      failure_domain: Failure domain of the host.
      caller_address: 'IP:port' of the listener for callers.
      ready_address: 'IP:port' of the readiness check.
      peer_port: Port of the listener for other gateways.
      metrics_port: Port of the metrics endpoint.
      log_address: 'IP:port' of the log service.
      cpu_share: Share of the host's processor that this process may use.
      cpu_speed: Speed of that processor relative to a reference core.
      memory_mb: Memory in megabytes that this process may use.
      heartbeat_ms: Milliseconds between renewals of a replica's registration.
      log_limits: Limits of the log service.
      bounds: Time limits of the deployment.
      cloud: The platform's own API and the duties there.
    """

    name: str
    host: str
    failure_domain: str
    caller_address: str
    ready_address: str
    peer_port: int
    metrics_port: int
    log_address: str
    cpu_share: float = 1.0
    cpu_speed: float = 1.0
    memory_mb: int = 512
    heartbeat_ms: int = 1200
    log_limits: LogLimits = LogLimits()
    bounds: Bounds = Bounds()
    cloud: Cloud = Cloud()

    @property
    def cores(self) -> float:
        """Processor capacity of this process, in reference cores."""
        return self.cpu_share * self.cpu_speed
