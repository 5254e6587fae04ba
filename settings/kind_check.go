package settings

import (
	"slices"

	"rhubarbstall.example/api/codes"
)

// maxWeight bounds the weights of kinds and nodes. A larger ratio would starve the
// siblings and is probably a typing error.
const maxWeight = 1000

// maxDeadlineMillis is the largest deadline that the API accepts.
const maxDeadlineMillis = 10 * minuteMillis

// check reports every field of a kind with a value that is not allowed.
func (k *Kind) check(problems *problemList, path string) {
	checkRange(problems, path, "urgency", k.Urgency, 0, 100)
	checkRange(problems, path, "patience_ms", k.PatienceMillis, 0, 30*dayMillis)
	checkRange(problems, path, "deadline_ms", k.DeadlineMillis, 1, maxDeadlineMillis)
	checkRange(problems, path, "weight", k.Weight, 1, maxWeight)
	checkRange(problems, path, "reserve_percent", k.ReservePercent, 0, 100)
	checkRange(problems, path, "floor_percent", k.FloorPercent, 0, 100)
	checkRange(problems, path, "max_attempts", k.MaxAttempts, 1, 100)
	checkRange(problems, path, "backoff_ms", k.BackoffMillis, 0, hourMillis)
	if k.CutOff != nil && *k.CutOff != CutOffStay && *k.CutOff != CutOffMove {
		problems.add(codes.SettingsInvalid, path+"/cut_off", "%q is neither %q nor %q", truncate(*k.CutOff), CutOffStay, CutOffMove)
	}
	if k.Sacrifice == nil {
		return
	}
	allowed := []string{SacrificeThrottle, SacrificeCheckpoint, SacrificePreempt, SacrificeDrop}
	for i, s := range *k.Sacrifice {
		if !slices.Contains(allowed, s) {
			problems.add(codes.SettingsInvalid, path+"/sacrifice", "%q is not one of %v", truncate(s), allowed)
		}
		if slices.Index(*k.Sacrifice, s) < i {
			problems.add(codes.SettingsInvalid, path+"/sacrifice", "%q is listed twice", truncate(s))
		}
	}
}

func checkRange[T int | int64](problems *problemList, path, name string, v *T, low, high T) {
	if v != nil && (*v < low || *v > high) {
		problems.add(codes.SettingsInvalid, path+"/"+name, "%d is not between %d and %d", *v, low, high)
	}
}
