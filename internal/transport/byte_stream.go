package transport

import (
	"net"
	"sync/atomic"
)

// byteStream reads and writes a connection, counts the bytes, and can record what it reads and read it again.
type byteStream struct {
	conn                    net.Conn
	bytesRead, bytesWritten atomic.Int64
	replay                  []byte    // is read before anything else from conn
	recorder                *recorder // nil where nothing is recorded
}

// Read reads what is to be replayed, then the connection.
func (s *byteStream) Read(p []byte) (n int, err error) {
	if len(s.replay) > 0 {
		n = copy(p, s.replay)
		s.replay = s.replay[n:]
	} else {
		n, err = s.conn.Read(p)
	}
	s.bytesRead.Add(int64(n))
	if s.recorder != nil {
		s.recorder.record(p[:n])
	}
	return n, err
}

// Write writes to the connection.
func (s *byteStream) Write(p []byte) (int, error) {
	n, err := s.conn.Write(p)
	s.bytesWritten.Add(int64(n))
	return n, err
}
