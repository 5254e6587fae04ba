package cache

// Rack is a group of workers that tend to fail together.
type Rack struct {
	Name  string
	Nodes []*Node
	// Order is the position among the racks in order of first appearance.
	Order int
}
