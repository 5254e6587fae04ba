//go:build !linux

package cluster

import "syscall"

func childAttributes() *syscall.SysProcAttr { return nil }
