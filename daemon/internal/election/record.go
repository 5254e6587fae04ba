package election

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"

	"go.uber.org/zap"

	"rhubarbstall.example/platform"
)

// termRecord holds the stored term counter, the revision of its record, and the capacity
// record.
type termRecord struct {
	number, revision int64
	capacity         capacityRecord
}

// readRecords returns the holder, the term record and the store's revision.
func (e *Elector) readRecords(ctx context.Context) (Holder, termRecord, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	page, err := e.store.Range(ctx, keyPrefix, "")
	if err != nil {
		return Holder{}, termRecord{}, 0, err
	}
	var h Holder
	var t termRecord
	for _, item := range page.Items {
		switch item.Key {
		case holderKey:
			if err := json.Unmarshal(item.Value, &h); err != nil {
				e.log.Error("[election] cannot decode the holder record", zap.Error(err))
			}
		case termKey:
			n, err := strconv.ParseInt(string(item.Value), 10, 64)
			if err != nil {
				return Holder{}, termRecord{}, 0, fmt.Errorf("decode the term record: %w", err)
			}
			t.number, t.revision = n, item.Revision
		case capacityKey:
			if err := json.Unmarshal(item.Value, &t.capacity); err != nil {
				e.log.Error("[election] cannot decode the capacity record", zap.Error(err))
			}
		}
	}
	return h, t, page.Revision, nil
}

// claim writes the holder record under a lease if the expected conditions hold. For a new
// term it also writes the term and capacity records; capacity is nil if the term continues.
// It returns the revision of the write.
func (e *Elector) claim(ctx context.Context, h Holder, lease int64, expected []platform.Condition, capacity *capacityRecord) (int64, error) {
	value, err := json.Marshal(h)
	if err != nil {
		return 0, err
	}
	txn := platform.Txn{Expected: expected, Write: []platform.Write{{Key: holderKey, Value: value, Lease: lease}}}
	if capacity != nil {
		value, err := json.Marshal(capacity)
		if err != nil {
			return 0, err
		}
		txn.Write = append(
			txn.Write,
			platform.Write{Key: termKey, Value: strconv.AppendInt(nil, h.Term, 10)},
			platform.Write{Key: capacityKey, Value: value},
		)
	}
	return e.store.Commit(ctx, txn)
}
