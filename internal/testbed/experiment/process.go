package experiment

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// process is a dispatcher's process over all its incarnations. Signals go only to the process started last.
type process struct {
	name, folder  string
	command       []string // the program and its arguments
	directory     string   // for temporary files, shared by both processes of an upgrade
	operatorsAddr string   // address of the admin server
	fleet         string   // path of the fleet's configuration file, "" for none
	disk          string   // state folder
	log           *os.File

	mu              sync.Mutex
	cmd             *exec.Cmd
	exited          chan struct{} // closed when the process of cmd has ended
	stopping        bool          // it was asked to end, or killed
	incarnations    int
	unexpectedExits []string // descriptions of exits without stopping
	cpu             time.Duration
	paused          bool
}

func newProcess(name, folder string, command []string) (*process, error) {
	log, err := os.Create(filepath.Join(folder, name+".log"))
	if err != nil {
		return nil, err
	}
	directory := filepath.Join(folder, name+".tmp")
	if err := os.MkdirAll(directory, 0o700); err != nil {
		return nil, err
	}
	return &process{name: name, folder: folder, command: command, log: log, directory: directory}, nil
}

// writeConfig replaces the configuration file atomically.
func (p *process) writeConfig(config []byte) error {
	path := filepath.Join(p.folder, p.name+".json")
	if err := os.WriteFile(path+".new", config, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// absorb adds the CPU time and unexpected exits of another process of the same dispatcher, which has ended.
func (p *process) absorb(old *process) {
	old.mu.Lock()
	defer old.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cpu += old.cpu
	p.unexpectedExits = append(p.unexpectedExits, old.unexpectedExits...)
}

// start starts the program with a configuration.
func (p *process) start(config []byte) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.writeConfig(config); err != nil {
		return err
	}
	path := filepath.Join(p.folder, p.name+".json")
	cmd := exec.Command(p.command[0], p.command[1:]...)
	cmd.Env = append(os.Environ(), "LB_CONFIG="+path, "TMPDIR="+p.directory)
	if p.fleet != "" {
		cmd.Env = append(cmd.Env, "LB_FLEET="+p.fleet)
	}
	cmd.Stdout = p.log
	cmd.Stderr = p.log
	cmd.SysProcAttr = processGroup()
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("dispatcher %s: %w", p.name, err)
	}
	gone := make(chan struct{})
	p.cmd = cmd
	p.exited = gone
	p.stopping = false
	p.paused = false
	p.incarnations++
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		defer p.mu.Unlock()
		p.cpu += cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()
		if !p.stopping {
			p.unexpectedExits = append(p.unexpectedExits, fmt.Sprintf("%s ended by itself: %v", p.name, err))
		}
		close(gone)
	}()
	return nil
}

// running reports whether the process runs.
func (p *process) running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return false
	}
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

func (p *process) signal(s syscall.Signal, ends bool) {
	if !p.running() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopping = p.stopping || ends
	_ = p.cmd.Process.Signal(s) // fails only if it has just ended, which Wait reports
}

func (p *process) pause(still bool) {
	if still {
		p.signal(syscall.SIGSTOP, false)
	} else {
		p.signal(syscall.SIGCONT, false)
	}
	p.mu.Lock()
	p.paused = still
	p.mu.Unlock()
}

// kill kills the process and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL, true)
	p.wait(context.Background())
}

// errStopTimeout means that a process did not end in time and was killed.
var errStopTimeout = errors.New("did not end in time")

// stop asks the process to end, and kills it after the timeout.
func (p *process) stop(within time.Duration) error {
	p.mu.Lock()
	stalled := p.paused
	p.mu.Unlock()
	if stalled {
		p.pause(false)
	}
	p.signal(syscall.SIGTERM, true)
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	if p.wait(ctx) {
		return nil
	}
	p.kill()
	return fmt.Errorf("dispatcher %s: %w", p.name, errStopTimeout)
}

// wait waits for the end of the process, and reports whether it came before that of ctx.
func (p *process) wait(ctx context.Context) bool {
	p.mu.Lock()
	gone := p.exited
	p.mu.Unlock()
	if gone == nil {
		return true
	}
	select {
	case <-gone:
		return true
	case <-ctx.Done():
		return false
	}
}

// Ports for dispatchers are below the kernel's range for outgoing connections, which could otherwise take a port while
// its dispatcher restarts.
const (
	minPort         = 10240
	maxPort         = 32767
	maxPortAttempts = 200
)

// firstPort is the random offset from which this process assigns ports, portsTaken how many it has assigned. Ports are
// assigned in a ring, so that one whose dispatcher has no power at the moment is not assigned to another experiment.
var (
	firstPort  = rand.Uint32N(maxPort - minPort)
	portsTaken atomic.Uint32
)

// freePort returns an address on loopback whose port is free for TCP and UDP.
func freePort() (netip.AddrPort, error) {
	home := netip.AddrFrom4([4]byte{127, 0, 0, 1})
	for range maxPortAttempts {
		at := netip.AddrPortFrom(home, uint16(minPort+(firstPort+portsTaken.Add(1))%(maxPort-minPort)))
		ln, err := net.Listen("tcp", at.String())
		if err != nil {
			continue
		}
		ln.Close()
		pc, err := net.ListenPacket("udp", at.String())
		if err != nil {
			continue
		}
		pc.Close()
		return at, nil
	}
	return netip.AddrPort{}, fmt.Errorf("no free port found on 127.0.0.1 from %d to %d", minPort, maxPort)
}
