package jobs

import (
	"context"
	"encoding/json"
	"errors"

	"rhubarbstall.example/daemon/internal/platform"
)

// generationRecord is the stored term number, under the key zones/<zone>/generation.
// Writer makes each value unique.
type generationRecord struct {
	Number int    `json:"number"`
	Writer string `json:"writer"`
}

func generationKey(zone string) string { return "zones/" + zone + "/generation" }

// incrementGeneration increments the stored term number and uses it for this term.
func (js *jobStore) incrementGeneration(ctx context.Context) error {
	var rec generationRecord
	e, err := js.store.Get(ctx, generationKey(js.zone))
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return err
	}
	if err == nil {
		if err := json.Unmarshal(e.Value, &rec); err != nil {
			return err
		}
	}
	rec.Number++
	rec.Writer = js.writer
	value, err := json.Marshal(rec)
	if err != nil {
		return err
	}
	if _, err := platform.PutConfirmed(ctx, js.store, generationKey(js.zone), value, e.Revision, ""); err != nil {
		return err
	}
	js.generation = rec.Number
	return nil
}
