package platform

import (
	"bytes"
	"context"
	"errors"
)

// confirmAttempts bounds the attempts to find out the outcome of an ambiguous write.
// Each attempt is a write and, if needed, a read.
const confirmAttempts = 4

// PutConfirmed is Put for a value that no other write to the key has, for example
// because it contains an ID of the writer. After an ambiguous write it reads the key:
// if the key has the value, the write took effect. If the key still has the old
// revision, the write may yet arrive, so PutConfirmed sends it again with the same
// condition, and at most one of the two takes effect. It returns ErrAmbiguous if the
// platform does not respond.
func PutConfirmed(ctx context.Context, s Store, key string, value []byte, ifRevision uint64, leaseID string) (uint64, error) {
	ambiguous := false
	for i := range confirmAttempts {
		if i > 0 && !waitBackoff(ctx, i) {
			return 0, ErrAmbiguous
		}
		revision, err := s.Put(ctx, key, value, ifRevision, leaseID)
		switch {
		case err == nil:
			return revision, nil
		case errors.Is(err, ErrAmbiguous):
			ambiguous = true
		case !ambiguous:
			return 0, err
		case !errors.Is(err, ErrConflict):
			continue
		}
		e, err := s.Get(ctx, key)
		switch {
		case err == nil && bytes.Equal(e.Value, value):
			return e.Revision, nil
		case err == nil && e.Revision != ifRevision:
			// Another writer was first, or has overwritten this value.
			return 0, ErrConflict
		case errors.Is(err, ErrNotFound) && ifRevision != 0:
			return 0, ErrConflict
		}
	}
	return 0, ErrAmbiguous
}
