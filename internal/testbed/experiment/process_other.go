//go:build !linux

package experiment

import "syscall"

// processGroup starts a process in a group of its own, so that an interrupt at the terminal reaches only the testbed.
func apart() *syscall.SysProcAttr { return &syscall.SysProcAttr{Setpgid: true} }
