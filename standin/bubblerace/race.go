//go:build race

package bubblerace

import "runtime"

func init() { runtime.GOMAXPROCS(1) }
