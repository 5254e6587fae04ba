package cache

// Rack is a failure domain: a group of workers that tend to fail together.
type Rack struct {
	Name  string
	Nodes []*Node
	// Order is the position in Cache.Racks, in order of first appearance.
	Order int
}
