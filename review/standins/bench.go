package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// bench holds what a run of a case has started, and its record.
type bench struct {
	root    string // of the project
	command string // `run` of the deploy file
	folder  string // temporary
	trouble bool
	started time.Time

	mu        sync.Mutex
	out       *os.File
	processes []*process
	closed    bool
}

func newBench(root, recordFile string) (*bench, error) {
	out, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	b := &bench{root: root, folder: folder, trouble: os.Getenv("TROUBLE") != "0", started: time.Now(), out: out}
	b.command, err = deployCommand(root, "run")
	return b, err
}

// deployCommand returns a command of the deploy file.
func deployCommand(root, key string) (string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	for line := range strings.Lines(string(text)) {
		name, value, _ := strings.Cut(line, "=")
		if strings.TrimSpace(name) == key {
			return strings.Trim(strings.TrimSpace(value), `"`), nil
		}
	}
	return "", fmt.Errorf("no %s in the deploy file", key)
}

// record appends a line to the record: the time in milliseconds, who, and what.
func (b *bench) record(who, format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return
	}
	at := float64(time.Since(b.started).Microseconds()) / 1000
	fmt.Fprintf(b.out, "%10.3f %-14s %s\n", at, who, fmt.Sprintf(format, args...))
}

// close kills all processes that are still running and removes the temporary folder.
func (b *bench) close() {
	b.mu.Lock()
	processes := b.processes
	closed := b.closed
	b.closed = true
	b.mu.Unlock()
	if closed {
		return
	}
	for _, p := range processes {
		p.kill()
	}
	b.out.Close()
	os.RemoveAll(b.folder)
}

// process is a dispatcher's process.
type process struct {
	b     *bench
	name  string
	mgmt  string
	cmd   *exec.Cmd
	ended chan struct{}

	mu  sync.Mutex
	log []string
}

// startOptions are the options of a dispatcher's process.
type startOptions struct {
	name   string // in the record
	config string // file
	mgmt   string // LB_MGMT
	tmp    string // TMPDIR
	fleet  string // LB_FLEET, optional
}

// start starts a dispatcher as the platform does: the command of the deploy file, by the shell, from the root.
func (b *bench) start(o startOptions) (*process, error) {
	p := &process{b: b, name: o.name, mgmt: o.mgmt, ended: make(chan struct{})}
	p.cmd = exec.Command("/bin/sh", "-c", b.command)
	p.cmd.Dir = b.root
	p.cmd.Env = append(os.Environ(), "LB_CONFIG="+o.config, "LB_MGMT="+o.mgmt, "TMPDIR="+o.tmp)
	if o.fleet != "" {
		p.cmd.Env = append(p.cmd.Env, "LB_FLEET="+o.fleet)
	}
	stderr, err := p.cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	b.mu.Lock()
	b.processes = append(b.processes, p)
	b.mu.Unlock()
	b.record(p.name, "process started, pid %d", p.cmd.Process.Pid)
	go func() {
		lines := bufio.NewScanner(stderr)
		for lines.Scan() {
			p.mu.Lock()
			p.log = append(p.log, lines.Text())
			p.mu.Unlock()
			if !strings.Contains(lines.Text(), "connection closed") {
				b.record(p.name, "log %s", lines.Text())
			}
		}
		err := p.cmd.Wait()
		b.record(p.name, "process ended: %v", err)
		close(p.ended)
	}()
	return p, nil
}

func (p *process) signal(s syscall.Signal) {
	select {
	case <-p.ended:
	default:
		p.b.record(p.name, "signal %v", s)
		_ = p.cmd.Process.Signal(s)
	}
}

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// awaitEnd waits for the end of the process.
func (p *process) awaitEnd(limit time.Duration) bool {
	select {
	case <-p.ended:
		return true
	case <-time.After(limit):
		return false
	}
}

// logged reports whether the log has a line with a text.
func (p *process) logged(text string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, line := range p.log {
		if strings.Contains(line, text) {
			return true
		}
	}
	return false
}

// call sends a command to the operators' address and returns the first line of the answer.
func (p *process) call(command string) string {
	conn, err := net.DialTimeout("tcp", p.mgmt, time.Second)
	if err != nil {
		return ""
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprintf(conn, "%s\n", command)
	answer, _ := bufio.NewReader(conn).ReadString('\n')
	return strings.TrimSpace(answer)
}

// awaitYes waits until the process says yes to HEALTH at the operators' address.
func (p *process) awaitYes(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); {
		if p.call("HEALTH") == "done" {
			p.b.record(p.name, "HEALTH: done")
			return nil
		}
		select {
		case <-p.ended:
			return fmt.Errorf("%w: %s has ended", errNotRun, p.name)
		case <-time.After(2 * time.Millisecond):
		}
	}
	return fmt.Errorf("%w: %s is not ready", errNotRun, p.name)
}

// object is a JSON object.
type object = map[string]any

// writeConfig writes a dispatcher's configuration file.
func (b *bench) writeConfig(file string, config object) (string, error) {
	text, err := json.MarshalIndent(config, "", " ")
	if err != nil {
		return "", err
	}
	path := filepath.Join(b.folder, file)
	return path, os.WriteFile(path, text, 0o600)
}

// freeAddress returns an address on loopback with a free port.
func freeAddress(network string) (string, error) {
	if network == "udp" {
		conn, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		defer conn.Close()
		return conn.LocalAddr().String(), nil
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// site holds the parts of a small deployment that the cases share.
type site struct {
	listen    string
	discovery *discovery
	workers   []*worker
	runs      *runLog
	tmp       string
	config    string
}

// newSite starts workers and the discovery service, and writes the configuration of one dispatcher.
func (b *bench) newSite(name string, workers []*worker, settings object) (*site, error) {
	s := &site{workers: workers, runs: &runLog{b: b}, tmp: filepath.Join(b.folder, "tmp-"+name)}
	if err := os.Mkdir(s.tmp, 0o700); err != nil {
		return nil, err
	}
	for _, w := range workers {
		w.b = b
		w.runs = s.runs
		if err := w.start(); err != nil {
			return nil, err
		}
	}
	var err error
	if s.discovery, err = newDiscovery(workers); err != nil {
		return nil, err
	}
	if s.listen, err = freeAddress("tcp"); err != nil {
		return nil, err
	}
	peers, err := freeAddress("udp")
	if err != nil {
		return nil, err
	}
	s.config, err = b.writeConfig("config-"+name+".json", object{
		"name":        "n0",
		"listen":      s.listen,
		"discovery":   s.discovery.address,
		"seed":        "8c1f30d27a5be964",
		"limits":      object{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"peer_listen": peers,
		"peers":       []string{peers},
		"known":       json.RawMessage(s.discovery.list()),
		"settings":    settings,
	})
	return s, err
}

// editConfig changes the configuration, and replaces the file as a whole.
func (s *site) editConfig(edit func(object)) error {
	text, err := os.ReadFile(s.config)
	if err != nil {
		return err
	}
	var config object
	if err := json.Unmarshal(text, &config); err != nil {
		return err
	}
	edit(config)
	if text, err = json.MarshalIndent(config, "", " "); err != nil {
		return err
	}
	if err := os.WriteFile(s.config+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(s.config+".new", s.config)
}

func (s *site) close() {
	s.discovery.close()
	for _, w := range s.workers {
		w.close()
	}
}

// startProcess starts a process of the site's dispatcher with an operators' address of its own, and waits until it says
// yes there.
func (s *site) startProcess(b *bench, name, fleet string) (*process, error) {
	mgmt, err := freeAddress("tcp")
	if err != nil {
		return nil, err
	}
	p, err := b.start(startOptions{name: name, config: s.config, mgmt: mgmt, tmp: s.tmp, fleet: fleet})
	if err != nil {
		return nil, err
	}
	return p, p.awaitYes(15 * time.Second)
}
