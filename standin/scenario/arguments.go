package scenario

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// arguments holds the parsed words after a command: names, key=value pairs and
// flags. The first words without "=" are names, as many as the command requires;
// further words without "=" are flags.
type arguments struct {
	names []string
	// values holds the values by key. A flag has the value "true".
	values map[string]string
}

// parse parses the words after a command that requires a number of names.
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
		return a, fmt.Errorf("want %d names, got %d", names, len(a.names))
	}
	return a, nil
}

// check returns an error if the command has a key or flag that is not among the known ones.
func (a arguments) check(known ...string) error {
	for key := range a.values {
		found := false
		for _, k := range known {
			found = found || k == key
		}
		if !found {
			return fmt.Errorf("unknown key or flag %q", key)
		}
	}
	return nil
}

// has reports whether a flag is set.
func (a arguments) has(key string) bool { return a.values[key] != "" }

func (a arguments) text(key, defaultValue string) string {
	if v, ok := a.values[key]; ok {
		return v
	}
	return defaultValue
}

func (a arguments) number(key string, defaultValue int) (int, error) {
	v, ok := a.values[key]
	if !ok {
		return defaultValue, nil
	}
	n, err := strconv.Atoi(v)
	if err != nil {
		return 0, fmt.Errorf("%s: %w", key, err)
	}
	return n, nil
}

func (a arguments) duration(key string, defaultValue time.Duration) (time.Duration, error) {
	v, ok := a.values[key]
	if !ok {
		return defaultValue, nil
	}
	d, err := time.ParseDuration(v)
	if err != nil {
		return 0, fmt.Errorf("%s: %w", key, err)
	}
	return d, nil
}
