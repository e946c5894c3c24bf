//go:build go1.27

package gatewayhttp

import "net/http"

// allowHeaderLines raises the limit of 500 header lines that net/http has since Go 1.27.
func allowHeaderLines(s *http.Server, n int) { s.MaxHeaderValueCount = n }
