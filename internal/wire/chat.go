// Package wire defines the HTTP messages that callers, routers and targets exchange: header
// names, chat completions, server-sent events and error bodies.
package wire

import (
	"bufio"
	"encoding/json"
	"io"
	"strings"

	"github.com/cockroachdb/errors"
)

// Names of the headers of requests and answers. HeaderDeadline holds the time from the arrival of a
// request to its deadline.
const (
	HeaderTeam           = "X-Team"
	HeaderChatID         = "X-Chat-Id"
	HeaderPriority       = "X-Priority"
	HeaderDeadline       = "X-Deadline-Ms"
	HeaderRequestID      = "X-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderAttemptID is the id of an attempt. A target echoes it in its answer.
	HeaderAttemptID = "X-Attempt-Id"
	// HeaderResumeFrom is the number of tokens that the caller already has.
	HeaderResumeFrom = "X-Resume-From"
	// HeaderNotExecuted is set by a target that guarantees that it has not executed the request.
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

// defaultMaxTokens is the number of tokens in the answer to a request without max_tokens.
const defaultMaxTokens = 16

// AnswerTokens returns the requested length of the answer in tokens.
func (r ChatRequest) AnswerTokens() int {
	if r.MaxTokens <= 0 {
		return defaultMaxTokens
	}
	return r.MaxTokens
}

// Prompt returns the concatenated text of all messages.
func (r ChatRequest) Prompt() string {
	var b strings.Builder
	for _, m := range r.Messages {
		b.WriteString(m.Content)
	}
	return b.String()
}

// Delta is the part of an answer that a chunk adds.
type Delta struct {
	Content string `json:"content,omitempty"`
}

// Choice is one choice of a chunk.
type Choice struct {
	Index        int     `json:"index"`
	Delta        Delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// Chunk is one event of a streamed answer. Offset is the index of the chunk's token in the
// answer. In the last chunk, which has no token, it is the number of tokens in the answer.
type Chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Offset  int      `json:"offset"`
}

// NewChunk returns a chunk with the token at an offset.
func NewChunk(id, model, content string, offset int) Chunk {
	return Chunk{
		ID: id, Object: "chat.completion.chunk", Model: model, Offset: offset,
		Choices: []Choice{{Delta: Delta{Content: content}}},
	}
}

// NewLastChunk returns the last chunk of an answer of total tokens.
func NewLastChunk(id, model string, total int) Chunk {
	stop := "stop"
	return Chunk{
		ID: id, Object: "chat.completion.chunk", Model: model, Offset: total,
		Choices: []Choice{{FinishReason: &stop}},
	}
}

// IsLast reports whether the chunk is the last one of the answer.
func (c Chunk) IsLast() bool {
	return len(c.Choices) > 0 && c.Choices[0].FinishReason != nil
}

// Content returns the text of the chunk.
func (c Chunk) Content() string {
	if len(c.Choices) == 0 {
		return ""
	}
	return c.Choices[0].Delta.Content
}

// Completion is the body of a chat answer that is not streamed.
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

// NewCompletion returns a Completion with one choice.
func NewCompletion(id, model, content string) Completion {
	return Completion{
		ID: id, Object: "chat.completion", Model: model,
		Choices: []CompletionChoice{{Message: Message{Role: "assistant", Content: content}, FinishReason: "stop"}},
	}
}

// ErrorBody is the body of an answer that refuses a request or reports a failure.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes an error by its result code. Ran is "yes", "no" or "unknown": whether the
// request was executed. Field is the path of the invalid field, if there is one.
type ErrorDetail struct {
	Code    int    `json:"code"`
	Name    string `json:"name"`
	Message string `json:"message"`
	Ran     string `json:"ran"`
	Field   string `json:"field,omitempty"`
}

const (
	dataPrefix = "data: "
	endMarker  = "[DONE]"
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

// WriteEndMarker writes the event that marks the end of a stream.
func WriteEndMarker(w io.Writer) error {
	_, err := io.WriteString(w, dataPrefix+endMarker+"\n\n")
	return err
}

// ErrStreamTruncated means that a stream ended before its end marker.
var ErrStreamTruncated = errors.New("stream ended before its end marker")

// maxEventBytes bounds the size of one event.
const maxEventBytes = 1 << 20

// ReadEvents calls handle with the data of each event until the end marker. It returns nil only
// if the end marker arrived. An error of handle ends the reading and is returned.
func ReadEvents(r io.Reader, handle func(data []byte) error) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 4096), maxEventBytes)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), dataPrefix)
		if !ok {
			continue
		}
		if data == endMarker {
			return nil
		}
		if err := handle([]byte(data)); err != nil {
			return err
		}
	}
	if err := scanner.Err(); err != nil {
		return errors.Mark(err, ErrStreamTruncated)
	}
	return ErrStreamTruncated
}
