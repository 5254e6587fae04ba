package platform

import "strings"

// baseURLs completes addresses that are given as host and port only.
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
