// Package wire holds the HTTP shapes that callers, routers and targets share:
// chat completions with server-sent events, and the header names.
package wire

import (
	"bufio"
	"encoding/json"
	"io"
	"strings"

	"github.com/cockroachdb/errors"
)

// The headers of requests and answers.
const (
	HeaderTeam           = "X-Team"
	HeaderChatID         = "X-Chat-Id"
	HeaderPriority       = "X-Priority"
	HeaderDeadline       = "X-Deadline-Ms"
	HeaderRequestID      = "X-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderAttemptID names the attempt; a target echoes it in its answer.
	HeaderAttemptID = "X-Attempt-Id"
	// HeaderResumeFrom is the number of tokens that the caller already has.
	HeaderResumeFrom = "X-Resume-From"
	// HeaderNotExecuted is a target's promise that it did not run the request.
	HeaderNotExecuted = "X-Not-Run"
)

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatRequest is the body of a chat completion request.
type ChatRequest struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	Stream    bool      `json:"stream,omitempty"`
	MaxTokens int       `json:"max_tokens,omitempty"`
}

// defaultTokens is the length of an answer to a request that asks for none.
const defaultTokens = 16

// AnswerTokens returns the number of tokens asked for.
func (r ChatRequest) AnswerTokens() int {
	if r.MaxTokens <= 0 {
		return defaultTokens
	}
	return r.MaxTokens
}

// Prompt returns the text of all messages.
func (r ChatRequest) Prompt() string {
	var b strings.Builder
	for _, m := range r.Messages {
		b.WriteString(m.Content)
	}
	return b.String()
}

// Delta is the new part of an answer.
type Delta struct {
	Content string `json:"content,omitempty"`
}

// Choice is one choice of a chunk.
type Choice struct {
	Index        int     `json:"index"`
	Delta        Delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// Chunk is one event of a streamed answer. Offset is the position of its token;
// on the last chunk it is the number of tokens in the whole answer.
type Chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Offset  int      `json:"offset"`
}

// NewChunk returns the chunk of one token.
func NewChunk(id, model, content string, offset int) Chunk {
	return Chunk{
		ID: id, Object: "chat.completion.chunk", Model: model, Offset: offset,
		Choices: []Choice{{Delta: Delta{Content: content}}},
	}
}

// NewLastChunk returns the chunk that ends an answer of total tokens.
func NewLastChunk(id, model string, total int) Chunk {
	stop := "stop"
	return Chunk{
		ID: id, Object: "chat.completion.chunk", Model: model, Offset: total,
		Choices: []Choice{{FinishReason: &stop}},
	}
}

// IsLast reports whether the chunk ends the answer.
func (c Chunk) IsLast() bool {
	return len(c.Choices) > 0 && c.Choices[0].FinishReason != nil
}

// Content returns the chunk's text.
func (c Chunk) Content() string {
	if len(c.Choices) == 0 {
		return ""
	}
	return c.Choices[0].Delta.Content
}

// Completion is the body of an answer that is not streamed.
type Completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Model   string             `json:"model"`
	Choices []CompletionChoice `json:"choices"`
}

// CompletionChoice is one choice of a Completion.
type CompletionChoice struct {
	Index        int     `json:"index"`
	Message      Message `json:"message"`
	FinishReason string  `json:"finish_reason"`
}

// NewCompletion returns a whole answer.
func NewCompletion(id, model, content string) Completion {
	return Completion{
		ID: id, Object: "chat.completion", Model: model,
		Choices: []CompletionChoice{{Message: Message{Role: "assistant", Content: content}, FinishReason: "stop"}},
	}
}

// ErrorBody is the body of a refusal or failure.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail says what happened and whether the request ran.
type ErrorDetail struct {
	Code    int    `json:"code"`
	Name    string `json:"name"`
	Message string `json:"message"`
	Ran     string `json:"ran"`
	Field   string `json:"field,omitempty"`
}

const (
	dataPrefix = "data: "
	doneMarker = "[DONE]"
)

// WriteEvent writes v as one server-sent event.
func WriteEvent(w io.Writer, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return errors.Wrap(err, "encode event")
	}
	_, err = io.WriteString(w, dataPrefix+string(data)+"\n\n")
	return err
}

// WriteEndMarker writes the end marker.
func WriteEndMarker(w io.Writer) error {
	_, err := io.WriteString(w, dataPrefix+doneMarker+"\n\n")
	return err
}

// ErrStreamTruncated says that a stream ended before its end marker.
var ErrStreamTruncated = errors.New("stream ended before its end marker")

// maxEvent bounds the size of one event.
const maxEvent = 1 << 20

// ReadEvents calls each with the data of every event up to the end marker. It
// returns nil only if the end marker arrived.
func ReadEvents(r io.Reader, each func(data []byte) error) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 4096), maxEvent)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), dataPrefix)
		if !ok {
			continue
		}
		if data == doneMarker {
			return nil
		}
		if err := each([]byte(data)); err != nil {
			return err
		}
	}
	if err := scanner.Err(); err != nil {
		return errors.Mark(err, ErrStreamTruncated)
	}
	return ErrStreamTruncated
}
