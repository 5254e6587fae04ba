package cellsched

import (
	"time"

	"go.uber.org/zap"

	"rhubarbstall.example/sched/cell"
)

// logWaitingGangs logs why gangs wait that have waited for long.
func (s *Scheduler) logWaitingGangs(now time.Time) {
	var waits []cell.GangWait
	s.exclusive(func() { waits = s.cell.WaitingGangs(now, now.Round(0)) })
	for _, w := range waits {
		s.log.Info("[sched] gang waits", zap.String("job", w.Job), zap.Int("occurrence", w.Occurrence), zap.Int("step", w.Step), zap.Int("tasks", w.Tasks),
			zap.Duration("age", w.Age), zap.String("reason", w.Reason), zap.Bool("one_rack", w.OneRack), zap.Int("permitted", w.Permitted),
			zap.Int("free_places", w.FreePlaces), zap.Int("empty_places", w.EmptyPlaces), zap.Int("reserved", w.Reserved))
	}
}
