package jobs

import (
	"context"
	"encoding/json"
	"errors"
	"slices"

	"rhubarbstall.example/daemon/internal/platform"
)

// drainedRecord is the stored list of draining workers, under the key
// zones/<zone>/drained. Writer and Change make each value unique.
type drainedRecord struct {
	Workers []string `json:"workers"`
	Writer  string   `json:"writer"`
	Change  string   `json:"change"`
}

func drainedKey(zone string) string { return "zones/" + zone + "/drained" }

func (s *Service) readDrained(ctx context.Context) (drainedRecord, uint64, error) {
	var rec drainedRecord
	e, err := s.cfg.Store.Get(ctx, drainedKey(s.cfg.Zone))
	if errors.Is(err, platform.ErrNotFound) {
		return rec, 0, nil
	}
	if err != nil {
		return rec, 0, err
	}
	return rec, e.Revision, json.Unmarshal(e.Value, &rec)
}

// loadDrained restores the draining state that operators set in earlier terms.
func (s *Service) loadDrained(ctx context.Context, t *term) error {
	rec, _, err := s.readDrained(ctx)
	if err != nil {
		return err
	}
	t.dispatcher.SetDrained(rec.Workers)
	return nil
}

// storeDrained adds a worker to the stored list of draining workers, or removes it.
func (s *Service) storeDrained(ctx context.Context, id string, enabled bool) error {
	for {
		rec, revision, err := s.readDrained(ctx)
		if err != nil {
			return err
		}
		i, found := slices.BinarySearch(rec.Workers, id)
		switch {
		case found == enabled:
			return nil
		case enabled:
			rec.Workers = slices.Insert(rec.Workers, i, id)
		default:
			rec.Workers = slices.Delete(rec.Workers, i, i+1)
		}
		rec.Writer, rec.Change = s.ownerID, randomHex(8)
		value, err := json.Marshal(rec)
		if err != nil {
			return err
		}
		_, err = platform.PutConfirmed(ctx, s.cfg.Store, drainedKey(s.cfg.Zone), value, revision, "")
		if !errors.Is(err, platform.ErrConflict) {
			return err
		}
	}
}
