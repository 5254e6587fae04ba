package settings

import "strconv"

// DefaultSource is the source of a value that no node sets.
const DefaultSource = "default"

// EffectiveValue is an effective value with the node that sets it.
type EffectiveValue struct {
	// Field is the name in the document.
	Field string
	Value string
	// Source is the path of the node, or DefaultSource.
	Source string
}

// Explain returns every effective value of a kind in a department, followed by the
// department's weight and the quotas that bound it. It returns nil if the department
// does not exist or has no such kind.
func (d *Document) Explain(department, kind string) []EffectiveValue {
	n := d.find(department)
	if n == nil || n.kinds.find(kind) == nil {
		return nil
	}
	policy := n.kinds.find(kind)
	values := make([]EffectiveValue, 0, len(fields)+1+len(quotaResources))
	for _, f := range fields {
		values = append(values, EffectiveValue{f.name, f.format(policy), n.sourceOf(kind, f)})
	}
	weightSource := DefaultSource
	if n.node.Weight != nil {
		weightSource = n.path
	}
	values = append(values, EffectiveValue{"department_weight", strconv.Itoa(n.department().Weight), weightSource})
	for _, r := range quotaResources {
		v, source := n.effectiveQuota(r)
		text := "unlimited"
		if v > 0 {
			text = strconv.FormatInt(v, 10)
		}
		values = append(values, EffectiveValue{"quota." + r.name, text, source})
	}
	return values
}

// sourceOf returns the path of the nearest node that sets a field of a kind.
func (n *indexNode) sourceOf(kind string, f field) string {
	var scratch Policy
	for ; n != nil; n = n.parent {
		if k, ok := n.node.Kinds[kind]; ok && f.apply(&k, &scratch) {
			return n.path
		}
	}
	return DefaultSource
}

// effectiveQuota returns the nearest quota for a resource, on the node or an
// ancestor, and the path of the node that sets it; zero is unlimited.
func (n *indexNode) effectiveQuota(r quotaResource) (int64, string) {
	for ; n != nil; n = n.parent {
		if n.node.Quota != nil && *r.amount(n.node.Quota) > 0 {
			return *r.amount(n.node.Quota), n.path
		}
	}
	return 0, DefaultSource
}
