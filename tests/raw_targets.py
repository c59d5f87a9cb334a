"""Targets that send raw bytes."""

import socket
import threading


class ListeningTarget:
    """Accepts connections and runs `_answer` on each in a thread of its own."""

    def __init__(self):
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self):
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._answer, args=(connection,), daemon=True
            ).start()

    def _answer(self, connection):
        raise NotImplementedError

    def close(self):
        self._listener.close()
