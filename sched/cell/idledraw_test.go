package cell

import (
	"cmp"
	"math"
	"slices"
	"time"

	"rhubarbstall.example/sched/model"
)

// drawnJob is a job of a drawn load.
type drawnJob struct {
	at      time.Duration
	queue   string
	overrun float64
	steps   []Step
}

// between draws a number between two others, on a logarithmic scale.
func (s *idleSim) between(low, high float64) float64 {
	return low * math.Pow(high/low, s.random.Float64())
}

func (s *idleSim) seconds(low, high float64) time.Duration {
	return time.Duration(s.between(low, high) * float64(time.Second))
}

func (s *idleSim) oneIn(n int) bool { return s.random.IntN(n) == 0 }

// drawLoad draws policies, accounts and jobs: work that occupies a part of the cell for long, gangs of any width, and smaller
// work beside and behind them.
func (s *idleSim) drawLoad() {
	approved := 0.4 + 0.55*s.random.Float64()
	for i := range s.kinds {
		if s.oneIn(2) {
			s.kinds[i].approvedShare = approved
			s.kinds[i].queue.Advice = &AdvicePolicy{Base: s.seconds(0.012, 0.52), PerRunner: s.seconds(0.0002, 0.0074), Validity: 2 * time.Second}
		}
	}
	s.setQueues()
	limit := int64(math.MaxInt64)
	if s.oneIn(3) {
		limit = int64(float64(s.runners) * 32000 * s.between(0.3, 1))
		s.accounts = []string{"one", "two"}
		var accounts []ClientAccount
		for _, name := range s.accounts {
			accounts = append(accounts, ClientAccount{Name: name, Weight: 50, Limit: model.Resources{MilliCPU: limit}})
		}
		s.cell.SetClientAccounts(1, accounts)
	}
	jobs := slices.Concat(s.drawLongWork(), s.drawGangs(limit), s.drawSmallWork())
	slices.SortStableFunc(jobs, func(a, b drawnJob) int { return cmp.Compare(a.at, b.at) })
	for _, d := range jobs {
		j := s.add(d.at, d.queue, d.overrun, d.steps...)
		if len(s.accounts) > 0 {
			j.ClientAccount = s.accounts[s.random.IntN(len(s.accounts))]
		}
	}
}

// drawLongWork draws jobs that use up to two fifths of the cell: some end as estimated, some late, some last.
func (s *idleSim) drawLongWork() []drawnJob {
	var out []drawnJob
	for left := s.between(0.05, 0.4); left > 0.02; {
		st := Step{Size: model.Resources{MilliCPU: int64(s.between(4000, 30000)), MemoryMB: int64(s.between(1000, 30000))}, Estimate: s.seconds(10, 60)}
		share := left * (0.3 + 0.7*s.random.Float64())
		left -= share
		st.Count = max(1, int(share*float64(s.runners)*32000/float64(st.Size.MilliCPU)))
		st.MaxPerRunner = s.random.IntN(2)
		d := drawnJob{queue: []string{"plans", "proofs"}[s.random.IntN(2)], overrun: 1}
		switch s.random.IntN(4) {
		case 0:
			d.overrun = s.between(1.5, 6)
		case 1:
			st.LongRunning = true
		}
		d.steps = []Step{st}
		out = append(out, d)
	}
	return out
}

// drawGangs draws one to four gangs that fit the empty cell and the limit of an account.
func (s *idleSim) drawGangs(limitMilliCPU int64) []drawnJob {
	var out []drawnJob
	for range 1 + s.random.IntN(4) {
		st := Step{
			Gang: true, Estimate: s.seconds(1, 16),
			Size: model.Resources{MilliCPU: int64(s.between(2000, 15000)), MemoryMB: int64(s.between(2000, 52000))},
		}
		runners, queue := s.runners, 0
		if s.oneIn(4) {
			queue = s.random.IntN(len(s.kinds))
		}
		if k := s.kinds[queue]; k.queue.Advice != nil {
			runners = max(1, int(float64(runners)*k.approvedShare*0.8))
		}
		switch s.random.IntN(5) {
		case 0:
			st.SameRack, runners = true, min(runners, idleSimRack)
		case 1:
			st.RunnerLabel, runners = idleSimLabels[s.random.IntN(2)], max(1, runners/2)
		}
		most := min(32000/st.Size.MilliCPU, 131072/st.Size.MemoryMB) * int64(runners)
		most = min(most, limitMilliCPU/st.Size.MilliCPU, MaxTasksPerStep)
		st.Count = max(1, int(float64(most)*s.between(0.4, 1)))
		if s.oneIn(3) {
			st.Count = int(s.between(1, float64(max(1, most))))
		}
		out = append(out, drawnJob{at: s.seconds(1, 5), queue: s.kinds[queue].queue.Name, overrun: s.between(0.7, 1.5), steps: []Step{st}})
	}
	return out
}

// drawSmallWork draws jobs of one to three steps of few tasks, some of them gangs.
func (s *idleSim) drawSmallWork() []drawnJob {
	var out []drawnJob
	for range 3 + s.random.IntN(25) {
		d := drawnJob{at: s.seconds(1, 8), queue: s.kinds[s.random.IntN(len(s.kinds))].queue.Name, overrun: s.between(0.7, 1.5)}
		for i := range 1 + s.random.IntN(3) {
			st := Step{
				Count: 1 + s.random.IntN(10), Estimate: s.seconds(0.3, 20), Gang: s.oneIn(5), MaxPerRunner: s.random.IntN(3),
				Size: model.Resources{MilliCPU: int64(s.between(500, 6000)), MemoryMB: int64(s.between(500, 12000))},
			}
			if s.oneIn(5) {
				st.RunnerLabel = idleSimLabels[s.random.IntN(2)]
			}
			if i > 0 {
				st.DependsOn = []int{i - 1}
			}
			d.steps = append(d.steps, st)
		}
		out = append(out, d)
	}
	return out
}
