package platform

import "errors"

var (
	errConflict = errors.New("compare-and-swap conflict")
	errNoKey    = errors.New("no such key")
	errNoLease  = errors.New("no such lease")
)
