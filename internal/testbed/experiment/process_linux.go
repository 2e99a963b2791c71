package experiment

import "syscall"

// processGroup returns attributes that start a process in a group of its own, so that an interrupt at the terminal
// reaches only the testbed. The kernel kills the process if the testbed dies.
func processGroup() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
}
