// Package settings parses, checks and compares the settings document, which operators
// change at run time.
//
// The document is JSON with comments and holds a tree of departments. Head office is the
// root node; a department inherits the kinds of its parent and sets only the values that
// differ.
package settings

// Document is a whole settings document.
type Document struct {
	// Zones lists the availability zones of the deployment.
	Zones []string `json:"availability_zones"`
	// Seeds lists peer addresses (host:port) of entry VMs. An entry VM that starts contacts
	// them in addition to the entry VMs on the platform's list.
	Seeds []string `json:"seeds,omitempty"`
	// Limits holds the limits of the deployment. Parse and Compile set the defaults.
	Limits Limits `json:"limits"`
	// Root is head office; its path is RootPath.
	Root Node `json:"head_office"`

	// index is immutable once Compile has built it; nil before.
	index *index
}

// RootPath is the path of the root node. A child's path is the parent's path,
// a slash, and the child's name.
const RootPath = "head_office"

// Node is head office, a franchise or a department.
type Node struct {
	// Weight is the relative share among siblings; default 1.
	Weight *int `json:"weight,omitempty"`
	// Quota is the amount of resources guaranteed to the node. Use above the quota is
	// borrowed: it is served after all work within quota and reclaimed first. Without
	// a quota the node is unlimited.
	Quota *Quota `json:"quota,omitempty"`
	// Kinds holds the values that differ from the parent's kinds, by name of the kind.
	Kinds    map[string]Kind `json:"kinds,omitempty"`
	Children map[string]Node `json:"departments,omitempty"`
}

// Quota is an amount of each resource; a zero component is unlimited.
type Quota struct {
	MilliCPU     int64 `json:"milli_cpu,omitempty"`
	MemoryMB     int64 `json:"memory_mb,omitempty"`
	Accelerators int64 `json:"accelerators,omitempty"`
}
