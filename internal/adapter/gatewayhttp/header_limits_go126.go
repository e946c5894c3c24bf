//go:build !go1.27

package gatewayhttp

import "net/http"

// allowHeaderLines does nothing: net/http does not limit the number of header lines.
func allowHeaderLines(*http.Server, int) {}
