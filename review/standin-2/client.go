//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

var requestCount atomic.Int64

// call is a request of a client.
type call struct {
	method, path, key, body string
	deadline                time.Duration
	header                  string // more header lines, each ended
}

// result is what the client got.
type result struct {
	id       string
	status   int
	header   http.Header
	body     string
	complete bool
	err      error
	took     time.Duration
}

func (r result) String() string {
	if r.err != nil {
		return fmt.Sprintf("%s: status %d, %v after %v", r.id, r.status, r.err, r.took.Round(time.Millisecond))
	}
	return fmt.Sprintf("%s: status %d, %d bytes after %v", r.id, r.status, len(r.body), r.took.Round(time.Millisecond))
}

// bytesOf returns the request as it is sent.
func (c call) bytesOf(id string) []byte {
	if c.method == "" {
		c.method = "POST"
	}
	if c.deadline == 0 {
		c.deadline = time.Second
	}
	key := ""
	if c.key != "" {
		key = "X-Api-Key: " + c.key + "\r\n"
	}
	return []byte(fmt.Sprintf("%s %s HTTP/1.1\r\nHost: ficu95.example\r\nHemlockdyke-Request-Id: %s\r\nHemlockdyke-Deadline-Ms: %d\r\n%s%sContent-Length: %d\r\n\r\n%s",
		c.method, c.path, id, c.deadline.Milliseconds(), key, c.header, len(c.body), c.body))
}

// send sends a request on a new channel and waits for its answer until its deadline and half a second more.
func (r *router) send(c call) result {
	id := fmt.Sprintf("%016x", requestCount.Add(1))
	sentAt := time.Now()
	out := r.exchange(c, id)
	out.id, out.took = id, time.Since(sentAt)
	r.rig.note("client: router %d, %s %s key=%q: %v", r.n, c.method, c.path, c.key, out)
	return out
}

func (r *router) exchange(c call, id string) (out result) {
	if c.deadline == 0 {
		c.deadline = time.Second
	}
	conn, err := net.DialTimeout("tcp", r.front, time.Second)
	if err != nil {
		return result{err: err}
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(c.deadline + 500*time.Millisecond))
	if _, err := conn.Write(c.bytesOf(id)); err != nil {
		out.err = err
		return out
	}
	return readAnswer(bufio.NewReader(conn), c.method)
}

func readAnswer(reader *bufio.Reader, method string) (out result) {
	resp, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		out.err = err
		return out
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	out.status, out.header, out.body, out.err = resp.StatusCode, resp.Header, string(body), err
	out.complete = err == nil
	return out
}
