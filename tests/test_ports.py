from platform_standins.ports import free_port


def test_no_port_is_returned_twice():
    """Without a listener the operating system may give out a port twice."""
    ports = [free_port("127.9.9.9") for _ in range(1500)]
    assert len(set(ports)) == len(ports)
