package hotrestart

import (
	"fmt"
	"hash/fnv"
	"net"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// longestPath is that of a Unix socket, with room for the name it has before it is put in place.
const longestPath = 90

// Rendezvous is where the processes of one dispatcher meet.
type Rendezvous struct{ dir, file string }

// RendezvousFor is that of a dispatcher, by its name and its addresses, in a directory.
func RendezvousFor(dir string, of ...string) Rendezvous {
	h := fnv.New64a()
	fmt.Fprintf(h, "%q", of)
	return Rendezvous{dir, fmt.Sprintf("canvasroute-%016x.sock", h.Sum64())}
}

// within calls do with an address for a file in the place's directory; a path that is too long for an address
// goes by the directory's descriptor.
func (p Rendezvous) within(file string, do func(*net.UnixAddr) error) error {
	path := filepath.Join(p.dir, file)
	if len(path) > longestPath {
		d, err := os.Open(p.dir)
		if err != nil {
			return fmt.Errorf("meeting place: %w", err)
		}
		defer d.Close()
		path = fmt.Sprintf("/proc/self/fd/%d/%s", d.Fd(), file)
	}
	return do(&net.UnixAddr{Name: path, Net: "unix"})
}

// listen opens the meeting place, in place of whoever had it: what a killed process left there is replaced,
// and so is a predecessor. The socket is put in place whole: there is no moment at which a caller finds none.
func (p Rendezvous) listen() (ln *net.UnixListener, err error) {
	fresh := fmt.Sprintf("%s.%d", p.file, os.Getpid())
	_ = os.Remove(filepath.Join(p.dir, fresh)) // most often there is none; one that stays fails the listening
	err = p.within(fresh, func(a *net.UnixAddr) error {
		ln, err = net.ListenUnix("unix", a)
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("meeting place: %w", err)
	}
	ln.SetUnlinkOnClose(false) // by then it may be the successor's
	if err := os.Rename(filepath.Join(p.dir, fresh), filepath.Join(p.dir, p.file)); err != nil {
		ln.Close()
		return nil, fmt.Errorf("meeting place: %w", err)
	}
	return ln, nil
}

// stat is what is at the place, nil for nothing.
func (p Rendezvous) stat() os.FileInfo {
	info, err := os.Stat(filepath.Join(p.dir, p.file))
	if err != nil {
		return nil
	}
	return info
}

func (p Rendezvous) dial() (c *net.UnixConn, err error) {
	err = p.within(p.file, func(a *net.UnixAddr) error {
		c, err = net.DialUnix("unix", nil, a)
		return err
	})
	return c, err
}

// ours tells whether the other end is a process of the same user: nobody else is told anything, or believed.
func ours(c *net.UnixConn) bool {
	raw, err := c.SyscallConn()
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
