package experiment

import "syscall"

// processGroup gives a process a group of its own, so that an interrupt at the terminal comes to us alone, and has
// the kernel end it should we die without a word.
func processGroup() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
}
