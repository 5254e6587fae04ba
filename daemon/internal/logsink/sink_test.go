package logsink

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against a panic when a goroutine logs while the process ends.
func TestWriteAfterClose(t *testing.T) {
	var out bytes.Buffer
	s := newSink(&out)
	_, err := s.Write([]byte("one\n"))
	must.NoError(t, err)
	s.Close()
	_, err = s.Write([]byte("two\n"))
	must.NoError(t, err)
	must.Eq(t, "one\n", out.String())
}

// Guards against a log that blocks the process, or grows without bound, while nobody
// reads standard output.
func TestFullBufferDropsAndCounts(t *testing.T) {
	reader, writer := io.Pipe()
	s := newSink(writer)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	for range 4 * maxBuffered / len(line) {
		_, err := s.Write(line)
		must.NoError(t, err)
	}
	go func() {
		s.Close()
		_ = writer.Close()
	}()
	data, err := io.ReadAll(reader)
	must.NoError(t, err)
	must.StrContains(t, string(data), "lines dropped")
}
