package transport

import (
	"net"
	"sync/atomic"
)

// byteStream reads and writes a connection and counts the bytes. It can record what it reads, and replay it.
type byteStream struct {
	conn         net.Conn
	bytesRead    atomic.Int64
	bytesWritten atomic.Int64
	replay       []byte        // is read before anything else from conn
	recording    *readRecorder // nil where nothing is recorded
}

// Read reads from the bytes to be replayed, and after them from the connection.
func (s *byteStream) Read(p []byte) (n int, err error) {
	if len(s.replay) > 0 {
		n = copy(p, s.replay)
		s.replay = s.replay[n:]
	} else {
		n, err = s.conn.Read(p)
	}
	s.bytesRead.Add(int64(n))
	if s.recording != nil {
		s.recording.record(p[:n])
	}
	return n, err
}

// Write writes to the connection.
func (s *byteStream) Write(p []byte) (int, error) {
	n, err := s.conn.Write(p)
	s.bytesWritten.Add(int64(n))
	return n, err
}
