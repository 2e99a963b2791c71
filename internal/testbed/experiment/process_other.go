//go:build !linux

package experiment

import "syscall"

// apart gives a process a group of its own, so that an interrupt at the terminal comes to us alone.
func apart() *syscall.SysProcAttr { return &syscall.SysProcAttr{Setpgid: true} }
