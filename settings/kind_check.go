package settings

import (
	"slices"

	"rhubarbstall.example/api/codes"
)

// maxWeight bounds the weights of kinds and nodes. A larger ratio starves the siblings,
// which is more often a typing error than intended.
const maxWeight = 1000

// maxDeadlineMillis is the largest deadline that the API accepts.
const maxDeadlineMillis = 10 * minuteMillis

// check reports every field of a kind that is outside its range.
func (k *Kind) check(found *problems, path string) {
	checkRange(found, path, "urgency", k.Urgency, 0, 100)
	checkRange(found, path, "patience_ms", k.PatienceMillis, 0, 30*dayMillis)
	checkRange(found, path, "deadline_ms", k.DeadlineMillis, 1, maxDeadlineMillis)
	checkRange(found, path, "weight", k.Weight, 1, maxWeight)
	checkRange(found, path, "reserve_percent", k.ReservePercent, 0, 100)
	checkRange(found, path, "floor_percent", k.FloorPercent, 0, 100)
	checkRange(found, path, "max_attempts", k.MaxAttempts, 1, 100)
	checkRange(found, path, "backoff_ms", k.BackoffMillis, 0, hourMillis)
	if k.CutOff != nil && *k.CutOff != CutOffStay && *k.CutOff != CutOffMove {
		found.add(codes.SettingsInvalid, path+"/cut_off", "%q is neither %q nor %q", truncate(*k.CutOff), CutOffStay, CutOffMove)
	}
	if k.Sacrifice == nil {
		return
	}
	allowed := []string{SacrificeThrottle, SacrificeCheckpoint, SacrificePreempt, SacrificeDrop}
	for i, s := range *k.Sacrifice {
		if !slices.Contains(allowed, s) {
			found.add(codes.SettingsInvalid, path+"/sacrifice", "%q is not one of %v", truncate(s), allowed)
		}
		if slices.Index(*k.Sacrifice, s) < i {
			found.add(codes.SettingsInvalid, path+"/sacrifice", "%q is listed twice", truncate(s))
		}
	}
}

func checkRange[T int | int64](found *problems, path, name string, v *T, low, high T) {
	if v != nil && (*v < low || *v > high) {
		found.add(codes.SettingsInvalid, path+"/"+name, "%d is not between %d and %d", *v, low, high)
	}
}
