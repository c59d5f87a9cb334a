"""Settings of one process on the platform, whatever their format there."""

from dataclasses import dataclass

from wigeonfront.duties import Duty


@dataclass(frozen=True, slots=True)
class Bounds:
    """Times that the users have agreed, in seconds.

    Attributes
    ----------
    stop_seconds : float
        From the stop signal until the process is killed.
    drain_seconds : float
        Within which a leaving target gets no new work.
    configuration_seconds : float
        Within which a change is in force.
    order_seconds : float
        Within which two holders may not both give orders to a target.
    result_seconds : float
        How long results stay readable after a Lot's submission.
    lease_seconds : float
        Term of the lease by which a process is known to live.
    fenced : bool
        Targets check fencing tokens.
    strict_revoke : bool
        Calls with an API key are refused by an entry whose configuration has not been
        confirmed for `revoke_seconds`.
    revoke_seconds : float
    usage_window_seconds : float
        Length of the windows in which usage is counted.
    usage_due_seconds : float
        After a window's end, within which its usage is due.
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
    """What a process knows at its start.

    Attributes
    ----------
    name : str
        Of the machine.
    host : str
        IP number of the machine.
    failure_domain : str
    front_address, api_address, ready_address : str
        ``host:port`` for the platform's callers, for callers of the product's own
        interface, and for readiness; empty where not served.
    peer_address : str
        ``host:port`` on which the system's other processes call this one.
    seed_addresses : tuple of str
        Where some of the other processes could be called at this one's start.
    store_address : str
        ``host:port`` of the platform's store.
    store_value_bytes : int
        Largest value of a row.
    target_address : str
        ``host:port`` of the target on this machine; empty where there is none.
    service : str
        Service of that target.
    data_folder : str
        Folder of the disk; empty where there is none.
    duty_address : str
        ``host:port`` of the platform for duties of one machine; empty for none.
    duties : frozenset of Duty
        Duties that are to be done.
    tolerated_losses : int
        Disks that may be lost at the same time.
    memory_bytes : int
        Memory above which the process is killed.
    cores : float
        Processor time that the machine gives, in cores.
    log_level : str
        Lowest level that is logged.
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
    memory_bytes: int = 128 * 1024 * 1024
    cores: float = 1.0
    log_level: str = "info"
    bounds: Bounds = Bounds()
