package settings

import "strconv"

// DefaultSource is the source of a value that no node sets.
const DefaultSource = "default"

// EffectiveValue is one value in force and the node that sets it.
type EffectiveValue struct {
	// Field is the name in the document.
	Field string
	Value string
	// Source is the path of the node, or DefaultSource.
	Source string
}

// Explain returns every effective value of a kind in a department, then the
// department's weight and the quotas that bound it; nil if the department or the
// kind does not exist there.
func (d *Document) Explain(department, kind string) []EffectiveValue {
	n := d.find(department)
	if n == nil || n.kinds.find(kind) == nil {
		return nil
	}
	policy := n.kinds.find(kind)
	values := make([]EffectiveValue, 0, len(fields)+1+len(components))
	for _, f := range fields {
		values = append(values, EffectiveValue{f.name, f.format(policy), n.sourceOf(kind, f)})
	}
	weightSource := DefaultSource
	if n.node.Weight != nil {
		weightSource = n.path
	}
	values = append(values, EffectiveValue{"department_weight", strconv.Itoa(n.department().Weight), weightSource})
	for _, c := range components {
		v, source := n.quotaOf(c)
		text := "unlimited"
		if v > 0 {
			text = strconv.FormatInt(v, 10)
		}
		values = append(values, EffectiveValue{"quota." + c.name, text, source})
	}
	return values
}

// sourceOf returns the nearest node that writes down a field of a kind.
func (n *indexNode) sourceOf(kind string, f field) string {
	var scratch Policy
	for ; n != nil; n = n.parent {
		if k, ok := n.node.Kinds[kind]; ok && f.apply(&k, &scratch) {
			return n.path
		}
	}
	return DefaultSource
}

// quotaOf returns the nearest bound on a resource and its node; zero is unlimited.
func (n *indexNode) quotaOf(c component) (int64, string) {
	for ; n != nil; n = n.parent {
		if n.node.Quota != nil && *c.of(n.node.Quota) > 0 {
			return *c.of(n.node.Quota), n.path
		}
	}
	return 0, DefaultSource
}
