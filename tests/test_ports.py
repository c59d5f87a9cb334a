from platform_standins.ports import free_port


def test_no_port_is_drawn_twice():
    """Nobody listens between two draws, in which the system may repeat itself."""
    drawn = [free_port("127.9.9.9") for _ in range(1500)]
    assert len(set(drawn)) == len(drawn)
