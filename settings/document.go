// Package settings holds the tree of settings that operators change at run time.
//
// The document is JSON with comments. Head office is the root node; a
// department inherits every value from its parent and writes down only the
// differences.
package settings

// Document is a whole settings document.
type Document struct {
	// Zones lists the availability zones of the deployment.
	Zones []string `json:"availability_zones"`
	// Seeds lists peer addresses (host:port) of entry VMs that a starting VM asks
	// besides the platform's VM list.
	Seeds []string `json:"seeds,omitempty"`
	// Limits has its defaults filled in after Parse and Compile.
	Limits Limits `json:"limits"`
	// Root is head office; its path is RootPath.
	Root Node `json:"head_office"`

	// index is built once and never changed; nil before Compile.
	index *index
}

// RootPath is the path of the root node. A child's path is the parent's path,
// a slash, and the child's name.
const RootPath = "head_office"

// Node is head office, a franchise or a department.
type Node struct {
	// Weight is the share among siblings; default 1.
	Weight *int `json:"weight,omitempty"`
	// Quota is what the node is entitled to. Use beyond it is borrowed: it is served
	// after everyone within quota and reclaimed first. Absent is unlimited.
	Quota *Quota `json:"quota,omitempty"`
	// Kinds holds the differences from the parent's kinds, by name.
	Kinds    map[string]Kind `json:"kinds,omitempty"`
	Children map[string]Node `json:"departments,omitempty"`
}

// Quota is an entitlement to resources; a zero component is unlimited.
type Quota struct {
	MilliCPU     int64 `json:"milli_cpu,omitempty"`
	MemoryMB     int64 `json:"memory_mb,omitempty"`
	Accelerators int64 `json:"accelerators,omitempty"`
}
