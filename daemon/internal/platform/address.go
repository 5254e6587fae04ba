package platform

import "strings"

// baseURLs adds the scheme to addresses that have only a host and a port.
func baseURLs(addrs []string) []string {
	urls := make([]string, 0, len(addrs))
	for _, addr := range addrs {
		if !strings.Contains(addr, "://") {
			addr = "http://" + addr
		}
		urls = append(urls, strings.TrimSuffix(addr, "/"))
	}
	return urls
}
