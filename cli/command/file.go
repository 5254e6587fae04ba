package command

import (
	"fmt"
	"io"
	"os"
)

// readFile reads a file, or standard input for "-".
func (a *app) readFile(name string) ([]byte, error) {
	var data []byte
	var err error
	if name == "-" {
		data, err = io.ReadAll(a.env.Stdin)
	} else {
		data, err = os.ReadFile(name)
	}
	if err != nil {
		return nil, fmt.Errorf("cannot read %s: %w", name, err)
	}
	return data, nil
}
