package replay

import "rhubarbstall.example/sched/model"

const (
	// floodFactor is the load of a flood as a multiple of the fleet's capacity.
	floodFactor = 10
	// A flood starts when the fleet is busy with the normal load, and lasts until the
	// end of the replay.
	floodFromMS  = 10 * 60_000
	floodUntilMS = 18 * 60_000
	// Goodput is measured from floodSettleMS after the start of the flood, when the
	// tasks that ran before it have been replaced.
	floodSettleMS = 4 * 60_000
)

// FloodResult compares a replay with a flood of one kind to a replay without it.
type FloodResult struct {
	// FloodKind is the kind of the added jobs.
	FloodKind string
	// FloodWaitMS is the p99 wait of the most urgent kind with the flood, NormalWaitMS
	// that without the flood, both in milliseconds.
	FloodWaitMS, NormalWaitMS int64
	// FloodGoodput is the part of the fleet that each kind uses with the flood,
	// NormalGoodput that without the flood.
	FloodGoodput, NormalGoodput map[string]float64
}

// leastAndMostUrgent returns the names of the least and the most urgent kind.
func (h *Header) leastAndMostUrgent() (least, most string) {
	lowest, highest := 101, -1
	for _, k := range h.Kinds {
		if k.Urgency < lowest {
			lowest, least = k.Urgency, k.Name
		}
		if k.Urgency > highest {
			highest, most = k.Urgency, k.Name
		}
	}
	return least, most
}

// RunFlood replays the first part of a trace, up to floodUntilMS, without and with a
// flood of one kind.
func RunFlood(t *Trace, kind string, newEngine func() model.Engine) (*FloodResult, error) {
	normal := WithFlood(t, kind, floodFromMS, floodUntilMS, 0)
	flood := WithFlood(t, kind, floodFromMS, floodUntilMS, floodFactor)
	normalReport, err := Run(normal, newEngine(), floodUntilMS)
	if err != nil {
		return nil, err
	}
	floodReport, err := Run(flood, newEngine(), floodUntilMS)
	if err != nil {
		return nil, err
	}
	_, urgent := t.leastAndMostUrgent()
	result := &FloodResult{
		FloodKind: kind, FloodWaitMS: floodReport.WaitMS(urgent, 99), NormalWaitMS: normalReport.WaitMS(urgent, 99),
		FloodGoodput: map[string]float64{}, NormalGoodput: map[string]float64{},
	}
	for _, k := range t.Kinds {
		result.FloodGoodput[k.Name] = floodReport.Goodput(k.Name, floodFromMS+floodSettleMS, floodUntilMS)
		result.NormalGoodput[k.Name] = normalReport.Goodput(k.Name, floodFromMS+floodSettleMS, floodUntilMS)
	}
	return result, nil
}
