package answerconn_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hemlockdyke/hemlockdyke/internal/adapter/answerconn"
	"github.com/hemlockdyke/hemlockdyke/internal/testkit"
)

// pieces is a connection that returns given pieces, one each time that it is read, and then io.EOF.
type pieces struct {
	net.Conn
	left []string
}

func (p *pieces) Read(b []byte) (int, error) {
	if len(p.left) == 0 {
		return 0, io.EOF
	}
	n := copy(b, p.left[0])
	if p.left[0] = p.left[0][n:]; p.left[0] == "" {
		p.left = p.left[1:]
	}
	return n, nil
}

func (*pieces) SetWriteDeadline(time.Time) error { return nil }

// readAnswer reads an answer that arrives in pieces, and returns its status and body.
func readAnswer(text ...string) (int, string, error) {
	c := answerconn.New(&pieces{left: text})
	if err := c.BeginAnswer(nil); err != nil {
		return 0, "", err
	}
	buffer := bufio.NewReader(c)
	for {
		resp, err := http.ReadResponse(buffer, nil)
		if err != nil {
			return 0, "", err
		}
		if resp.StatusCode >= http.StatusOK {
			body, err := io.ReadAll(resp.Body)
			return resp.StatusCode, string(body), err
		}
	}
}

// fieldHead returns an answer without a body that has a line in its head.
func fieldHead(line string) string {
	return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + line + "\r\n\r\n"
}

const wholeAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"

var _ = Describe("the head of an answer", func() {
	// Guards against answers in trouble that are taken for sound ones, or for interim ones before a sound one.
	DescribeTable("is malformed", func(head string) {
		text := head + wholeAnswer
		for _, arrived := range [][]string{{text}, strings.Split(text, ""), strings.SplitAfter(text, "\r"), strings.SplitAfter(text, "\n")} {
			status, body, err := readAnswer(arrived...)
			Expect(err).To(HaveOccurred(), "%d %q", status, body)
		}
	},
		Entry("with status 000", "HTTP/1.1 000 Trouble\r\n\r\n"),
		Entry("with a status below 100", "HTTP/1.1 099 Trouble\r\n\r\n"),
		Entry("with a status over 599", "HTTP/1.1 600 Trouble\r\nContent-Length: 0\r\n\r\n"),
		Entry("with a signed status", "HTTP/1.1 +20 Trouble\r\n\r\n"),
		Entry("with a negative status", "HTTP/1.1 -00 Trouble\r\n\r\n"),
		Entry("with a status of two digits", "HTTP/1.1 20 Trouble\r\n\r\n"),
		Entry("with a status of four digits", "HTTP/1.1 2000 Trouble\r\n\r\n"),
		Entry("with no status", "HTTP/1.1\r\n\r\n"),
		Entry("that switches protocols, which nobody asked for", "HTTP/1.1 101 Switching Protocols\r\n\r\n"),
		Entry("with a later major version", "HTTP/2.0 200 OK\r\nContent-Length: 0\r\n\r\n"),
		Entry("with a version of two digits", "HTTP/1.10 200 OK\r\nContent-Length: 0\r\n\r\n"),
		Entry("with a control byte in the reason", "HTTP/1.1 200 O\x00K\r\nContent-Length: 0\r\n\r\n"),
		Entry("with a bare CR in the reason", "HTTP/1.1 200 O\rK\r\nContent-Length: 0\r\n\r\n"),
		Entry("after an interim answer", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 Trouble\r\n\r\n"),
		Entry("with a blank in a name", fieldHead("X Y: 1")),
		Entry("with a blank after the name of the length", fieldHead("Content-Length : 4")),
		Entry("with a tab after a name", fieldHead("X\t: 1")),
		Entry("with a control byte in a name", fieldHead("X\x01: 1")),
		Entry("with a name that is not ASCII", fieldHead("X\u00e9: 1")),
		Entry("with an empty name", fieldHead(": 1")),
		Entry("with a line that is no field", fieldHead("X")),
		Entry("with a control byte in a value", fieldHead("X: a\x00b")),
		Entry("with DEL in a value", fieldHead("X: a\x7fb")),
		Entry("with a bare CR in a value", fieldHead("X: a\rb")),
		Entry("with a control byte in a value that goes on", fieldHead("X: a\r\n b\x01")),
		Entry("with a first line that goes on", "HTTP/1.1 200 OK\r\n X: 1\r\nContent-Length: 0\r\n\r\n"),
		Entry("with a coding and a length", fieldHead("Transfer-Encoding: chunked")),
		Entry("with a coding and a length, in that order", "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ncontent-length: 0\r\n\r\n0\r\n\r\n"),
		Entry("with a coding in HTTP/1.0", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
		Entry("with a blank in a name of an interim answer", "HTTP/1.1 103 Early Hints\r\nX Y: 1\r\n\r\n"),
	)

	// Guards against sound answers that are refused.
	DescribeTable("is proper", func(head string) {
		text := head + wholeAnswer
		for _, arrived := range [][]string{{text}, strings.Split(text, "")} {
			status, body, err := readAnswer(arrived...)
			Expect(err).NotTo(HaveOccurred())
			Expect(status).To(Equal(200))
			Expect(body).To(Equal("body"))
		}
	},
		Entry("with nothing before it", ""),
		Entry("after interim answers", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"),
	)

	// Guards against sound answers of servers that use what RFC 9112 leaves open.
	DescribeTable("is proper with", func(line string, status int) {
		got, body, err := readAnswer(line + "\r\nContent-Length: 4\r\n\r\nbody")
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(Equal(status))
		Expect(body).To(Equal("body"))
	},
		Entry("no reason", "HTTP/1.1 200 ", 200), Entry("no blank before the reason that it lacks", "HTTP/1.1 200", 200),
		Entry("HTTP/1.0", "HTTP/1.0 200 OK", 200), Entry("a later minor version", "HTTP/1.2 200 OK", 200),
		Entry("a reason of several words", "HTTP/1.1 404 Not \tFound", 404), Entry("a reason that is not ASCII", "HTTP/1.1 404 Introuvable\u00e9", 404),
		Entry("an unknown status", "HTTP/1.1 299 Odd", 299), Entry("the last status", "HTTP/1.1 599 Odd", 599),
		Entry("each byte that a name may have", "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: 1", 200),
		Entry("each byte that a value may have", "HTTP/1.1 200 OK\r\nX: \t ~!\u00e9\x80\xff \t", 200),
		Entry("an empty value", "HTTP/1.1 200 OK\r\nX:", 200), Entry("a value that goes on", "HTTP/1.1 200 OK\r\nX: a\r\n\tb\r\n c", 200),
		Entry("bare LF", "HTTP/1.1 200 OK\nX: a", 200), Entry("the same length twice", "HTTP/1.1 200 OK\r\nContent-Length: 4", 200),
	)

	// Guards against a trailer that is less than a head.
	It("is followed by a trailer of fields whose names are tokens", func() {
		Expect(answerconn.CheckTrailer(http.Header{"Digest": {"x"}})).To(Succeed())
		Expect(answerconn.CheckTrailer(nil)).To(Succeed())
		Expect(errors.Is(answerconn.CheckTrailer(http.Header{"X Y": {"1"}}), answerconn.ErrMalformedHead)).To(BeTrue())
	})

	// Guards against a body that is checked as a head, and against a next answer that is not checked.
	It("is checked for each answer that begins, and nothing else", func() {
		const odd = "HTTP/1.1 000 in a body"
		text := "HTTP/1.1 200 OK\r\nContent-Length: 22\r\n\r\n" + odd + odd
		c := answerconn.New(&pieces{left: []string{text}})
		buffer := bufio.NewReader(c)
		Expect(c.BeginAnswer(nil)).To(Succeed())
		resp, err := http.ReadResponse(buffer, nil)
		Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(resp.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(body)).To(Equal(odd))
		buffered, err := buffer.Peek(buffer.Buffered())
		Expect(err).NotTo(HaveOccurred())
		err = c.BeginAnswer(append(buffered, '\n'))
		Expect(errors.Is(err, answerconn.ErrMalformedHead)).To(BeTrue(), "%v", err)
	})

	It("is accepted however its bytes arrive", func() {
		testkit.Check("500", func(t *rapid.T) {
			text := rapid.SampledFrom([]string{"", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 102 Processing\nX: y\n\n"}).Draw(t, "interim") + wholeAnswer
			var arrived []string
			for text != "" {
				n := rapid.IntRange(1, len(text)).Draw(t, "piece")
				arrived, text = append(arrived, text[:n]), text[n:]
			}
			status, body, err := readAnswer(arrived...)
			if status != 200 || body != "body" || err != nil {
				t.Fatalf("%d %q %v", status, body, err)
			}
		})
	})
})
