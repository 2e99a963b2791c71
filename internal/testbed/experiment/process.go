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

// process runs the successive incarnations of a dispatcher's process. Signals are sent to the most recent one only.
type process struct {
	name            string
	folder          string   // result folder, which holds the log and the configuration
	command         []string // program and its arguments
	tempFolder      string   // folder for temporary files, shared by both processes of an upgrade
	adminAddr       string   // address of the admin server
	fleetConfigPath string   // path of the fleet configuration file, "" for none
	stateFolder     string   // state folder, "" for none
	log             *os.File

	mu              sync.Mutex
	cmd             *exec.Cmd     // most recent process, nil before the first start
	exited          chan struct{} // closed when the process of cmd has exited
	stopping        bool          // a signal that ends the process has been sent to it
	incarnations    int           // number of processes started
	unexpectedExits []string      // descriptions of exits that the testbed did not cause
	cpu             time.Duration // CPU time of all incarnations that have exited
	paused          bool
}

// Permissions of files and folders that only the testbed and its dispatchers use.
const (
	fileMode   = 0o600
	folderMode = 0o700
)

// newProcess returns a process that has not been started. It creates the log and the folder for temporary files.
func newProcess(name, folder string, command []string) (*process, error) {
	log, err := os.Create(filepath.Join(folder, name+".log"))
	if err != nil {
		return nil, err
	}
	tempFolder := filepath.Join(folder, name+".tmp")
	if err := os.MkdirAll(tempFolder, folderMode); err != nil {
		return nil, err
	}
	return &process{name: name, folder: folder, command: command, log: log, tempFolder: tempFolder}, nil
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

// mergeStatistics adds the CPU time and the unexpected exits of old, an earlier process of the same dispatcher that has
// exited.
func (p *process) mergeStatistics(old *process) {
	old.mu.Lock()
	defer old.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cpu += old.cpu
	p.unexpectedExits = append(p.unexpectedExits, old.unexpectedExits...)
}

// start writes the configuration and starts the program.
func (p *process) start(config []byte) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.writeConfig(config); err != nil {
		return err
	}
	cmd := exec.Command(p.command[0], p.command[1:]...)
	cmd.Env = append(os.Environ(), "LB_CONFIG="+p.configPath(), "TMPDIR="+p.tempFolder)
	if p.fleetConfigPath != "" {
		cmd.Env = append(cmd.Env, "LB_FLEET="+p.fleetConfigPath)
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

// recordExit waits for cmd to exit, records its CPU time and whether the exit was unexpected, and closes exited.
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

// isRunning reports whether the process is isRunning.
func (p *process) isRunning() bool {
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

// signal sends a signal that does not end the process. It does nothing if the process is not running.
func (p *process) signal(sig syscall.Signal) {
	if !p.isRunning() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(sig) // fails only if the process has just exited, which Wait reports
}

// sendStopSignal sends a signal that ends the process, and records that its exit is expected. It does nothing if the
// process is not running.
func (p *process) sendStopSignal(sig syscall.Signal) {
	if !p.isRunning() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopping = true
	_ = p.cmd.Process.Signal(sig) // fails only if the process has just exited, which Wait reports
}

// pause suspends the process until resume.
func (p *process) pause() {
	p.signal(syscall.SIGSTOP)
	p.mu.Lock()
	p.paused = true
	p.mu.Unlock()
}

// resume continues a paused process.
func (p *process) resume() {
	p.signal(syscall.SIGCONT)
	p.mu.Lock()
	p.paused = false
	p.mu.Unlock()
}

// kill kills the process and waits until it has exited.
func (p *process) kill() {
	p.sendStopSignal(syscall.SIGKILL)
	p.wait(context.Background())
}

// errStopTimeout is returned if a process did not exit within the timeout and was killed.
var errStopTimeout = errors.New("did not end in time")

// stop sends SIGTERM to the process, which it resumes first if paused. If the process does not exit within the timeout,
// stop kills it and returns an error that wraps errStopTimeout.
func (p *process) stop(timeout time.Duration) error {
	p.mu.Lock()
	paused := p.paused
	p.mu.Unlock()
	if paused {
		p.resume()
	}
	p.sendStopSignal(syscall.SIGTERM)
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if p.wait(ctx) {
		return nil
	}
	p.kill()
	return fmt.Errorf("dispatcher %s: %w", p.name, errStopTimeout)
}

// wait waits until the process exits or ctx ends. It reports whether the process has exited, and returns true if the
// process was never started.
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
