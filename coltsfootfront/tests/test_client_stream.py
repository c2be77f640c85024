"""Tests of the stream that callers of the soak receive."""

import unittest

from coltsfootfront_dev.clientstream import ClientStream

EVENTS = (b"id: 0\ndata: v1 0\n\n", b"id: 1\ndata: v1 1\n\n", b"id: 2\ndata: v1 2\n\n")


def receive(*pieces: bytes) -> ClientStream:
    stream = ClientStream("s1", len(EVENTS))
    for piece in pieces:
        stream.feed(piece)
    return stream


class ClientStreamTest(unittest.TestCase):
    def test_whole_stream_in_pieces_of_any_size(self) -> None:
        """Guards against a sound stream that is reported for how it arrives."""
        data = b"".join(EVENTS)
        for size in (1, 7, len(data)):
            pieces = [data[at : at + size] for at in range(0, len(data), size)]
            self.assertTrue(receive(*pieces).is_whole)

    def test_stream_with_anything_else_is_not_whole(self) -> None:
        """Guards against a check that passes over bytes which belong to no event."""
        first, second, third = EVENTS
        other = b"id: 1\ndata: v2 1\n\n"
        for pieces in (
            (first, b"x", second, third),
            (b"HTTP/1.1 200 OK\r\n\r\n", *EVENTS),
            (*EVENTS, b"id: 3"),
            (*EVENTS, third),
            (first, third),
            (first, second),
            (first, first, second, third),
            (first, other, third),
        ):
            with self.subTest(pieces):
                self.assertFalse(receive(*pieces).is_whole)


if __name__ == "__main__":
    unittest.main()
