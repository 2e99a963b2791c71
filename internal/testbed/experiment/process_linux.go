package experiment

import "syscall"

// processGroup starts a process in a group of its own, so that an interrupt at the terminal reaches only the testbed, and
// has the kernel kill it if the testbed dies.
func processGroup() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
}
