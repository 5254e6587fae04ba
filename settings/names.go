package settings

import (
	"net"
	"slices"
	"strconv"

	"rhubarbstall.example/api/codes"
)

const (
	// maxNameBytes bounds the name of a zone, node or kind; the API accepts up to 128.
	maxNameBytes = 64
	// maxPathBytes is the longest department path that the API accepts.
	maxPathBytes = 256
	// maxZones and maxSeeds bound the lists; the design target is 17 zones.
	maxZones = 64
	maxSeeds = 256
)

// checkName records a problem and returns false if a name is empty, is too long or has
// characters that need escaping in paths, URLs or metric labels.
func checkName(problems *problemList, path, name string) bool {
	if reason := nameProblem(name); reason != "" {
		problems.add(codes.SettingsInvalid, path, "the name %q %s", truncate(name), reason)
		return false
	}
	return true
}

// nameProblem returns what is wrong with a name, or "" for a valid name.
func nameProblem(name string) string {
	if name == "" {
		return "is empty"
	}
	if len(name) > maxNameBytes {
		return "has more than " + strconv.Itoa(maxNameBytes) + " bytes"
	}
	for i := range len(name) {
		c := name[i]
		letter := 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9'
		if !letter && (i == 0 || c != '-' && c != '_' && c != '.') {
			return "may have only ASCII letters, digits, '-', '_' and '.', and starts with a letter or digit"
		}
	}
	return ""
}

func (d *Document) checkZones(problems *problemList) {
	if len(d.Zones) > maxZones {
		problems.add(codes.SettingsInvalid, "availability_zones", "%d zones are more than %d", len(d.Zones), maxZones)
		return
	}
	for i, zone := range d.Zones {
		path := "availability_zones/" + strconv.Itoa(i)
		if checkName(problems, path, zone) && slices.Index(d.Zones, zone) < i {
			problems.add(codes.SettingsInvalid, path, "%q is listed twice", zone)
		}
	}
}

func (d *Document) checkSeeds(problems *problemList) {
	if len(d.Seeds) > maxSeeds {
		problems.add(codes.SettingsInvalid, "seeds", "%d seeds are more than %d", len(d.Seeds), maxSeeds)
		return
	}
	for i, seed := range d.Seeds {
		path := "seeds/" + strconv.Itoa(i)
		host, port, err := net.SplitHostPort(seed)
		number, portErr := strconv.ParseUint(port, 10, 16)
		if err != nil || host == "" || portErr != nil || number == 0 {
			problems.add(codes.SettingsInvalid, path, "%q is not host:port", truncate(seed))
		} else if slices.Index(d.Seeds, seed) < i {
			problems.add(codes.SettingsInvalid, path, "%q is listed twice", seed)
		}
	}
}
