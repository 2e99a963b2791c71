package hotrestart

import (
	"fmt"
	"hash/fnv"
	"net"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// maxPathBytes is the longest path that is used directly as the address of a Unix socket. The system allows 107 bytes,
// and the temporary name that listen uses is longer by a process ID.
const maxPathBytes = 90

// ControlSocket is the Unix socket through which the processes of one dispatcher connect for a hot restart.
type ControlSocket struct {
	dir  string
	file string // name of the socket in dir
}

// NewControlSocket returns the control socket, in a directory, of the dispatcher with the given name and addresses. All
// releases must derive the same path.
func NewControlSocket(dir string, identity ...string) ControlSocket {
	h := fnv.New64a()
	fmt.Fprintf(h, "%q", identity)
	return ControlSocket{dir: dir, file: fmt.Sprintf("canvasroute-%016x.sock", h.Sum64())}
}

func (s ControlSocket) path(file string) string { return filepath.Join(s.dir, file) }

// withAddress calls use with the address of a file in the directory. If the path is too long, the address refers to the
// directory by a file descriptor that is open during the call.
func (s ControlSocket) withAddress(file string, use func(*net.UnixAddr) error) error {
	path := s.path(file)
	if len(path) > maxPathBytes {
		dir, err := os.Open(s.dir)
		if err != nil {
			return fmt.Errorf("hot restart control socket: %w", err)
		}
		defer dir.Close()
		path = fmt.Sprintf("/proc/self/fd/%d/%s", dir.Fd(), file)
	}
	return use(&net.UnixAddr{Name: path, Net: "unix"})
}

// listen listens on the control socket, replacing an existing file such as the socket of a predecessor or of a killed
// process. The new socket listens before it is renamed to its final name, so that a connecting process always finds a
// listening one.
func (s ControlSocket) listen() (*net.UnixListener, error) {
	temporary := fmt.Sprintf("%s.%d", s.file, os.Getpid())
	_ = os.Remove(s.path(temporary)) // if an existing file cannot be removed, listening fails
	var ln *net.UnixListener
	err := s.withAddress(temporary, func(addr *net.UnixAddr) error {
		var err error
		ln, err = net.ListenUnix("unix", addr)
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("hot restart control socket: %w", err)
	}
	ln.SetUnlinkOnClose(false) // on close the path may belong to the successor
	if err := os.Rename(s.path(temporary), s.path(s.file)); err != nil {
		ln.Close()
		return nil, fmt.Errorf("hot restart control socket: %w", err)
	}
	return ln, nil
}

// stat returns the file info of the control socket, or nil if it cannot be read, for example if there is no socket.
func (s ControlSocket) stat() os.FileInfo {
	info, err := os.Stat(s.path(s.file))
	if err != nil {
		return nil
	}
	return info
}

// dial connects to the process that listens on the control socket.
func (s ControlSocket) dial() (*net.UnixConn, error) {
	var conn *net.UnixConn
	err := s.withAddress(s.file, func(addr *net.UnixAddr) error {
		var err error
		conn, err = net.DialUnix("unix", nil, addr)
		return err
	})
	return conn, err
}

// isSameUser reports whether the process at the other end runs as the same user. The process of another user receives
// no sockets, and its messages are not read.
func isSameUser(conn *net.UnixConn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	same := false
	err = raw.Control(func(fd uintptr) {
		peer, err := unix.GetsockoptUcred(int(fd), unix.SOL_SOCKET, unix.SO_PEERCRED)
		same = err == nil && int(peer.Uid) == os.Getuid()
	})
	return err == nil && same
}
