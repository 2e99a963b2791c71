package experiment

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// process is a dispatcher's process over all its incarnations. Signals go only to the process started last.
type process struct {
	name      string
	folder    string   // of the result, for the log and the configuration
	command   []string // the program and its arguments
	directory string   // for temporary files, shared by both processes of an upgrade
	adminAddr string   // address of the admin server
	fleet     string   // path of the fleet's configuration file, "" for none
	disk      string   // state folder, "" for none
	log       *os.File

	mu              sync.Mutex
	cmd             *exec.Cmd     // of the process started last, nil before the first start
	exited          chan struct{} // closed when the process of cmd has ended
	stopping        bool          // it was asked to end, or killed
	incarnations    int           // started so far
	unexpectedExits []string      // descriptions of exits without stopping
	cpu             time.Duration // of all incarnations that have ended
	paused          bool
}

// Modes of files and folders that only the testbed and its dispatchers use.
const (
	fileMode   = 0o600
	folderMode = 0o700
)

// newProcess returns a process that is not started yet, and opens its log.
func newProcess(name, folder string, command []string) (*process, error) {
	log, err := os.Create(filepath.Join(folder, name+".log"))
	if err != nil {
		return nil, err
	}
	directory := filepath.Join(folder, name+".tmp")
	if err := os.MkdirAll(directory, folderMode); err != nil {
		return nil, err
	}
	return &process{name: name, folder: folder, command: command, log: log, directory: directory}, nil
}

// writeConfig replaces the configuration file atomically.
func (p *process) writeConfig(config []byte) error {
	path := p.configPath()
	if err := os.WriteFile(path+".new", config, fileMode); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// configPath returns the path of the configuration file.
func (p *process) configPath() string { return filepath.Join(p.folder, p.name+".json") }

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
	cmd := exec.Command(p.command[0], p.command[1:]...)
	cmd.Env = append(os.Environ(), "LB_CONFIG="+p.configPath(), "TMPDIR="+p.directory)
	if p.fleet != "" {
		cmd.Env = append(cmd.Env, "LB_FLEET="+p.fleet)
	}
	cmd.Stdout = p.log
	cmd.Stderr = p.log
	cmd.SysProcAttr = processGroup()
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("dispatcher %s: %w", p.name, err)
	}
	p.cmd = cmd
	p.exited = make(chan struct{})
	p.stopping = false
	p.paused = false
	p.incarnations++
	go p.recordExit(cmd, p.exited)
	return nil
}

// recordExit waits for the end of a process, records its CPU time and whether it was unexpected, and closes exited.
func (p *process) recordExit(cmd *exec.Cmd, exited chan<- struct{}) {
	err := cmd.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cpu += cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()
	if !p.stopping {
		p.unexpectedExits = append(p.unexpectedExits, fmt.Sprintf("%s ended by itself: %v", p.name, err))
	}
	close(exited)
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

// signal sends a signal after which the process continues.
func (p *process) signal(sig syscall.Signal) {
	if !p.running() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(sig) // fails only if it has just ended, which Wait reports
}

// signalToEnd sends a signal that ends the process, so that its end is not unexpected.
func (p *process) signalToEnd(sig syscall.Signal) {
	if !p.running() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopping = true
	_ = p.cmd.Process.Signal(sig) // fails only if it has just ended, which Wait reports
}

// pause stops the process until resume.
func (p *process) pause() {
	p.signal(syscall.SIGSTOP)
	p.mu.Lock()
	p.paused = true
	p.mu.Unlock()
}

// resume ends a pause.
func (p *process) resume() {
	p.signal(syscall.SIGCONT)
	p.mu.Lock()
	p.paused = false
	p.mu.Unlock()
}

// kill kills the process and waits for its end.
func (p *process) kill() {
	p.signalToEnd(syscall.SIGKILL)
	p.wait(context.Background())
}

// errStopTimeout means that a process did not end in time and was killed.
var errStopTimeout = errors.New("did not end in time")

// stop asks the process to end, and kills it after the timeout.
func (p *process) stop(within time.Duration) error {
	p.mu.Lock()
	paused := p.paused
	p.mu.Unlock()
	if paused {
		p.resume()
	}
	p.signalToEnd(syscall.SIGTERM)
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	if p.wait(ctx) {
		return nil
	}
	p.kill()
	return fmt.Errorf("dispatcher %s: %w", p.name, errStopTimeout)
}

// wait waits for the end of the process or of ctx, and reports whether the process has ended. One that was never
// started has.
func (p *process) wait(ctx context.Context) bool {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited == nil {
		return true
	}
	select {
	case <-exited:
		return true
	case <-ctx.Done():
		return false
	}
}
