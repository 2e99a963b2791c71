package hotrestart

import (
	"fmt"
	"hash/fnv"
	"net"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// maxPathBytes is the longest path of a Unix socket that is used as it is. The system allows 107 bytes, and until the
// socket is in place its name is longer by a process ID.
const maxPathBytes = 90

// Rendezvous is the Unix socket at which the processes of one dispatcher find each other.
type Rendezvous struct {
	dir  string
	file string // name of the socket in dir
}

// RendezvousFor returns the rendezvous in a directory of the dispatcher that its name and addresses identify. All
// releases have to find the same one.
func RendezvousFor(dir string, identity ...string) Rendezvous {
	h := fnv.New64a()
	fmt.Fprintf(h, "%q", identity)
	return Rendezvous{dir: dir, file: fmt.Sprintf("canvasroute-%016x.sock", h.Sum64())}
}

func (r Rendezvous) path(file string) string { return filepath.Join(r.dir, file) }

// withAddress calls use with the address of a file in the directory. Instead of a path that is too long, the address has
// the path of the directory's descriptor, which is open during the call.
func (r Rendezvous) withAddress(file string, use func(*net.UnixAddr) error) error {
	path := r.path(file)
	if len(path) > maxPathBytes {
		dir, err := os.Open(r.dir)
		if err != nil {
			return fmt.Errorf("rendezvous: %w", err)
		}
		defer dir.Close()
		path = fmt.Sprintf("/proc/self/fd/%d/%s", dir.Fd(), file)
	}
	return use(&net.UnixAddr{Name: path, Net: "unix"})
}

// listen listens at the rendezvous, and replaces the file there: the socket of a predecessor or of a killed process. The
// new socket listens before it is renamed into place, so that a process that connects always finds one.
func (r Rendezvous) listen() (*net.UnixListener, error) {
	temporary := fmt.Sprintf("%s.%d", r.file, os.Getpid())
	_ = os.Remove(r.path(temporary)) // if there is one that cannot be removed, listening fails
	var ln *net.UnixListener
	err := r.withAddress(temporary, func(addr *net.UnixAddr) error {
		var err error
		ln, err = net.ListenUnix("unix", addr)
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("rendezvous: %w", err)
	}
	ln.SetUnlinkOnClose(false) // by then the path may be the successor's
	if err := os.Rename(r.path(temporary), r.path(r.file)); err != nil {
		ln.Close()
		return nil, fmt.Errorf("rendezvous: %w", err)
	}
	return ln, nil
}

// stat returns what is at the rendezvous, nil for nothing.
func (r Rendezvous) stat() os.FileInfo {
	info, err := os.Stat(r.path(r.file))
	if err != nil {
		return nil
	}
	return info
}

// dial connects to the process that listens at the rendezvous.
func (r Rendezvous) dial() (*net.UnixConn, error) {
	var conn *net.UnixConn
	err := r.withAddress(r.file, func(addr *net.UnixAddr) error {
		var err error
		conn, err = net.DialUnix("unix", nil, addr)
		return err
	})
	return conn, err
}

// isSameUser reports whether the process at the other end runs as the same user. Another user's process gets no sockets,
// and its messages are not read.
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
