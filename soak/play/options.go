package play

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
)

// optionsFile is the name of the file in the folder of a run that holds its options.
const optionsFile = "run.json"

func (o Options) save() error {
	data, err := json.MarshalIndent(o, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(o.Dir, optionsFile), data, 0o600)
}

// LoadOptions returns the options of the run whose folder is dir.
func LoadOptions(dir string) (Options, error) {
	var o Options
	data, err := os.ReadFile(filepath.Join(dir, optionsFile))
	if err != nil {
		return o, err
	}
	if err := json.Unmarshal(data, &o); err != nil {
		return o, fmt.Errorf("%s in %s: %w", optionsFile, dir, err)
	}
	return o, nil
}
