//go:build !linux

package cluster

import "syscall"

// childAttributes returns nil: the parent-death signal exists on Linux only.
func childAttributes() *syscall.SysProcAttr { return nil }
