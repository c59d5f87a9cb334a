"""Settings of a process, independent of the format in which the platform gives them."""

from dataclasses import dataclass

from wigeonfront.duties import Duty


@dataclass(frozen=True, slots=True)
class Bounds:
    """Time bounds and options that the users have agreed on; times in seconds.

    Attributes
    ----------
    stop_seconds : float
        Time from the stop signal until the process is killed.
    drain_seconds : float
        Time after which a draining target must get no new work.
    configuration_seconds : float
        Time after which a change of the configuration must be in force.
    order_seconds : float
        Period in which no two holders may give orders to the same target.
    result_seconds : float
        Time for which results stay readable after a Lot's submission.
    lease_seconds : float
        Term of the lease that shows that a process is alive.
    fenced : bool
        Whether targets check fencing tokens.
    strict_revoke : bool
        Whether an entry refuses calls with an API key once its configuration has not
        been confirmed for `revoke_seconds`.
    revoke_seconds : float
        Longest age of the configuration for such calls.
    usage_window_seconds : float
        Length of the windows in which usage is counted.
    usage_due_seconds : float
        Time after a window's end by which its usage must be reported.
    """

    stop_seconds: float = 8.0
    drain_seconds: float = 2.0
    configuration_seconds: float = 2.0
    order_seconds: float = 3.0
    result_seconds: float = 120.0
    lease_seconds: float = 2.0
    fenced: bool = False
    strict_revoke: bool = False
    revoke_seconds: float = 5.0
    usage_window_seconds: float = 5.0
    usage_due_seconds: float = 10.0


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """The settings that a process has at its start.

    Attributes
    ----------
    name : str
        Name of the machine.
    host : str
        IP address of the machine.
    failure_domain : str
    front_address, api_address, ready_address : str
        ``host:port`` for the platform's callers, for callers of the product's own
        interface, and for readiness checks; empty where not served.
    peer_address : str
        ``host:port`` at which other processes of the system call this one.
    seed_addresses : tuple of str
        Addresses of some other processes, as of this process's start.
    store_address : str
        ``host:port`` of the platform's store.
    store_value_bytes : int
        Largest size of a row's value, in bytes.
    target_address : str
        ``host:port`` of the target on this machine; empty where there is none.
    service : str
        Service that the target belongs to.
    data_folder : str
        Folder on the disk for the spool; empty where there is none.
    duty_address : str
        ``host:port`` of the platform's interface for duties; empty where there is none.
    duties : frozenset of Duty
        Duties that the entries carry out.
    tolerated_losses : int
        Number of disks that may be lost at the same time.
    lot_admission : bool
        Whether an entry refuses Lots that the engines can't serve in time.
    memory_bytes : int
        Memory in bytes above which the process is killed.
    cores : float
        Processor share of the machine, in cores.
    log_level : str
        Lowest level of the events that are logged.
    bounds : Bounds
    """

    name: str
    host: str
    failure_domain: str
    store_address: str = ""
    front_address: str = ""
    api_address: str = ""
    ready_address: str = ""
    peer_address: str = ""
    seed_addresses: tuple[str, ...] = ()
    store_value_bytes: int = 1_048_576
    target_address: str = ""
    service: str = ""
    data_folder: str = ""
    duty_address: str = ""
    duties: frozenset[Duty] = frozenset()
    tolerated_losses: int = 1
    lot_admission: bool = False
    memory_bytes: int = 128 * 1024 * 1024
    cores: float = 1.0
    log_level: str = "info"
    bounds: Bounds = Bounds()
