package gatewayhttp

import "net/http"

// minHeaderLineBytes is the length of the shortest header line.
const minHeaderLineBytes = len("a:\n")

// LimitHeaders bounds the headers of requests by their bytes alone, as the platform does.
func LimitHeaders(s *http.Server, maxBytes int) {
	s.MaxHeaderBytes = maxBytes
	allowHeaderLines(s, maxBytes/minHeaderLineBytes)
}
