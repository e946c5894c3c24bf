package peer_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
	"github.com/hemlockdyke/hemlockdyke/internal/adapter/peer"
	"github.com/hemlockdyke/hemlockdyke/internal/app/gateway"
)

// panickingHandler panics in each call.
type panickingHandler struct{}

func (panickingHandler) Handle(context.Context, proto.Message) (proto.Message, error) { panic("test") }

func (panickingHandler) Forward(context.Context, *peerv1.ForwardRequest, func(*peerv1.ForwardResponse) error) error {
	panic("test")
}

var _ = Describe("a panic in the handler of another router's call", func() {
	// Guards against a forwarded attempt that fails without a line in the log of the router that failed.
	It("is recorded, and the call fails without saying that nothing was sent", func() {
		var recorded []string
		mux := http.NewServeMux()
		mux.Handle(peer.NewHandler(panickingHandler{}, peer.WithPanicHandler(func(procedure string, value any) {
			recorded = append(recorded, procedure[strings.LastIndex(procedure, "/")+1:]+" "+value.(string))
		})))
		server := httptest.NewUnstartedServer(mux)
		server.Config.Protocols = peer.Protocols()
		server.Start()
		address := strings.TrimPrefix(server.URL, "http://")
		client := peer.NewForwardClient()
		_, err := client.FindStreams(context.Background(), address, &peerv1.FindStreamsRequest{})
		Expect(connect.CodeOf(err)).To(Equal(connect.CodeInternal))
		stream, err := client.Forward(context.Background(), address, &peerv1.ForwardRequest{})
		Expect(err).NotTo(HaveOccurred())
		_, err = stream.Receive()
		Expect(connect.CodeOf(err)).To(Equal(connect.CodeInternal))
		Expect(errors.Is(err, gateway.ErrNotForwarded)).To(BeFalse())
		server.Close()
		Expect(recorded).To(Equal([]string{"FindStreams test", "Forward test"}))
	})
})
