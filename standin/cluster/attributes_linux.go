package cluster

import "syscall"

// childAttributes makes a started process end with the starting one, so that a
// killed test leaves nothing behind.
func childAttributes() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
}
