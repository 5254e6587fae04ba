package scenario

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// arguments are the words after a command: names, key=value pairs and flags.
// A word without "=" is a name as long as fewer than the wanted number of names
// were seen, and a flag after that.
type arguments struct {
	names  []string
	values map[string]string
}

func parse(words []string, names int) (arguments, error) {
	a := arguments{values: make(map[string]string)}
	for _, w := range words {
		key, value, pair := strings.Cut(w, "=")
		switch {
		case pair:
			a.values[key] = value
		case len(a.names) < names:
			a.names = append(a.names, w)
		default:
			a.values[w] = "true"
		}
	}
	if len(a.names) < names {
		return a, fmt.Errorf("%d names are needed, %d are given", names, len(a.names))
	}
	return a, nil
}

// check returns an error for a key that is not known.
func (a arguments) check(known ...string) error {
	for key := range a.values {
		found := false
		for _, k := range known {
			found = found || k == key
		}
		if !found {
			return fmt.Errorf("unknown word %q", key)
		}
	}
	return nil
}

func (a arguments) has(key string) bool { return a.values[key] != "" }

func (a arguments) text(key, absent string) string {
	if v, ok := a.values[key]; ok {
		return v
	}
	return absent
}

func (a arguments) number(key string, absent int) (int, error) {
	v, ok := a.values[key]
	if !ok {
		return absent, nil
	}
	n, err := strconv.Atoi(v)
	if err != nil {
		return 0, fmt.Errorf("%s: %w", key, err)
	}
	return n, nil
}

func (a arguments) duration(key string, absent time.Duration) (time.Duration, error) {
	v, ok := a.values[key]
	if !ok {
		return absent, nil
	}
	d, err := time.ParseDuration(v)
	if err != nil {
		return 0, fmt.Errorf("%s: %w", key, err)
	}
	return d, nil
}
