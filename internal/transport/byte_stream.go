package transport

import (
	"net"
	"sync/atomic"
)

// byteStream reads from and writes to a connection and counts the bytes. It can record the data that it reads, and
// replay recorded data.
type byteStream struct {
	conn         net.Conn
	bytesRead    atomic.Int64
	bytesWritten atomic.Int64
	replay       []byte        // data that Read returns before it reads from conn
	recording    *readRecorder // nil if reads are not recorded
}

// Read returns the data to be replayed first, and then reads from the connection. It fails with errRecordingTooLong if
// the data can't be recorded.
func (s *byteStream) Read(p []byte) (n int, err error) {
	if len(s.replay) > 0 {
		n = copy(p, s.replay)
		s.replay = s.replay[n:]
	} else {
		n, err = s.conn.Read(p)
	}
	s.bytesRead.Add(int64(n))
	if s.recording != nil {
		if recordErr := s.recording.record(p[:n]); recordErr != nil {
			return n, recordErr
		}
	}
	return n, err
}

// Write writes p to the connection.
func (s *byteStream) Write(p []byte) (int, error) {
	n, err := s.conn.Write(p)
	s.bytesWritten.Add(int64(n))
	return n, err
}
