package answerconn

import (
	"bytes"
	"net/http"
	"slices"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

// ErrMalformedHead means that an answer has no head by RFC 9112. Package net/http takes many of them: some for interim
// answers, others for answers without a length or a coding that they declare.
var ErrMalformedHead = errors.New("malformed head of an answer")

// BeginAnswer makes Read check the head of the next answer, and of interim answers before it: Read fails with
// ErrMalformedHead at the first line that is malformed, and does not return the end of that line. buffered are bytes of
// the answer that were read before; BeginAnswer fails if they are malformed.
func (c *Conn) BeginAnswer(buffered []byte) error {
	c.headMu.Lock()
	defer c.headMu.Unlock()
	c.head = headCheck{checking: true}
	_, err := c.head.check(buffered)
	return err
}

// CheckTrailer fails with ErrMalformedHead if the trailer of an answer has a name that is no token.
func CheckTrailer(trailer http.Header) error {
	for name := range trailer {
		if !isToken([]byte(name)) {
			return malformed("field of the trailer", []byte(name))
		}
	}
	return nil
}

// checkHead checks bytes that were read. It returns how many of them may be used, and an error if not all.
func (c *Conn) checkHead(p []byte) (int, error) {
	c.headMu.Lock()
	defer c.headMu.Unlock()
	return c.head.check(p)
}

// headCheck checks the heads of one answer and of the interim answers before it.
type headCheck struct {
	checking bool   // the end of the answer's head has not been reached
	line     []byte // the beginning of a line whose end has not been read
	head     head   // that is being read
}

// head is what was read of a head.
type head struct {
	status             int // 0 before the status line
	minorVersion       int
	hasField           bool
	hasLength, isCoded bool // it has a Content-Length, a Transfer-Encoding
}

// check checks the next bytes of the connection. If a line is malformed, it returns the number of the bytes before that
// line's end, so that no reader takes the line for a whole one.
func (h *headCheck) check(p []byte) (int, error) {
	checked := 0
	for h.checking {
		end := bytes.IndexByte(p[checked:], '\n')
		if end < 0 {
			h.line = append(h.line, p[checked:]...)
			break
		}
		line := p[checked : checked+end]
		if len(h.line) > 0 {
			line, h.line = append(h.line, line...), nil
		}
		checked += end
		if err := h.checkLine(bytes.TrimSuffix(line, []byte{'\r'})); err != nil {
			return checked, err
		}
		checked++
	}
	return len(p), nil
}

// checkLine checks a line without its end.
func (h *headCheck) checkLine(line []byte) error {
	switch {
	case h.head.status == 0:
		var err error
		h.head.status, h.head.minorVersion, err = parseStatusLine(line)
		return err
	case len(line) > 0:
		return h.head.addField(line)
	}
	if err := h.head.checkFraming(); err != nil {
		return err
	}
	h.checking = h.head.status < http.StatusOK // the next head follows an interim answer
	h.head = head{}
	return nil
}

// addField checks a line of a field. A line that begins with a blank goes on with the value of the line before.
func (h *head) addField(line []byte) error {
	if line[0] == ' ' || line[0] == '\t' {
		if !h.hasField || !isValue(line) {
			return malformed("field", line)
		}
		return nil
	}
	name, value, ok := bytes.Cut(line, []byte{':'})
	if !ok || !isToken(name) || !isValue(value) {
		return malformed("field", line)
	}
	h.hasField = true
	h.hasLength = h.hasLength || bytes.EqualFold(name, []byte("Content-Length"))
	h.isCoded = h.isCoded || bytes.EqualFold(name, []byte("Transfer-Encoding"))
	return nil
}

// checkFraming checks that the length of the body is certain. Package net/http takes no notice of a transfer coding in
// HTTP/1.0, and hands out the coded bytes, nor of a length beside it.
func (h *head) checkFraming() error {
	if h.isCoded && (h.hasLength || h.minorVersion == 0) {
		return malformed("framing", []byte("Transfer-Encoding with a length or in HTTP/1.0"))
	}
	return nil
}

const (
	minStatus, maxStatus = 100, 599
	statusDigits         = 3
)

// parseStatusLine returns the status of an answer and the minor version of the protocol. A switch of protocols is
// malformed, as none is asked for.
func parseStatusLine(line []byte) (status, minorVersion int, err error) {
	version, rest, _ := bytes.Cut(line, []byte{' '})
	minor, ok := bytes.CutPrefix(version, []byte("HTTP/1."))
	if !ok || len(minor) != 1 || !isDigit(minor[0]) {
		return 0, 0, malformed("version", version)
	}
	digits, reason, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte{' '})
	for _, digit := range digits {
		if !isDigit(digit) || len(digits) != statusDigits {
			return 0, 0, malformed("status", digits)
		}
		status = 10*status + int(digit-'0')
	}
	if status < minStatus || status > maxStatus || status == http.StatusSwitchingProtocols {
		return 0, 0, malformed("status", digits)
	}
	if !isValue(reason) {
		return 0, 0, malformed("reason", reason)
	}
	return status, int(minor[0] - '0'), nil
}

// isToken reports whether a text may be the name of a field.
func isToken(text []byte) bool {
	return len(text) > 0 && !slices.ContainsFunc(text, func(b byte) bool { return !httpguts.IsTokenRune(rune(b)) })
}

// isValue reports whether a text may be the value of a field or a reason: it has no control byte but tabs.
func isValue(text []byte) bool {
	return !slices.ContainsFunc(text, func(b byte) bool { return (b < ' ' && b != '\t') || b == 0x7f })
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }

// maxQuotedBytes limits what an error quotes of a head.
const maxQuotedBytes = 40

func malformed(part string, text []byte) error {
	return errors.Mark(errors.Newf("malformed head of an answer: %s %q", part, text[:min(len(text), maxQuotedBytes)]), ErrMalformedHead)
}
