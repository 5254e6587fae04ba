// Package rendezvous assigns keys to nodes by rendezvous (highest random weight) hashing, so
// that adding or removing a node moves only keys to or from this node.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Owner returns the node with the highest weight for key, or "" if there are no nodes.
func Owner(key string, nodes []string) string {
	var best string
	var bestWeight uint64
	for _, node := range nodes {
		w := weight(key, node)
		if best == "" || w > bestWeight || (w == bestWeight && node < best) {
			best, bestWeight = node, w
		}
	}
	return best
}

// Rank returns the nodes in descending order of their weights for key.
func Rank(key string, nodes []string) []string {
	ranked := slices.Clone(nodes)
	slices.SortFunc(ranked, func(a, b string) int {
		if c := cmp.Compare(weight(key, b), weight(key, a)); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	return ranked
}

func weight(key, node string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(node)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(key)
	return d.Sum64()
}
