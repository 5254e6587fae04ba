package play

import (
	"context"
	"path/filepath"
	"strconv"
	"strings"
)

// Minimize plays a run again and again, each time without a part of its faults and jobs, and returns the
// smallest run that still breaks a promise of a rule that the run in o broke. Since the timing of processes
// differs from play to play, a run counts as passed only after tries plays. Each play gets a folder of its own
// in o.Dir; progress gets a line for each.
func Minimize(ctx context.Context, o Options, tries int, progress func(string)) (Options, error) {
	m := &minimizer{ctx: ctx, dir: o.Dir, tries: tries, progress: progress}
	rules, err := m.play(o)
	if err != nil {
		return o, err
	}
	if len(rules) == 0 {
		progress("the run breaks no promise this time")
		return o, nil
	}
	m.rules = rules
	faults, jobs := len(o.plan()), int(o.Traffic/o.SubmitEvery)+1
	if o, err = m.reduce(o, faults, func(o *Options) *[]int { return &o.SkipFaults }); err != nil {
		return o, err
	}
	return m.reduce(o, jobs, func(o *Options) *[]int { return &o.SkipJobs })
}

type minimizer struct {
	ctx      context.Context
	dir      string
	tries    int
	played   int
	progress func(string)
	rules    map[string]bool
}

// reduce drops what it can of n numbered parts: halves first, then ever smaller pieces.
func (m *minimizer) reduce(o Options, n int, skipped func(*Options) *[]int) (Options, error) {
	for size := (n + 1) / 2; size > 0; size /= 2 {
		for from := 0; from < n; from += size {
			less := o
			drop := skipped(&less)
			*drop = withRange(*drop, from, min(n, from+size))
			if len(*drop) == len(*skipped(&o)) {
				continue
			}
			fails, err := m.fails(less)
			if err != nil {
				return o, err
			}
			if fails {
				o = less
			}
		}
	}
	return o, nil
}

// withRange returns numbers and those from a number to another, without doubles.
func withRange(numbers []int, from, to int) []int {
	out := make([]int, 0, len(numbers)+to-from)
	for _, n := range numbers {
		if n < from || n >= to {
			out = append(out, n)
		}
	}
	for n := from; n < to; n++ {
		out = append(out, n)
	}
	return out
}

// fails reports whether one of several plays breaks a promise of the rules looked for.
func (m *minimizer) fails(o Options) (bool, error) {
	for range m.tries {
		rules, err := m.play(o)
		if err != nil {
			return false, err
		}
		for rule := range rules {
			if m.rules[rule] {
				return true, nil
			}
		}
	}
	return false, nil
}

// play plays a run and returns the rules that it broke.
func (m *minimizer) play(o Options) (map[string]bool, error) {
	m.played++
	o.Dir = filepath.Join(m.dir, "minimize", strconv.Itoa(m.played))
	result, err := Run(m.ctx, o)
	if err != nil {
		return nil, err
	}
	rules := make(map[string]bool)
	for _, line := range result.Broken {
		rule, _, _ := strings.Cut(line, " ")
		rules[rule] = true
	}
	m.progress("without " + strconv.Itoa(len(o.SkipFaults)) + " faults and " + strconv.Itoa(len(o.SkipJobs)) + " jobs: " + result.String())
	return rules, nil
}
