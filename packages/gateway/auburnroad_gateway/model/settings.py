"""Settings of a gateway process, as read from its settings file."""

import msgspec


class Bounds(msgspec.Struct, frozen=True):
    """Time limits of the deployment, set by its operators.

    Attributes:
      grace_s: Seconds from SIGTERM until the process is killed.
      lease_ms: Minimum milliseconds between the last order of one holder of a
        duty and the first order of the next holder.
      read_life_s: Seconds after the submission during which a batch is
        readable.
      strict_revocation: Whether a gateway that can't read the operators'
        topic refuses requests with API keys, which may have been removed.
      revocation_ms: Milliseconds without a read of the operators' topic after
        which a gateway refuses these requests.
    """

    grace_s: float = 8.0
    lease_ms: int = 3000
    read_life_s: float = 120.0
    strict_revocation: bool = False
    revocation_ms: int = 5000


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

    @property
    def cores(self) -> float:
        """Processor capacity of this process, in reference cores."""
        return self.cpu_share * self.cpu_speed
