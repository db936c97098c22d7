"""Settings of a gateway process, as its settings file holds them."""

import msgspec


class Bounds(msgspec.Struct, frozen=True):
    """Times that the operators of the deployment promise or expect.

    Attributes:
      grace_s: From SIGTERM until the process is killed, in seconds.
      lease_ms: Two holders of one duty must not act within this time.
      read_life_s: How long a batch can be read after its submission, in
        seconds.
    """

    grace_s: float = 8.0
    lease_ms: int = 3000
    read_life_s: float = 120.0


class LogLimits(msgspec.Struct, frozen=True):
    """What the log service takes at most.

    Attributes:
      record_bytes: One record.
      call_bytes: All records of one append.
      reads_per_second: Reads of all hosts together.
    """

    record_bytes: int = 262144
    call_bytes: int = 2097152
    reads_per_second: float = 2000.0


class Settings(msgspec.Struct, frozen=True):
    """One gateway's settings.

    Attributes:
      name: Host's name, unique in the deployment.
      host: IP number that other gateways reach.
      failure_domain: Failure domain of the host.
      caller_address: 'IP number:port' to listen on for callers.
      ready_address: 'IP number:port' of the readiness check.
      peer_port: Port for other gateways.
      metrics_port: Port of the metrics.
      log_address: 'IP number:port' of the log service.
      cpu_share: Share of its processor that the host gives to this process.
      cpu_speed: How many times as fast as a usual core that processor is.
      heartbeat_ms: How often replicas renew their registration.
      log_limits: Sizes that the log service takes.
      bounds: Times that the deployment expects.
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
    heartbeat_ms: int = 1200
    log_limits: LogLimits = LogLimits()
    bounds: Bounds = Bounds()

    @property
    def cores(self) -> float:
        """Processor time that the host gives, in usual cores."""
        return self.cpu_share * self.cpu_speed
