package load

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// getEvery is the pause between two tries of Get.
const getEvery = 50 * time.Millisecond

// FetchWhenOK writes what a URL answers, once it answers 200.
func FetchWhenOK(w io.Writer, url string, wait time.Duration) error {
	client := &http.Client{Timeout: wait}
	until := time.Now().Add(wait)
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
		if time.Now().After(until) {
			return errors.Wrapf(err, "gave up on %s", url)
		}
		time.Sleep(getEvery)
	}
}
