package settingsync

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"

	wire "rhubarbstall.example/wire/platform"
)

// Key is the platform key of the settings record.
const Key = "settings/current"

// recordFormat is the version of the encoding that this package writes.
const recordFormat = 1

const recordMagic = "rhubarbstall-settings"

var (
	// errCorrupt means that a value is damaged or is not a settings record.
	errCorrupt = errors.New("settings record is corrupt")
	// errNewerFormat means that a newer version of the daemon wrote the record.
	errNewerFormat = errors.New("settings record has a newer format")
)

// record is the stored form of the settings. The document follows the header
// exactly as the operator wrote it, because base64 or JSON escapes could push a
// document of the largest size above the platform's limit.
//
//	rhubarbstall-settings <format> <sha256 of the rest>\n
//	{"revision":7,"marks":[…]}\n
//	<document>
type record struct {
	Revision uint64 `json:"revision"`
	// History lists the latest changes, newest first.
	History  []HistoryEntry `json:"marks"`
	document []byte
}

// encode returns the stored form. It drops the oldest history entries if the value
// would be too large for the platform.
func (r record) encode() ([]byte, error) {
	for {
		body, err := r.encodeBody()
		if err != nil {
			return nil, err
		}
		sum := sha256.Sum256(body)
		value := fmt.Appendf(nil, "%s %d %s\n", recordMagic, recordFormat, hex.EncodeToString(sum[:]))
		value = append(value, body...)
		if len(value) <= wire.MaxValueBytes || len(r.History) <= 1 {
			return value, nil
		}
		r.History = r.History[:len(r.History)/2]
	}
}

func (r record) encodeBody() ([]byte, error) {
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false)
	if err := e.Encode(r); err != nil {
		return nil, err
	}
	b.Write(r.document)
	return b.Bytes(), nil
}

// decodeRecord validates and decodes a stored record. The document aliases value.
func decodeRecord(value []byte) (record, error) {
	first, body, ok := bytes.Cut(value, []byte("\n"))
	parts := bytes.Fields(first)
	if !ok || len(parts) != 3 || string(parts[0]) != recordMagic {
		return record{}, fmt.Errorf("%w: first line is not a record header", errCorrupt)
	}
	format, err := strconv.Atoi(string(parts[1]))
	if err != nil || format < 1 {
		return record{}, fmt.Errorf("%w: invalid format version", errCorrupt)
	}
	if format > recordFormat {
		return record{}, fmt.Errorf("%w: %d", errNewerFormat, format)
	}
	sum := sha256.Sum256(body)
	if hex.EncodeToString(sum[:]) != string(parts[2]) {
		return record{}, fmt.Errorf("%w: checksum mismatch", errCorrupt)
	}
	header, document, ok := bytes.Cut(body, []byte("\n"))
	var r record
	if err := json.Unmarshal(header, &r); err != nil || !ok || r.Revision == 0 {
		return record{}, fmt.Errorf("%w: invalid JSON header", errCorrupt)
	}
	r.document = document
	return r, nil
}
