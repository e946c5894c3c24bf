package load

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// retryInterval is the time between two requests of FetchWhenOK.
const retryInterval = 50 * time.Millisecond

// FetchWhenOK requests a URL until it answers with status 200, then writes the body to w. It
// returns the last error if that takes longer than wait.
func FetchWhenOK(w io.Writer, url string, wait time.Duration) error {
	client := &http.Client{Timeout: wait}
	deadline := time.Now().Add(wait)
	for {
		resp, err := client.Get(url)
		if err == nil && resp.StatusCode == http.StatusOK {
			defer resp.Body.Close()
			_, err = io.Copy(w, resp.Body)
			return err
		}
		if err == nil {
			resp.Body.Close()
			err = errors.Newf("status %d", resp.StatusCode)
		}
		if time.Now().After(deadline) {
			return errors.Wrapf(err, "no answer with status 200 from %s in time", url)
		}
		time.Sleep(retryInterval)
	}
}
