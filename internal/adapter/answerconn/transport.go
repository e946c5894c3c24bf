package answerconn

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
)

// DialFunc opens a connection, as the DialContext of an http.Transport.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Transport is an http.Transport whose connections are a Conn each, and that checks the heads of answers.
type Transport struct{ *http.Transport }

// NewTransport returns a Transport with the settings of base, which it takes over. dial opens its connections.
func NewTransport(base *http.Transport, dial DialFunc) Transport {
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return New(c), nil
	}
	return Transport{base}
}

// RoundTrip sends a request and reads the head of its answer.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*Conn); ok {
			_ = c.BeginAnswer(nil) // fails only for buffered bytes
		}
	}}
	return t.Transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
}
