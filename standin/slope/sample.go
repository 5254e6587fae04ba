// Package slope measures the resources that daemons on this machine use in
// deployments of different size and load. The differences between the
// measurements give the cost of one more worker, task, entry VM or request.
package slope

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
)

// Sample holds the resource metrics of one daemon at one time, or the difference
// between two samples.
type Sample struct {
	// CPUSeconds is the CPU time of the process.
	CPUSeconds float64
	// ResidentBytes is the resident memory. A difference holds the later value.
	ResidentBytes float64
	// LinkBytes holds the sum of sent and received bytes by type of link, such as "peer".
	LinkBytes map[string]float64
}

// ScrapeSample reads the metrics of the daemon at addr over HTTP.
func ScrapeSample(addr string) (Sample, error) {
	resp, err := http.Get("http://" + addr + "/metrics")
	if err != nil {
		return Sample{}, err
	}
	defer resp.Body.Close()
	return parseMetrics(resp.Body)
}

// parseMetrics parses the Prometheus text format. It returns an error if the CPU time is
// missing.
func parseMetrics(r io.Reader) (Sample, error) {
	s := Sample{LinkBytes: make(map[string]float64)}
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		name, value, ok := parseSeries(lines.Text())
		if !ok {
			continue
		}
		switch {
		case name == "process_cpu_seconds_total":
			s.CPUSeconds = value
		case name == "process_resident_memory_bytes":
			s.ResidentBytes = value
		case strings.HasPrefix(name, "rhubarbstall_network_io_bytes_total{"):
			s.LinkBytes[labelValue(name, "link")] += value
		}
	}
	if s.CPUSeconds == 0 {
		return s, fmt.Errorf("metrics contain no process_cpu_seconds_total above 0")
	}
	return s, lines.Err()
}

// parseSeries splits a line of the Prometheus text format into the series with its
// labels and the value. It returns false for a comment or an invalid line.
func parseSeries(line string) (name string, value float64, ok bool) {
	if strings.HasPrefix(line, "#") {
		return "", 0, false
	}
	i := strings.LastIndexByte(line, ' ')
	if i < 0 {
		return "", 0, false
	}
	value, err := strconv.ParseFloat(line[i+1:], 64)
	return line[:i], value, err == nil
}

// labelValue returns the value of a label of a series, or "" if it has no such label.
func labelValue(series, name string) string {
	_, rest, ok := strings.Cut(series, name+`="`)
	if !ok {
		return ""
	}
	value, _, _ := strings.Cut(rest, `"`)
	return value
}

// Since returns the difference between s and an earlier sample.
func (s Sample) Since(before Sample) Sample {
	d := Sample{CPUSeconds: s.CPUSeconds - before.CPUSeconds, ResidentBytes: s.ResidentBytes, LinkBytes: make(map[string]float64)}
	for link, n := range s.LinkBytes {
		d.LinkBytes[link] = n - before.LinkBytes[link]
	}
	return d
}
