package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"sync"
	"syscall"
	"time"
)

// environment is what a case needs: the record, a temporary folder and the processes that it has started.
type environment struct {
	root    string
	folder  string // temporary
	trouble bool   // the disruption takes place
	run     string // the command of the deploy file that starts a dispatcher
	began   time.Time

	mu        sync.Mutex
	record    *bufio.Writer
	file      *os.File
	processes []*dispatcher
}

func newEnvironment(root, recordFile string, trouble bool) (*environment, error) {
	root, err := filepath.Abs(root)
	if err != nil {
		return nil, err
	}
	deploy, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return nil, err
	}
	command := regexp.MustCompile(`(?m)^run = "(.*)"`).FindSubmatch(deploy)
	if command == nil {
		return nil, fmt.Errorf("no run line in the deploy file")
	}
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	return &environment{
		root: root, folder: folder, trouble: trouble, run: string(command[1]), began: time.Now(),
		file: file, record: bufio.NewWriter(file),
	}, nil
}

// note writes a line to the record, with the time since the start.
func (e *environment) note(format string, args ...any) {
	e.noteAt(time.Now(), format, args...)
}

func (e *environment) noteAt(at time.Time, format string, args ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	fmt.Fprintf(e.record, "%9.3f %s\n", at.Sub(e.began).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to standard output.
func (e *environment) say(format string, args ...any) {
	e.note(format, args...)
	fmt.Printf(format+"\n", args...)
}

// seconds returns a time as in the record.
func (e *environment) seconds(at time.Time) float64 { return at.Sub(e.began).Seconds() }

// close ends all processes and closes the record.
func (e *environment) close() {
	e.mu.Lock()
	processes := e.processes
	e.mu.Unlock()
	for _, p := range processes {
		p.kill()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.record.Flush()
	e.file.Close()
	os.RemoveAll(e.folder)
}

// unexpectedExit returns an error if a dispatcher has ended that the case did not end.
func (e *environment) unexpectedExit() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range e.processes {
		select {
		case <-p.exited:
			if !p.told {
				return fmt.Errorf("dispatcher %s has ended by itself: %v", p.name, p.command.ProcessState)
			}
		default:
		}
	}
	return nil
}

// freeAddress returns a loopback address with a port that was free a moment ago. The port is below those that the system
// gives to outgoing connections.
func freeAddress() (string, error) {
	const from, count, tries = 20000, 10000, 100
	var err error
	for range tries {
		address := fmt.Sprintf("127.0.0.1:%d", from+rand.IntN(count))
		var ln net.Listener
		if ln, err = net.Listen("tcp", address); err == nil {
			ln.Close()
			return address, nil
		}
	}
	return "", err
}

// dispatcher is a process of the project's program.
type dispatcher struct {
	name    string
	listen  string
	log     string // file
	command *exec.Cmd
	exited  chan struct{}
	told    bool // the case has ended it
}

// dispatcherConfig is what a case sets for a dispatcher.
type dispatcherConfig struct {
	name       string
	listen     string // "" for a free address
	discovery  string
	admin      string // "" for none
	tmp        string // "" for a folder of its own
	known      any
	settings   object
	sockets    int    // 0 for 1024
	memoryMB   int    // 0 for 192
	peerListen string // "" without messages between dispatchers
	peers      []string
}

type object = map[string]any

// startDispatcher starts a dispatcher by the command of the deploy file.
func (e *environment) startDispatcher(c dispatcherConfig) (*dispatcher, error) {
	if c.listen == "" {
		var err error
		if c.listen, err = freeAddress(); err != nil {
			return nil, err
		}
	}
	if c.sockets == 0 {
		c.sockets = 1024
	}
	if c.memoryMB == 0 {
		c.memoryMB = 192
	}
	config := object{
		"name": c.name, "listen": c.listen, "discovery": c.discovery, "seed": fmt.Sprintf("%x", time.Now().UnixNano()),
		"limits":   object{"cores": 1.0, "memory_mb": c.memoryMB, "sockets": c.sockets},
		"settings": c.settings,
	}
	if c.peerListen != "" {
		config["peer_listen"], config["peers"] = c.peerListen, c.peers
	}
	if c.admin != "" {
		config["mgmt"] = c.admin
	}
	if c.known != nil {
		config["known"] = c.known
	}
	text, err := json.MarshalIndent(config, "", " ")
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp(e.folder, c.name+"-")
	if err != nil {
		return nil, err
	}
	file := filepath.Join(folder, "config.json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return nil, err
	}
	if c.tmp == "" {
		c.tmp = filepath.Join(folder, "tmp")
		if err := os.Mkdir(c.tmp, 0o700); err != nil {
			return nil, err
		}
	}
	log, err := os.Create(filepath.Join(folder, "log"))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	command := exec.Command("/bin/sh", "-c", e.run)
	command.Dir = e.root
	command.Env = append(os.Environ(), "LB_CONFIG="+file, "TMPDIR="+c.tmp)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := command.Start(); err != nil {
		return nil, err
	}
	p := &dispatcher{name: c.name, listen: c.listen, log: log.Name(), command: command, exited: make(chan struct{})}
	go func() {
		command.Wait()
		close(p.exited)
	}()
	e.mu.Lock()
	e.processes = append(e.processes, p)
	e.mu.Unlock()
	e.note("dispatcher %s started at %s, process %d", c.name, c.listen, command.Process.Pid)
	return p, nil
}

// kill ends the process with SIGKILL and waits for its end.
func (p *dispatcher) kill() {
	p.told = true
	select {
	case <-p.exited:
		return
	default:
	}
	syscall.Kill(-p.command.Process.Pid, syscall.SIGKILL)
	<-p.exited
}

// signal sends a signal to the process.
func (p *dispatcher) signal(s syscall.Signal) {
	if s == syscall.SIGTERM {
		p.told = true
	}
	p.command.Process.Signal(s)
}

// awaitHealthy waits until the dispatcher answers a health check with 200.
func (p *dispatcher) awaitHealthy(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		select {
		case <-p.exited:
			log, _ := os.ReadFile(p.log)
			return fmt.Errorf("dispatcher %s has ended: %s", p.name, log[max(0, len(log)-500):])
		default:
		}
		answer, err := client.Get("http://" + p.listen + "/_health")
		if err != nil {
			continue
		}
		answer.Body.Close()
		if answer.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("dispatcher %s not healthy within %v", p.name, limit)
}
