//go:build !linux

package experiment

import "syscall"

// processGroup returns attributes that start a process in its own process group, so that an interrupt from the terminal
// is sent to the testbed only.
func processGroup() *syscall.SysProcAttr { return &syscall.SysProcAttr{Setpgid: true} }
