package router

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"rhubarbstall.example/api/codes"
	"rhubarbstall.example/sched/admission"
	"rhubarbstall.example/settings"
)

const (
	defaultMaxBodyBytes = 1 << 20
	defaultRetryPercent = 10
	defaultKeyRetention = 15 * time.Minute
	// maxDeadline is the maximum deadline of a request, as documented in the API.
	maxDeadline = 10 * time.Minute
	// maxPolicies bounds the number of cached policies for one settings revision.
	maxPolicies = 4096
	// maxWeight bounds the product of the weights along a department's path.
	maxWeight = 1 << 30
)

// policy is the effective policy of a class of requests.
type policy struct {
	settings.Policy
	// weight is the product of the weights along the department's path and the
	// weight of the kind.
	weight int
}

// policies caches the resolved policies of the current settings revision.
type policies struct {
	// resolvePolicy is (*settings.Document).Resolve; tests replace it.
	resolvePolicy func(doc *settings.Document, department, kind string) (settings.Policy, bool)
	mu            sync.Mutex
	revision      uint64
	cache         map[[2]string]policy
}

// resolve returns the policy for a department and kind, or an error with a
// result code.
func (p *policies) resolve(doc *settings.Document, revision uint64, department, kind string) (policy, error) {
	key := [2]string{department, kind}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cache == nil || p.revision != revision || len(p.cache) >= maxPolicies {
		p.cache, p.revision = make(map[[2]string]policy), revision
	}
	if known, ok := p.cache[key]; ok {
		return known, nil
	}
	effective, ok := p.resolvePolicy(doc, department, kind)
	if !ok {
		if _, exists := pathWeight(doc, department); !exists {
			return policy{}, codes.UnknownDepartment.With("department "+department+" is not in the settings",
				codes.WithOutcome(codes.OutcomeNotRun))
		}
		return policy{}, codes.UnknownKind.With("kind "+kind+" is not defined for department "+department,
			codes.WithOutcome(codes.OutcomeNotRun))
	}
	weight, _ := pathWeight(doc, department)
	found := policy{Policy: effective, weight: min(maxWeight, weight*max(1, effective.Weight))}
	p.cache[key] = found
	return found, nil
}

// pathWeight returns the product of the weights along a department's path. It
// returns false if the path does not exist.
func pathWeight(doc *settings.Document, department string) (int, bool) {
	names := strings.Split(department, "/")
	if names[0] != settings.RootPath {
		return 1, false
	}
	weight, node := 1, doc.Root
	for _, name := range names[1:] {
		child, ok := node.Children[name]
		if !ok {
			return weight, false
		}
		if child.Weight != nil {
			weight = min(maxWeight, weight*max(1, *child.Weight))
		}
		node = child
	}
	return weight, true
}

// maxDeclared bounds the number of kinds that are declared to the admission
// controller before their first request.
const maxDeclared = 256

// declareKinds declares the kinds of the root department to the admission
// controller, so that the reserve of an urgent kind is held before its first
// request. r.mu must be held.
func (r *Router) declareKinds(now time.Time) {
	doc, revision, ok := r.cfg.Settings.Current()
	if !ok || (r.kindsDeclared && revision == r.declaredRevision) {
		return
	}
	r.kindsDeclared, r.declaredRevision = true, revision
	names := slices.Sorted(maps.Keys(doc.Root.Kinds))
	classes := []admission.Class{}
	for _, name := range names[:min(len(names), maxDeclared)] {
		if p, err := r.policies.resolve(doc, revision, settings.RootPath, name); err == nil {
			classes = append(classes, p.class(settings.RootPath, name))
		}
	}
	r.admission.DeclareKinds(now, classes)
}

// class returns the admission class of requests with this policy.
func (p policy) class(department, kind string) admission.Class {
	return admission.Class{
		Department: department, Kind: kind, Urgency: p.Urgency, Weight: p.weight,
		ReservePercent: p.ReservePercent, FloorPercent: p.FloorPercent, Patience: p.Patience,
	}
}

func retryPercent(doc *settings.Document) int {
	if doc.Limits.RetryPercent > 0 {
		return doc.Limits.RetryPercent
	}
	return defaultRetryPercent
}

func maxBodyBytes(doc *settings.Document) int64 {
	if doc.Limits.BodyBytes > 0 {
		return doc.Limits.BodyBytes
	}
	return defaultMaxBodyBytes
}

func keyRetention(doc *settings.Document) time.Duration {
	if doc.Limits.KeyRetentionMillis > 0 {
		return time.Duration(doc.Limits.KeyRetentionMillis) * time.Millisecond
	}
	return defaultKeyRetention
}
