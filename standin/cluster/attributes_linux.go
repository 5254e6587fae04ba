package cluster

import "syscall"

// childAttributes makes the kernel kill a child process when its parent dies, so
// that a killed test leaves no processes behind.
func childAttributes() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
}
