//go:build !linux

package experiment

import "syscall"

// processGroup returns attributes that start a process in a group of its own, so that an interrupt at the terminal
// reaches only the testbed.
func processGroup() *syscall.SysProcAttr { return &syscall.SysProcAttr{Setpgid: true} }
