// Package encodingtest checks that a type still decodes and encodes the JSON of an
// earlier release.
package encodingtest

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

// dir holds the encodings of the earlier release, one file for each type or record.
const dir = "testdata/encodings"

// Read returns an encoding of the earlier release.
func Read(t *testing.T, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(dir, name))
	if err != nil {
		t.Fatal(err)
	}
	return bytes.TrimSuffix(data, []byte("\n"))
}

// RoundTrip decodes an encoding into a T and encodes it again. The test fails if T
// lacks a field of the encoding, if the bytes differ, or if the encoding leaves an
// exported field of T unset.
func RoundTrip[T any](t *testing.T, name string) {
	t.Helper()
	if value := reencode[T](t, name); value != nil {
		for _, path := range UnsetFields(value) {
			t.Errorf("%s: the encoding does not set %T%s", name, value, path)
		}
	}
}

// RoundTripOlder is like RoundTrip for the encoding of a release that lacked some of T's fields.
func RoundTripOlder[T any](t *testing.T, name string) {
	t.Helper()
	reencode[T](t, name)
}

// reencode decodes an encoding into a T, compares it with the encoding of the T, and returns the T;
// nil if it cannot be decoded or encoded.
func reencode[T any](t *testing.T, name string) *T {
	t.Helper()
	old := Read(t, name)
	d := json.NewDecoder(bytes.NewReader(old))
	d.DisallowUnknownFields()
	value := new(T)
	if err := d.Decode(value); err != nil {
		t.Errorf("%s: decode into %T: %v", name, value, err)
		return nil
	}
	written, err := json.Marshal(value)
	if err != nil {
		t.Errorf("%s: encode %T: %v", name, value, err)
		return nil
	}
	if !bytes.Equal(old, written) {
		t.Errorf("%s: encoding of %T changed\nbefore: %s\nnow:    %s", name, value, old, written)
	}
	return value
}

// UnsetFields returns the paths of the exported fields of a value that are zero.
func UnsetFields(value any) []string {
	return unset(reflect.ValueOf(value), "")
}

func unset(v reflect.Value, path string) []string {
	switch v.Kind() {
	case reflect.Pointer:
		if v.IsNil() {
			return []string{path}
		}
		return unset(v.Elem(), path)
	case reflect.Slice, reflect.Array:
		if v.Len() == 0 {
			return []string{path}
		}
		return unset(v.Index(0), path+"[0]")
	case reflect.Map:
		if v.Len() == 0 {
			return []string{path}
		}
		key := v.MapKeys()[0]
		return unset(v.MapIndex(key), path+"["+key.String()+"]")
	case reflect.Struct:
		return unsetStructFields(v, path)
	}
	if v.IsZero() {
		return []string{path}
	}
	return nil
}

func unsetStructFields(v reflect.Value, path string) []string {
	var out []string
	exported := 0
	for i := range v.NumField() {
		f := v.Type().Field(i)
		if !f.IsExported() || strings.HasPrefix(f.Tag.Get("json"), "-") {
			continue
		}
		exported++
		out = append(out, unset(v.Field(i), path+"."+f.Name)...)
	}
	if exported == 0 && v.NumField() > 0 && v.IsZero() {
		return []string{path}
	}
	return out
}
